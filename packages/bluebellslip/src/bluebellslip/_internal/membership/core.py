"""Assembly of membership's state machines, which do no I/O."""

from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.applied_revisions import AppliedRevisions
from bluebellslip._internal.membership.broadcast import Broadcaster
from bluebellslip._internal.membership.expiry import (
    SupersededStopExpiry,
    TombstoneExpiry,
)
from bluebellslip._internal.membership.fact_digests import FactDigests
from bluebellslip._internal.membership.fact_receiver import FactReceiver
from bluebellslip._internal.membership.failure_detector import (
    DetectorComponents,
    FailureDetector,
)
from bluebellslip._internal.membership.gossip import GossipQueue
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.outbox import Outbox
from bluebellslip._internal.membership.own_record import OwnRecord
from bluebellslip._internal.membership.pause_detector import PauseDetector
from bluebellslip._internal.membership.region_monitor import RegionMonitor
from bluebellslip._internal.membership.suspicion_tracker import SuspicionTracker
from bluebellslip._internal.membership.sync_protocol import SyncProtocol
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.utils.buckets import TokenBucket

_LARGE_SYNCS_PER_SECOND: Final = 4.0
_LARGE_SYNC_BURST: Final = 8.0


class MembershipCore:
    """The state machines of one node's membership.

    Parameters
    ----------
    facts
        The store of facts, still empty: facts merged earlier are not tracked.
    initial_record
        The node's own record at its start.
    times
        Intervals and timeouts of membership.
    clock
        The node's clock.
    random
        Source of randomness.
    counters
        Where events are counted.
    read_applied_revision
        Returns the configuration revision that this node has applied.
    """

    def __init__(
        self,
        facts: FactStore,
        initial_record: MemberFact,
        times: MembershipTimes,
        clock: Clock,
        random: Random,
        counters: Counters,
        read_applied_revision: Callable[[], int],
    ) -> None:
        self.outbox = Outbox()
        self.fact_digests = FactDigests(facts)
        self.applied_revisions = AppliedRevisions(facts)
        self.member_table = MemberTable(
            facts, initial_record.node, initial_record.locality
        )
        self.region_monitor = RegionMonitor(times)
        self.gossip_queue = GossipQueue(counters)
        self._facts = facts
        self._clock = clock
        self._random = random
        self._read_applied_revision = read_applied_revision
        self._broadcaster = Broadcaster(
            facts, self.gossip_queue, clock, random, counters
        )
        self.own_record = OwnRecord(initial_record, facts, clock, times)
        self.fact_receiver = FactReceiver(
            facts, self.member_table, self.own_record, counters
        )
        self.failure_detector = FailureDetector(
            DetectorComponents(
                self.member_table,
                self.own_record,
                self.fact_receiver,
                self.gossip_queue,
                self.applied_revisions,
                self.region_monitor,
            ),
            SuspicionTracker(
                facts,
                self.member_table,
                self.region_monitor,
                times,
                clock,
                counters,
            ),
            times,
            clock,
            random,
            counters,
            self.outbox,
            read_applied_revision,
        )
        self._pause_detector = PauseDetector(clock, times.pause_threshold)
        self._stop_expiry = SupersededStopExpiry(facts, self.fact_digests)
        self._tombstone_expiry = TombstoneExpiry(
            facts, self.member_table, clock, times
        )
        self.sync_protocol = SyncProtocol(
            self.fact_digests,
            self.fact_receiver,
            self.applied_revisions,
            TokenBucket(clock, _LARGE_SYNCS_PER_SECOND, _LARGE_SYNC_BURST),
            random,
            initial_record.node,
            read_applied_revision,
        )

    @property
    def node(self) -> NodeId:
        """The node's own name."""
        return self.own_record.fact.node

    def tick(self) -> bool:
        """Run the periodic work; return whether the node was paused."""
        paused = self._pause_detector.check()
        if paused:
            self.failure_detector.reset_after_pause()
        self.own_record.expire_announcement()
        self.own_record.publish_revision(
            self._read_applied_revision(),
            self.member_table.live_count,
            self._random,
        )
        self.failure_detector.tick()
        for node in self._tombstone_expiry.expire():
            self._forget(node)
        self.flush()
        return paused

    def flush(self) -> None:
        """Post the queued urgent facts to the outbox."""
        self._broadcaster.flush(
            self.member_table,
            self.outbox,
            self.node,
            self._read_applied_revision(),
        )

    def partitioned_regions(self) -> tuple[str, ...]:
        """Return the regions that are partitioned from this node."""
        now = self._clock.elapsed()
        return tuple(
            region
            for region in self.member_table.regions
            if self.region_monitor.is_partitioned(region, now)
        )

    def _forget(self, node: NodeId) -> None:
        self.fact_digests.forget(f'member/{node}')
        self.applied_revisions.forget(node)
        self._broadcaster.forget(node)
