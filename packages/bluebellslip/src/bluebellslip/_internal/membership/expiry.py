"""Removal of expired and superseded facts from the store."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.fact_digests import FactDigests
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import (
    MemberFact,
    MemberStatus,
    MoveFact,
    StopFact,
)
from bluebellslip._internal.models.identity import NodeId


class TombstoneExpiry:
    """Removes members that have been dead for ``tombstone_lifetime``.

    Parameters
    ----------
    facts
        The store of facts.
    member_table
        The other members.
    clock
        The node's clock.
    times
        Intervals and timeouts of membership.
    """

    def __init__(
        self,
        facts: FactStore,
        member_table: MemberTable,
        clock: Clock,
        times: MembershipTimes,
    ) -> None:
        self._facts = facts
        self._member_table = member_table
        self._clock = clock
        self._lifetime = times.tombstone_lifetime
        self._dead_since: dict[NodeId, dt.timedelta] = {}
        facts.subscribe(MemberFact, self._update)

    def expire(self) -> tuple[NodeId, ...]:
        """Remove expired tombstones and return their nodes."""
        now = self._clock.elapsed()
        expired = tuple(
            node
            for node, since in self._dead_since.items()
            if now - since > self._lifetime
        )
        for node in expired:
            self._dead_since.pop(node)
            self._member_table.forget(node)
            self._facts.forget(f'member/{node}')
        return expired

    def _update(self, fact: MemberFact) -> None:
        if fact.status is MemberStatus.DEAD:
            self._dead_since.setdefault(fact.node, self._clock.elapsed())
        else:
            self._dead_since.pop(fact.node, None)


class SupersededStopExpiry:
    """Removes the stop facts of a service's earlier moves.

    Parameters
    ----------
    facts
        The store of facts.
    fact_digests
        Digests of the store.
    """

    def __init__(self, facts: FactStore, fact_digests: FactDigests) -> None:
        self._facts = facts
        self._fact_digests = fact_digests
        facts.subscribe(MoveFact, self._drop_superseded)

    def _drop_superseded(self, fact: MoveFact) -> None:
        prefix = f'stop/{fact.service}/'
        superseded = [
            stop.key
            for stop in self._facts.select(StopFact)
            if stop.key.startswith(prefix)
            and stop.move != fact.move
            and stop.set_at < fact.started
        ]
        for key in superseded:
            self._facts.forget(key)
            self._fact_digests.forget(key)
