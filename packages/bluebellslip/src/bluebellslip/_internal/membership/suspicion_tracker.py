"""Marks members as suspect, then as dead if they do not refute it in time."""

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
    """Marks members as suspect and declares them dead.

    Parameters
    ----------
    facts
        The store that changes of status are merged into.
    member_table
        The other members.
    region_monitor
        Contact with each region.
    times
        Intervals and timeouts of membership.
    clock
        The node's clock.
    counters
        Where deaths are counted.
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
        """Suspect a member and return the record to send to it.

        Returns None for an unknown or dead member.
        """
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
        """Restart a suspect's timeout after a message from it."""
        self._timers.restart(node, self._clock.elapsed())

    def restart_timers(self, now: dt.timedelta) -> None:
        """Restart the timeouts of all suspects after this node was paused."""
        self._timers.restart_all(now)

    def declare_expired_dead(self, now: dt.timedelta) -> None:
        """Declare suspects dead whose timeout has expired.

        Suspects in a region that sends no messages stay suspects.
        """
        for suspicion in self._timers.list_expired(now):
            if self._is_region_silent(suspicion):
                continue
            self._timers.cancel(suspicion.fact.node)
            dead = msgspec.structs.replace(
                suspicion.fact, status=MemberStatus.DEAD
            )
            self._facts.merge((dead,))

    def declare_lost_regions_dead(self, now: dt.timedelta) -> None:
        """Declare the members of lost regions dead."""
        for region in self._region_monitor.list_lost(now):
            for member in self._member_table.in_region(region):
                dead = msgspec.structs.replace(member, status=MemberStatus.DEAD)
                self._facts.merge((dead,))

    def _is_region_silent(self, suspicion: Suspicion) -> bool:
        # If no message from the suspect's region has arrived since the timeout
        # started, that region or this node itself may be partitioned.
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
