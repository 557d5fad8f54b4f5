"""Suspicion of members, and their death when nothing contradicts it."""

import datetime as dt
import logging
from typing import Final

import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.region_monitor import RegionMonitor
from bluebellslip._internal.membership.suspicion_timers import (
    Suspicion,
    SuspicionTimers,
)
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import MemberFact, MemberStatus
from bluebellslip._internal.models.identity import NodeId

logger = logging.getLogger(__name__)

SUSPECT_OR_DEAD: Final = frozenset((MemberStatus.SUSPECT, MemberStatus.DEAD))


class SuspicionTracker:
    """Opens suspicions and declares death.

    Parameters
    ----------
    facts
        The store that verdicts are entered into.
    member_table
        The other members.
    region_monitor
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
        member_table: MemberTable,
        region_monitor: RegionMonitor,
        times: MembershipTimes,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._facts = facts
        self._member_table = member_table
        self._region_monitor = region_monitor
        self._timers = SuspicionTimers(times.suspicion_timeout)
        self._clock = clock
        self._counters = counters
        facts.subscribe(MemberFact, self._update)

    def suspect(self, node: NodeId) -> MemberFact | None:
        """Doubt that a member lives; return what to tell it."""
        member = self._member_table.find(node)
        if member is None or member.status is MemberStatus.DEAD:
            return None
        suspect = msgspec.structs.replace(
            member, status=max(member.status, MemberStatus.SUSPECT)
        )
        self._timers.start(suspect, self._clock.elapsed())
        self._facts.merge((suspect,))
        return suspect

    def restart_timer(self, node: NodeId) -> None:
        """Give a suspect its whole time anew, since it was heard."""
        self._timers.restart(node, self._clock.elapsed())

    def restart_timers(self, now: dt.timedelta) -> None:
        """Begin all suspicions anew after a pause of the node itself."""
        self._timers.restart_all(now)

    def declare_expired_dead(self, now: dt.timedelta) -> None:
        """Declare those dead whose time ran out."""
        for suspicion in self._timers.list_expired(now):
            if self._is_region_silent(suspicion):
                continue
            self._timers.cancel(suspicion.fact.node)
            dead = msgspec.structs.replace(
                suspicion.fact, status=MemberStatus.DEAD
            )
            self._facts.merge((dead,))

    def declare_lost_regions_dead(self, now: dt.timedelta) -> None:
        """Declare the members of regions dead that were silent too long."""
        for region in self._region_monitor.list_lost(now):
            for member in self._member_table.in_region(region):
                dead = msgspec.structs.replace(member, status=MemberStatus.DEAD)
                self._facts.merge((dead,))

    def _is_region_silent(self, suspicion: Suspicion) -> bool:
        # If nobody of the suspect's region was heard since the suspicion
        # began, the link may be cut, or this node itself.
        region = suspicion.fact.locality.region
        return not self._region_monitor.has_contact_since(
            region, suspicion.started_at
        )

    def _update(self, fact: MemberFact) -> None:
        if fact.status is MemberStatus.SUSPECT:
            self._start_timer(fact)
        else:
            self._timers.cancel(fact.node)
        if fact.status is MemberStatus.DEAD:
            self._counters.add('members_dead')
            logger.info('member dead', extra={'member': fact.node})

    def _start_timer(self, fact: MemberFact) -> None:
        if fact.locality.region == self._member_table.region:
            self._timers.start(fact, self._clock.elapsed())
