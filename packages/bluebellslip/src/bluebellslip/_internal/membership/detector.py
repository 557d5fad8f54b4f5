"""The state machine of membership: probes, suspicion, refutation.

It holds no socket and no task. It is driven by ``tick`` and by messages, and
leaves its own messages in an outbox.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.forwarding import Forwards
from bluebellslip._internal.membership.gossip import GossipQueue
from bluebellslip._internal.membership.intake import Intake
from bluebellslip._internal.membership.judge import DOUBTED, Judge
from bluebellslip._internal.membership.memory import AppliedMemory
from bluebellslip._internal.membership.messages import (
    Ack,
    Gossip,
    Ping,
    PingRequest,
)
from bluebellslip._internal.membership.outbox import Outbox
from bluebellslip._internal.membership.probing import ProbeSchedule
from bluebellslip._internal.membership.record import OwnRecord
from bluebellslip._internal.membership.regions import RegionWatch
from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import MemberFact
from bluebellslip._internal.models.identity import Address, NodeId

_HELPERS: Final = 3  # members that repeat a failed probe


@dataclasses.dataclass(slots=True)
class _Probe:
    number: int
    target: MemberFact
    since: dt.timedelta
    repeated: bool = False
    answered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class DetectorParts:
    """What the state machine works on."""

    roster: Roster
    record: OwnRecord
    intake: Intake
    gossip: GossipQueue
    memory: AppliedMemory
    regions: RegionWatch


class Detector:
    """Finds out which members live.

    Parameters
    ----------
    parts
        State that the machine works on.
    judge
        Keeper of suspicions.
    times
        Periods of membership.
    clock
        Time.
    random
        Source of randomness.
    counters
        Where events are counted.
    outbox
        Where messages are left.
    read_revision
        Returns the revision in force.
    """

    def __init__(
        self,
        parts: DetectorParts,
        judge: Judge,
        times: MembershipTimes,
        clock: Clock,
        random: Random,
        counters: Counters,
        outbox: Outbox,
        read_revision: Callable[[], int],
    ) -> None:
        self._parts = parts
        self._times = times
        self._clock = clock
        self._counters = counters
        self._outbox = outbox
        self._read_revision = read_revision
        self._own = parts.record.fact.node
        self._region = parts.record.fact.locality.region
        self._schedule = ProbeSchedule(parts.roster, self._region, random)
        self._judge = judge
        self._forwards = Forwards(times.probe_period)
        self._number = random.getrandbits(32)
        self._probe: _Probe | None = None

    def tick(self) -> None:
        """Do what the time asks for."""
        now = self._clock.elapsed()
        probe = self._probe
        if probe is None:
            self._begin_probe(now)
        elif now - probe.since >= self._times.probe_period:
            self._fail(probe, now)
            self._begin_probe(now)
        elif now - probe.since >= self._times.probe_timeout:
            self._repeat(probe)
        self._judge.bury(now)
        self._judge.bury_lost(now)

    def resume(self) -> None:
        """Begin anew after a pause of the node itself.

        Silence of others during the pause says nothing of them.
        """
        now = self._clock.elapsed()
        self._probe = None
        self._judge.shift(now)
        self._parts.regions.shift(now)
        self._parts.record.renew()
        self._counters.add('pauses')

    def on_ping(self, message: Ping, sender: Address) -> None:
        """Answer a probe."""
        self._hear(message.sender, message.revision)
        self._parts.intake.receive(message.facts)
        if message.target != self._own:
            self._counters.add('probes_misdirected')
            return
        self._outbox.post(
            sender,
            Ack(
                number=message.number,
                sender=self._own,
                revision=self._read_revision(),
                remembered=self._parts.memory.recall(message.sender),
                facts=self._parts.gossip.take(),
            ),
        )

    def on_ack(self, message: Ack, _sender: Address) -> None:
        """Take in the answer to a probe."""
        self._hear(message.sender, message.revision)
        self._parts.intake.receive(message.facts)
        requester = self._forwards.finish(message.number)
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
            probe.answered = True
            self._counters.add('probes_answered')

    def on_ping_request(self, message: PingRequest, sender: Address) -> None:
        """Probe a member for another one."""
        self._parts.intake.receive(message.facts)
        number = self._next_number()
        now = self._clock.elapsed()
        if not self._forwards.begin(number, sender, message.number, now):
            self._counters.add('forwards_refused')
            return
        self._outbox.post(
            message.address,
            Ping(number, self._own, message.target, self._read_revision()),
        )

    def on_gossip(self, message: Gossip, _sender: Address) -> None:
        """Take in facts."""
        self._hear(message.sender, message.revision)
        self._parts.intake.receive(message.facts)

    def _next_number(self) -> int:
        self._number += 1
        return self._number

    def _hear(self, node: NodeId, revision: int) -> None:
        now = self._clock.elapsed()
        self._judge.postpone(node)
        self._parts.memory.note(node, revision)
        member = self._parts.roster.find(node)
        if member is None:
            return
        self._parts.regions.hear(member.locality.region, now)
        if member.status in DOUBTED:
            self._tell(member)

    def _begin_probe(self, now: dt.timedelta) -> None:
        target = self._schedule.pick_next()
        if target is None:
            self._probe = None
            return
        self._probe = _Probe(self._next_number(), target, now)
        facts = self._parts.gossip.take()
        if target.status in DOUBTED:
            self._tell(target)
        self._outbox.post(
            target.peer,
            Ping(
                number=self._probe.number,
                sender=self._own,
                target=target.node,
                revision=self._read_revision(),
                facts=facts,
            ),
        )

    def _repeat(self, probe: _Probe) -> None:
        if probe.repeated or probe.answered:
            return
        probe.repeated = True
        for helper in self._schedule.pick_helpers(probe.target, _HELPERS):
            self._outbox.post(
                helper.peer,
                PingRequest(
                    probe.number,
                    self._own,
                    probe.target.node,
                    probe.target.peer,
                ),
            )

    def _fail(self, probe: _Probe, now: dt.timedelta) -> None:
        if probe.answered:
            return
        self._counters.add('probes_failed')
        region = probe.target.locality.region
        if region != self._region:
            self._parts.regions.miss(region, now)
            if not self._parts.regions.heard_since(region, probe.since):
                return
        suspect = self._judge.suspect(probe.target.node)
        if suspect is not None:
            self._tell(suspect)

    def _tell(self, suspect: MemberFact) -> None:
        facts = (encode_fact(suspect),)
        self._outbox.post(
            suspect.peer, Gossip(self._own, self._read_revision(), facts)
        )
