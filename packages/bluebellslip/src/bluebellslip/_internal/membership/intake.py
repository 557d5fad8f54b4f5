"""What may enter the store of facts from other nodes."""

import datetime as dt
from collections.abc import Iterable

import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.encoding import decode_facts
from bluebellslip._internal.membership.record import OwnRecord
from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.membership.times import (
    MEMBER_LIMIT,
    MembershipTimes,
)
from bluebellslip._internal.models.facts import (
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import NodeId


class Intake:
    """Checks facts and merges them.

    Facts on the node itself are refuted or left out. The death of a member
    that nobody here knows is left out, since nothing is to be buried. At the
    cap of members, unknown ones are refused and counted.

    Parameters
    ----------
    facts
        The store.
    roster
        The other members.
    record
        The node's own record.
    counters
        Where refusals are counted.
    """

    def __init__(
        self,
        facts: FactStore,
        roster: Roster,
        record: OwnRecord,
        counters: Counters,
    ) -> None:
        self._facts = facts
        self._roster = roster
        self._record = record
        self._counters = counters

    def receive(self, encoded: Iterable[msgspec.Raw]) -> int:
        """Decode, check and merge; return how many facts were news."""
        facts = decode_facts(encoded, self._counters)
        news = self._facts.merge(fact for fact in facts if self._admit(fact))
        self._counters.add('facts_received', len(facts))
        self._counters.add('facts_news', len(news))
        return len(news)

    def _admit(self, fact: Fact) -> bool:
        if not isinstance(fact, MemberFact):
            return True
        if fact.node == self._record.fact.node:
            self._settle_own(fact)
            return False
        if self._roster.find(fact.node) is not None:
            return True
        return self._admit_new(fact)

    def _admit_new(self, fact: MemberFact) -> bool:
        if fact.status is MemberStatus.DEAD:
            return False
        if len(self._roster) >= MEMBER_LIMIT:
            self._counters.add('facts_refused', reason='members')
            return False
        return True

    def _settle_own(self, fact: MemberFact) -> None:
        if self._record.refute(fact):
            self._counters.add('refutations')


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
