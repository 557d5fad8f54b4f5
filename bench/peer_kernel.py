"""What a node's view of the members costs as the mesh grows, in one process.

Run as ``python -m bench.peer_kernel``. No mesh is simulated: one view is
filled with members' records and handed messages. Times are the least of
several repetitions.
"""

import datetime as dt
import functools
import gc
import itertools
import tracemalloc
from random import Random
from typing import Final

import msgspec

from bench.results import ResultRow, fit_line, print_rows, write_results
from bench.timing import take_least
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.directory import Directory
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.core import MembershipCore
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.messages import Gossip, Ping
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.facts import (
    Backend,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.peers.codec import PeerCodec

_SIZES: Final = (250, 500, 1000, 1500, 3000)
_SERVICES: Final = 270
_REGIONS: Final = 7
_DOMAINS: Final = 15
_REPETITIONS: Final = 7
_MESSAGES: Final = 200
_GOSSIPS: Final = 20
_FACTS: Final = 5  # facts that fit a datagram
_US: Final = 1e6
_MS: Final = 1e3


def build_member(number: int, incarnation: int = 1) -> MemberFact:
    """Return the record of a node beside a backend server."""
    host = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
    service = number % _SERVICES
    domain = number % _DOMAINS
    return MemberFact(
        node=NodeId(f'service-{service:03d}-{number:04d}'),
        incarnation=1_790_000_000_000 + incarnation,
        status=MemberStatus.ALIVE,
        changed=3,
        locality=Locality(f'region-{domain % _REGIONS}', f'domain-{domain}'),
        peer=Address(host, 7946),
        ingress=Address(host, 7947),
        applied=2100,
        backend=Backend(
            ServiceName(f'service-{service:03d}'),
            VersionName('2026-12-03.1'),
            Address('127.0.0.1', 8080),
            slots=12,
            connections=120,
        ),
    )


class View:
    """One node's view of a mesh.

    Parameters
    ----------
    members
        Number of other members.
    """

    def __init__(self, members: int) -> None:
        self.clock = ManualClock()
        facts = FactStore()
        self.directory = Directory(facts)
        self.core = MembershipCore(
            facts,
            build_member(0),
            MembershipTimes(),
            self.clock,
            Random(1),
            InMemoryCounters(),
            lambda: 2100,
        )
        facts.merge(build_member(number) for number in range(1, members + 1))
        self.core.outbox.collect()


def measure_size(members: int) -> ResultRow:
    """Measure one size of mesh."""
    gc.collect()
    tracemalloc.start()
    view = View(members)
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    codec = PeerCodec.from_registry('a key for measurements')
    return {
        'members': members,
        'held_kb': held / 1024,
        'tick_us': _time_ticks(view),
        'ping_us': _time_pings(view, codec),
        'gossip_us': _time_gossip(view, codec),
        'sync_us': _time_sync(view),
        'join_ms': _time_join(view),
    }


def measure_wire() -> ResultRow:
    """Return the lengths of messages in bytes, tags included."""
    codec = PeerCodec.from_registry('a key for measurements')
    fact = encode_fact(build_member(7))
    ping = Ping(1, NodeId('service-001-0001'), NodeId('service-001-0002'), 9)
    return {
        'member_fact_bytes': len(bytes(fact)),
        'ping_bytes': len(codec.encode(ping)),
        'full_ping_bytes': len(
            codec.encode(msgspec.structs.replace(ping, facts=(fact,) * _FACTS))
        ),
    }


def main() -> None:
    """Measure all sizes, print the table and write the results."""
    rows = [measure_size(members) for members in _SIZES]
    print_rows(rows)
    wire = measure_wire()
    slopes = {
        f'{key}_per_member': fit_line([
            (float(row['members'] or 0), float(row[key] or 0)) for row in rows
        ])[0]
        for key in (
            'held_kb',
            'tick_us',
            'ping_us',
            'gossip_us',
            'sync_us',
            'join_ms',
        )
    }
    print(slopes)
    print(wire)
    write_results('peer_kernel', rows, **slopes, **wire)


def _time_ticks(view: View) -> float:
    return (
        take_least(functools.partial(_tick, view), _REPETITIONS)
        / _MESSAGES
        * _US
    )


def _tick(view: View) -> None:
    for _ in range(_MESSAGES):
        view.clock.advance(MembershipTimes().tick_interval)
        view.core.tick()
    view.core.outbox.collect()


def _time_pings(view: View, codec: PeerCodec) -> float:
    """Decode a probe, answer it and encode the answer."""
    sender = build_member(3)
    packet = codec.encode(Ping(1, sender.node, view.core.own, 2100))
    action = functools.partial(_answer_pings, view, codec, packet)
    return take_least(action, _REPETITIONS) / _MESSAGES * _US


def _answer_pings(view: View, codec: PeerCodec, packet: bytes) -> None:
    sender = build_member(3).peer
    for _ in range(_MESSAGES):
        message = codec.decode(packet)
        assert isinstance(message, Ping)
        view.core.failure_detector.on_ping(message, sender)
    for _, answer in view.core.outbox.collect():
        codec.encode(answer)


def _time_gossip(view: View, codec: PeerCodec) -> float:
    """Take in a message of facts that are news, and pass them on."""
    incarnation = itertools.count(2)
    action = functools.partial(_pass_gossip, view, codec, incarnation)
    return take_least(action, _REPETITIONS) / _GOSSIPS * _US


def _pass_gossip(
    view: View, codec: PeerCodec, incarnation: 'itertools.count[int]'
) -> None:
    sender = build_member(3)
    for newer in itertools.islice(incarnation, _GOSSIPS):
        facts = tuple(
            encode_fact(build_member(number, newer))
            for number in range(10, 10 + _FACTS)
        )
        message = codec.decode(codec.encode(Gossip(sender.node, 2100, facts)))
        assert isinstance(message, Gossip)
        view.core.failure_detector.on_gossip(message, sender.peer)
        view.core.flush()
        for _, passed in view.core.outbox.collect():
            codec.encode(passed)
        view.clock.advance(MembershipTimes().tick_interval)


def _time_sync(view: View) -> float:
    """Begin an exchange and find out that nothing differs."""
    return take_least(functools.partial(_sync, view), _REPETITIONS) * _US


def _sync(view: View) -> None:
    summary = view.core.sync_protocol.handle_request(
        view.core.sync_protocol.make_request()
    )
    assert view.core.sync_protocol.handle_summary(summary) is None


def _time_join(view: View) -> float:
    """Exchange everything with a node that knows nothing, on both sides."""
    return take_least(functools.partial(_join, view), _REPETITIONS) * _MS


def _join(view: View) -> None:
    joiner = View(0)
    view.clock.advance(dt.timedelta(seconds=10))
    while True:
        summary = view.core.sync_protocol.handle_request(
            joiner.core.sync_protocol.make_request()
        )
        exchange = joiner.core.sync_protocol.handle_summary(summary)
        if exchange is None or not exchange.wanted:
            return
        answer = view.core.sync_protocol.handle_exchange(exchange)
        joiner.core.fact_receiver.receive(answer.facts)


if __name__ == '__main__':
    main()
