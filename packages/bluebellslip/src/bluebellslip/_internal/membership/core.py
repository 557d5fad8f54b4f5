"""Membership without input and output: the state machines, assembled."""

from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.broadcast import Broadcaster
from bluebellslip._internal.membership.detector import (
    Detector,
    DetectorParts,
)
from bluebellslip._internal.membership.expiry import (
    SupersededStops,
    Tombstones,
)
from bluebellslip._internal.membership.gossip import GossipQueue
from bluebellslip._internal.membership.intake import Intake
from bluebellslip._internal.membership.judge import Judge
from bluebellslip._internal.membership.memory import AppliedMemory
from bluebellslip._internal.membership.outbox import Outbox
from bluebellslip._internal.membership.pauses import PauseWatch
from bluebellslip._internal.membership.record import OwnRecord
from bluebellslip._internal.membership.regions import RegionWatch
from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.membership.sync import Ledger
from bluebellslip._internal.membership.syncing import SyncSide
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.utils.buckets import TokenBucket

_SYNCS_PER_SECOND: Final = 4.0
_SYNC_BURST: Final = 8.0


class MembershipCore:
    """One node's view of the members.

    Parameters
    ----------
    facts
        The store of facts; it should hold nothing yet.
    first
        The node's own record at its start.
    times
        Periods of membership.
    clock
        Time.
    random
        Source of randomness.
    counters
        Where events are counted.
    read_revision
        Returns the revision in force.
    """

    def __init__(
        self,
        facts: FactStore,
        first: MemberFact,
        times: MembershipTimes,
        clock: Clock,
        random: Random,
        counters: Counters,
        read_revision: Callable[[], int],
    ) -> None:
        self.outbox = Outbox()
        self.ledger = Ledger(facts)
        self.memory = AppliedMemory(facts)
        self.roster = Roster(facts, first.node, first.locality)
        self.regions = RegionWatch(times)
        self.queue = GossipQueue(counters)
        self._facts = facts
        self._clock = clock
        self._random = random
        self._read_revision = read_revision
        self._broadcaster = Broadcaster(
            facts, self.queue, clock, random, counters
        )
        self.record = OwnRecord(first, facts, clock, times)
        self.intake = Intake(facts, self.roster, self.record, counters)
        self.detector = Detector(
            DetectorParts(
                self.roster,
                self.record,
                self.intake,
                self.queue,
                self.memory,
                self.regions,
            ),
            Judge(
                facts,
                self.roster,
                self.regions,
                times,
                clock,
                counters,
            ),
            times,
            clock,
            random,
            counters,
            self.outbox,
            read_revision,
        )
        self._pauses = PauseWatch(clock, times.pause)
        self._stops = SupersededStops(facts, self.ledger)
        self._tombstones = Tombstones(facts, self.roster, clock, times)
        self.sync = SyncSide(
            self.ledger,
            self.intake,
            self.memory,
            TokenBucket(clock, _SYNCS_PER_SECOND, _SYNC_BURST),
            random,
            first.node,
            read_revision,
        )

    @property
    def own(self) -> NodeId:
        """The node's own name."""
        return self.record.fact.node

    def tick(self) -> bool:
        """Do what the time asks for; true after a pause of the node."""
        paused = self._pauses.check()
        if paused:
            self.detector.resume()
        self.record.expire()
        self.record.report(
            self._read_revision(), self.roster.live_count, self._random
        )
        self.detector.tick()
        for node in self._tombstones.expire():
            self._forget(node)
        self.flush()
        return paused

    def flush(self) -> None:
        """Post the urgent facts that wait."""
        self._broadcaster.flush(
            self.roster, self.outbox, self.own, self._read_revision()
        )

    def cut_regions(self) -> tuple[str, ...]:
        """Return the regions that are silent as a whole."""
        now = self._clock.elapsed()
        return tuple(
            region
            for region in self.roster.regions
            if self.regions.is_cut(region, now)
        )

    def _forget(self, node: NodeId) -> None:
        self.ledger.forget(f'member/{node}')
        self.memory.forget(node)
        self._broadcaster.forget(node)
