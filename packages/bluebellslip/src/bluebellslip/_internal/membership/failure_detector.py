"""The state machine of failure detection: probes, suspicion, refutation.

It has no socket and no task. It is driven by ``tick`` and by messages, and
posts its own messages to an outbox.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.membership.applied_revisions import AppliedRevisions
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.fact_receiver import FactReceiver
from bluebellslip._internal.membership.forwarded_probes import ForwardedProbes
from bluebellslip._internal.membership.gossip import GossipQueue
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
)
from bluebellslip._internal.membership.outbox import Outbox
from bluebellslip._internal.membership.own_record import OwnRecord
from bluebellslip._internal.membership.probing import ProbeSchedule
from bluebellslip._internal.membership.region_monitor import RegionMonitor
from bluebellslip._internal.membership.suspicion_tracker import (
    SUSPECT_OR_DEAD,
    SuspicionTracker,
)
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import Address, NodeId

_INDIRECT_PROBES: Final = 3  # members that repeat an unanswered probe


@dataclasses.dataclass(slots=True)
class _Probe:
    number: int
    target: MemberFact
    started_at: dt.timedelta
    indirect_sent: bool = False
    is_acked: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorComponents:
    """Parts of membership that the failure detector uses."""

    member_table: MemberTable
    own_record: OwnRecord
    fact_receiver: FactReceiver
    gossip_queue: GossipQueue
    applied_revisions: AppliedRevisions
    region_monitor: RegionMonitor


class FailureDetector:
    """Detects failed members by direct and indirect probes.

    Parameters
    ----------
    components
        Parts of membership that it uses.
    suspicion_tracker
        Marks members as suspect or dead.
    times
        Intervals and timeouts of membership.
    clock
        The node's clock.
    random
        Source of randomness.
    counters
        Where events are counted.
    outbox
        Takes the messages to be sent.
    read_applied_revision
        Returns the configuration revision that this node has applied.
    """

    def __init__(
        self,
        components: DetectorComponents,
        suspicion_tracker: SuspicionTracker,
        times: MembershipTimes,
        clock: Clock,
        random: Random,
        counters: Counters,
        outbox: Outbox,
        read_applied_revision: Callable[[], int],
    ) -> None:
        self._components = components
        self._times = times
        self._clock = clock
        self._counters = counters
        self._outbox = outbox
        self._read_applied_revision = read_applied_revision
        self._node = components.own_record.fact.node
        self._region = components.own_record.fact.locality.region
        self._schedule = ProbeSchedule(
            components.member_table, self._region, random
        )
        self._suspicion_tracker = suspicion_tracker
        self._forwarded_probes = ForwardedProbes(times.probe_interval)
        self._last_number = random.getrandbits(32)
        self._probe: _Probe | None = None

    def tick(self) -> None:
        """Continue or start a probe; declare members dead after timeouts."""
        now = self._clock.elapsed()
        probe = self._probe
        if probe is None:
            self._start_probe(now)
        elif now - probe.started_at >= self._times.probe_interval:
            self._handle_failed_probe(probe, now)
            self._start_probe(now)
        elif now - probe.started_at >= self._times.probe_timeout:
            self._probe_indirectly(probe)
        self._suspicion_tracker.declare_expired_dead(now)
        self._suspicion_tracker.declare_lost_regions_dead(now)

    def reset_after_pause(self) -> None:
        """Drop the probe and restart all timeouts after this node was paused.

        Members that sent nothing during the pause have not necessarily
        failed. The new incarnation refutes suspicions of this node.
        """
        now = self._clock.elapsed()
        self._probe = None
        self._suspicion_tracker.restart_timers(now)
        self._components.region_monitor.reset(now)
        self._components.own_record.raise_incarnation()
        self._counters.add('pauses')

    def on_ping(self, message: Ping, sender: Address) -> None:
        """Acknowledge a probe."""
        self._record_contact(message.sender, message.revision)
        self._components.fact_receiver.receive(message.facts)
        if message.target != self._node:
            self._counters.add('probes_misdirected')
            return
        self._outbox.post(
            sender,
            Ack(
                number=message.number,
                sender=self._node,
                revision=self._read_applied_revision(),
                receiver_revision=self._components.applied_revisions.find(
                    message.sender
                ),
                facts=self._components.gossip_queue.take(),
            ),
        )

    def on_ack(self, message: Ack, _sender: Address) -> None:
        """Record an acknowledgement, or forward it to the probe's requester."""
        self._record_contact(message.sender, message.revision)
        self._components.fact_receiver.receive(message.facts)
        requester = self._forwarded_probes.pop(message.number)
        if requester is not None:
            self._outbox.post(
                requester.address,
                msgspec.structs.replace(
                    message, number=requester.number, facts=()
                ),
            )
            return
        probe = self._probe
        if probe is not None and probe.number == message.number:
            probe.is_acked = True
            self._counters.add('probes_answered')

    def on_ping_request(self, message: PingRequest, sender: Address) -> None:
        """Probe a member on behalf of another member."""
        self._components.fact_receiver.receive(message.facts)
        number = self._next_number()
        now = self._clock.elapsed()
        if not self._forwarded_probes.add(number, sender, message.number, now):
            self._counters.add('forwards_refused')
            return
        self._outbox.post(
            message.address,
            Ping(
                number,
                self._node,
                message.target,
                self._read_applied_revision(),
            ),
        )

    def on_gossip(self, message: Gossip, _sender: Address) -> None:
        """Merge received facts."""
        self._record_contact(message.sender, message.revision)
        self._components.fact_receiver.receive(message.facts)

    def _next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _record_contact(self, node: NodeId, revision: int) -> None:
        now = self._clock.elapsed()
        self._suspicion_tracker.restart_timer(node)
        self._components.applied_revisions.record(node, revision)
        member = self._components.member_table.find(node)
        if member is None:
            return
        self._components.region_monitor.record_contact(
            member.locality.region, now
        )
        if member.status in SUSPECT_OR_DEAD:
            self._notify_suspect(member)

    def _start_probe(self, now: dt.timedelta) -> None:
        target = self._schedule.pick_next()
        if target is None:
            self._probe = None
            return
        self._probe = _Probe(self._next_number(), target, now)
        facts = self._components.gossip_queue.take()
        if target.status in SUSPECT_OR_DEAD:
            self._notify_suspect(target)
        self._outbox.post(
            target.peer,
            Ping(
                number=self._probe.number,
                sender=self._node,
                target=target.node,
                revision=self._read_applied_revision(),
                facts=facts,
            ),
        )

    def _probe_indirectly(self, probe: _Probe) -> None:
        if probe.indirect_sent or probe.is_acked:
            return
        probe.indirect_sent = True
        for forwarder in self._schedule.pick_forwarders(
            probe.target, _INDIRECT_PROBES
        ):
            self._outbox.post(
                forwarder.peer,
                PingRequest(
                    probe.number,
                    self._node,
                    probe.target.node,
                    probe.target.peer,
                ),
            )

    def _handle_failed_probe(self, probe: _Probe, now: dt.timedelta) -> None:
        if probe.is_acked:
            return
        self._counters.add('probes_failed')
        region = probe.target.locality.region
        if region != self._region:
            self._components.region_monitor.record_failed_probe(region, now)
            if not self._components.region_monitor.has_contact_since(
                region, probe.started_at
            ):
                return
        suspect = self._suspicion_tracker.suspect(probe.target.node)
        if suspect is not None:
            self._notify_suspect(suspect)

    def _notify_suspect(self, suspect: MemberFact) -> None:
        facts = (encode_fact(suspect),)
        self._outbox.post(
            suspect.peer,
            Gossip(self._node, self._read_applied_revision(), facts),
        )
