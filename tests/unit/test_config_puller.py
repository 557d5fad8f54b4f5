"""Pulling configurations and finding the floor, with scripted peers.

The floor is the lowest revision that a node may serve after its start. The
tests guard against a node that stays behind because one peer is slow or sends
an unusable reply, and against a restarted node that serves an older revision
than before.
"""

import datetime as dt
from random import Random

import anyio

from bluebellslip._internal.distribution.config_puller import ConfigPuller
from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import FloorReply, PullReply
from bluebellslip._internal.distribution.publisher import ConfigPublisher
from bluebellslip._internal.distribution.pull_sources import PullSources
from bluebellslip._internal.distribution.revision_floor import (
    FloorFinder,
    HeadReader,
)
from bluebellslip._internal.kernel.applied import ApplyResult
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.messages import PeerMessage
from bluebellslip._internal.utils.buckets import TokenBucket
from bluebellslip._internal.utils.digests import compute_digest, encode_record
from lib.peers import FakePlatform, make_peer_settings
from lib.snapshots import make_record, make_snapshot
from lib.virtual_time import LoopClock, run_in_virtual_time

_ONE = Address('127.0.0.8', 7000)
_TWO = Address('127.0.0.9', 7000)
_BODY = encode_record(make_record(1))
_VALID_REPLY = PullReply(1, compute_digest(_BODY), body=_BODY)


class ScriptedLink:
    """Returns the reply given for a peer; other peers never reply."""

    def __init__(self, replies: dict[Address, PeerMessage]) -> None:
        self._replies = replies
        self.requested_peers: list[Address] = []

    def send(self, to: Address, message: PeerMessage) -> None:
        """Drop the message."""

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        self.requested_peers.append(to)
        if to not in self._replies:
            await anyio.sleep(timeout.total_seconds())
            raise TimeoutError
        return self._replies[to]


class PullerHarness:
    """A ConfigPuller and the parts of a node that it uses."""

    def __init__(self, link: ScriptedLink) -> None:
        self.context = Context.from_settings(
            make_peer_settings(0, 7000),
            LoopClock(),
            Random(1),
            InMemoryCounters(),
        )
        self.link = link
        self.member_table = MemberTable(
            self.context.facts, self.context.node, self.context.locality
        )
        self.pull_sources = PullSources(self.context.clock, self.context.random)
        self.holder = ConfigHolder(
            self.context.applied,
            TokenBucket(self.context.clock, 1, 1),
            self.context.counters,
        )
        self.publisher = ConfigPublisher(
            self.context.node,
            self.holder,
            self.pull_sources,
            self.context.facts,
            self.member_table,
            self.context.random,
            self.context.counters,
        )
        self.publisher.mark_floor_known()
        self.config_puller = ConfigPuller(
            self.context,
            self.holder,
            self.publisher,
            self.pull_sources,
            self.member_table,
            link,
        )

    async def run_for(self, seconds: float) -> None:
        with anyio.move_on_after(seconds):
            await self.config_puller.run()


def test_while_a_peer_is_slow_another_one_is_asked() -> None:
    async def scenario() -> None:
        harness = PullerHarness(ScriptedLink({_ONE: _VALID_REPLY}))
        harness.pull_sources.record_revision(1, _ONE)
        harness.pull_sources.record_revision(1, _TWO)
        await harness.run_for(1)
        # The peer recorded last is asked first.
        assert harness.link.requested_peers == [_TWO, _ONE]
        assert harness.holder.revision == 1

    run_in_virtual_time(scenario)


def test_a_body_with_a_wrong_digest_is_pulled_from_another_peer() -> None:
    async def scenario() -> None:
        corrupt = PullReply(1, _VALID_REPLY.digest, body=b'corrupt')
        harness = PullerHarness(
            ScriptedLink({_ONE: _VALID_REPLY, _TWO: corrupt})
        )
        harness.pull_sources.record_revision(1, _ONE)
        harness.pull_sources.record_revision(1, _TWO)
        await harness.run_for(1)
        assert harness.link.requested_peers == [_TWO, _ONE]
        assert harness.holder.revision == 1

    run_in_virtual_time(scenario)


def test_inapplicable_deltas_are_followed_by_a_snapshot() -> None:
    async def scenario() -> None:
        inapplicable = PullReply(1, _VALID_REPLY.digest, deltas=(b'unfit',))
        link = ScriptedLink({_TWO: inapplicable, _ONE: _VALID_REPLY})
        harness = PullerHarness(link)
        harness.pull_sources.record_revision(1, _ONE)
        harness.pull_sources.record_revision(1, _TWO)
        await harness.run_for(1)
        assert harness.holder.revision == 1
        assert harness.context.counters.sums['deltas_refused'] == 1

    run_in_virtual_time(scenario)


def test_the_floor_ignores_peers_without_a_known_floor() -> None:
    async def scenario() -> None:
        platform = FakePlatform()
        platform.down = True
        link = ScriptedLink({
            _ONE: FloorReply(NodeId('one'), 3, settled=True),
            _TWO: FloorReply(NodeId('two'), 9, settled=False),
        })
        harness = PullerHarness(link)
        applied = harness.context.applied
        floor_finder = FloorFinder(
            harness.context.node,
            applied,
            HeadReader(platform, harness.context.counters),
            harness.member_table,
            (_ONE, _TWO),
            link,
            harness.context.random,
        )
        assert await floor_finder.find_floor() == 3
        assert applied.apply(make_snapshot(2)) is ApplyResult.STALE
        assert applied.apply(make_snapshot(3)) is ApplyResult.APPLIED

    run_in_virtual_time(scenario)


def test_without_any_reply_the_floor_stays_unknown() -> None:
    async def scenario() -> None:
        platform = FakePlatform()
        platform.down = True
        harness = PullerHarness(ScriptedLink({}))
        floor_finder = FloorFinder(
            harness.context.node,
            harness.context.applied,
            HeadReader(platform, harness.context.counters),
            harness.member_table,
            (_ONE,),
            harness.link,
            harness.context.random,
        )
        found = False
        with anyio.move_on_after(60):
            await floor_finder.find_floor()
            found = True
        assert not found

    run_in_virtual_time(scenario)
