"""What is dropped from the store of facts, and when."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.membership.sync import Ledger
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import (
    MemberFact,
    MemberStatus,
    MoveFact,
    StopFact,
)
from bluebellslip._internal.models.identity import NodeId


class Tombstones:
    """Dead members, forgotten when they were dead long enough.

    Parameters
    ----------
    facts
        The store.
    roster
        The other members.
    clock
        Time.
    times
        Periods of membership.
    """

    def __init__(
        self,
        facts: FactStore,
        roster: Roster,
        clock: Clock,
        times: MembershipTimes,
    ) -> None:
        self._facts = facts
        self._roster = roster
        self._clock = clock
        self._period = times.tombstone
        self._since: dict[NodeId, dt.timedelta] = {}
        facts.subscribe(MemberFact, self._follow)

    def expire(self) -> tuple[NodeId, ...]:
        """Forget what is old and return it."""
        now = self._clock.elapsed()
        old = tuple(
            node
            for node, since in self._since.items()
            if now - since > self._period
        )
        for node in old:
            self._since.pop(node)
            self._roster.forget(node)
            self._facts.forget(f'member/{node}')
        return old

    def _follow(self, fact: MemberFact) -> None:
        if fact.status is MemberStatus.DEAD:
            self._since.setdefault(fact.node, self._clock.elapsed())
        else:
            self._since.pop(fact.node, None)


class SupersededStops:
    """Forgets the stops of a service's earlier moves.

    Parameters
    ----------
    facts
        The store.
    ledger
        Digests of the store.
    """

    def __init__(self, facts: FactStore, ledger: Ledger) -> None:
        self._facts = facts
        self._ledger = ledger
        facts.subscribe(MoveFact, self._follow)

    def _follow(self, fact: MoveFact) -> None:
        prefix = f'stop/{fact.service}/'
        old = [
            stop.key
            for stop in self._facts.select(StopFact)
            if stop.key.startswith(prefix)
            and stop.move != fact.move
            and stop.set_at < fact.started
        ]
        for key in old:
            self._facts.forget(key)
            self._ledger.forget(key)
