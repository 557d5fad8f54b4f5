"""Suspicion of members, and their death when nothing contradicts it."""

import datetime as dt
import logging
from typing import Final

import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.regions import RegionWatch
from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.membership.suspicion import Suspicion, Suspicions
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import MemberFact, MemberStatus
from bluebellslip._internal.models.identity import NodeId

logger = logging.getLogger(__name__)

DOUBTED: Final = frozenset((MemberStatus.SUSPECT, MemberStatus.DEAD))


class Judge:
    """Opens suspicions and declares death.

    Parameters
    ----------
    facts
        The store that verdicts are entered into.
    roster
        The other members.
    regions
        Signs of life by region.
    times
        Periods of membership.
    clock
        Time.
    counters
        Where verdicts are counted.
    """

    def __init__(
        self,
        facts: FactStore,
        roster: Roster,
        regions: RegionWatch,
        times: MembershipTimes,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._facts = facts
        self._roster = roster
        self._regions = regions
        self._suspicions = Suspicions(times.suspicion)
        self._clock = clock
        self._counters = counters
        facts.subscribe(MemberFact, self._follow)

    def suspect(self, node: NodeId) -> MemberFact | None:
        """Doubt that a member lives; return what to tell it."""
        member = self._roster.find(node)
        if member is None or member.status is MemberStatus.DEAD:
            return None
        suspect = msgspec.structs.replace(
            member, status=max(member.status, MemberStatus.SUSPECT)
        )
        self._suspicions.begin(suspect, self._clock.elapsed())
        self._facts.merge((suspect,))
        return suspect

    def postpone(self, node: NodeId) -> None:
        """Give a suspect its whole time anew, since it was heard."""
        self._suspicions.postpone(node, self._clock.elapsed())

    def shift(self, now: dt.timedelta) -> None:
        """Begin all suspicions anew after a pause of the node itself."""
        self._suspicions.shift(now)

    def bury(self, now: dt.timedelta) -> None:
        """Declare those dead whose time ran out."""
        for suspicion in self._suspicions.expired(now):
            if self._is_alone(suspicion):
                continue
            self._suspicions.close(suspicion.fact.node)
            dead = msgspec.structs.replace(
                suspicion.fact, status=MemberStatus.DEAD
            )
            self._facts.merge((dead,))

    def bury_lost(self, now: dt.timedelta) -> None:
        """Declare the members of regions dead that were silent too long."""
        for region in self._regions.lost(now):
            for member in self._roster.in_region(region):
                dead = msgspec.structs.replace(member, status=MemberStatus.DEAD)
                self._facts.merge((dead,))

    def _is_alone(self, suspicion: Suspicion) -> bool:
        # If nobody of the suspect's region was heard since the suspicion
        # began, the link may be cut, or this node itself.
        region = suspicion.fact.locality.region
        return not self._regions.heard_since(region, suspicion.since)

    def _follow(self, fact: MemberFact) -> None:
        if fact.status is MemberStatus.SUSPECT:
            self._watch(fact)
        else:
            self._suspicions.close(fact.node)
        if fact.status is MemberStatus.DEAD:
            self._counters.add('members_dead')
            logger.info('member dead', extra={'member': fact.node})

    def _watch(self, fact: MemberFact) -> None:
        if fact.locality.region == self._roster.region:
            self._suspicions.begin(fact, self._clock.elapsed())
