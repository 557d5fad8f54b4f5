"""Cost of a node's membership view by the size of the mesh, in one process.

Run as ``python -m bench.peer_kernel``. No mesh is simulated: one view is
filled with member records and given messages. Times are the minimum of
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
from bench.timing import measure_min_time
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

_MEMBER_COUNTS: Final = (250, 500, 1000, 1500, 3000)
_SERVICE_COUNT: Final = 270
_REGION_COUNT: Final = 7
_FAILURE_DOMAIN_COUNT: Final = 15
_REPETITIONS: Final = 7
_MESSAGES_PER_REPETITION: Final = 200
_GOSSIPS_PER_REPETITION: Final = 20
_FACTS_PER_DATAGRAM: Final = 5  # as many as fit
_US_PER_S: Final = 1e6
_MS_PER_S: Final = 1e3


def build_member(number: int, incarnation: int = 1) -> MemberFact:
    """Return the member record of a node beside a backend server."""
    host = f'10.{number >> 16}.{number >> 8 & 255}.{number & 255}'
    service = number % _SERVICE_COUNT
    failure_domain = number % _FAILURE_DOMAIN_COUNT
    return MemberFact(
        node=NodeId(f'service-{service:03d}-{number:04d}'),
        incarnation=1_790_000_000_000 + incarnation,
        status=MemberStatus.ALIVE,
        changed=3,
        locality=Locality(
            f'region-{failure_domain % _REGION_COUNT}',
            f'domain-{failure_domain}',
        ),
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


class MembershipView:
    """One node's membership view of a mesh.

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
    """Measure memory and times at one size of mesh."""
    gc.collect()
    tracemalloc.start()
    view = MembershipView(members)
    gc.collect()
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    codec = PeerCodec.from_registry('a key for measurements')
    return {
        'members': members,
        'held_kb': held_bytes / 1024,
        'tick_us': _time_ticks(view),
        'ping_us': _time_pings(view, codec),
        'gossip_us': _time_gossip(view, codec),
        'sync_us': _time_sync(view),
        'join_ms': _time_join(view),
    }


def measure_message_sizes() -> ResultRow:
    """Return the sizes of a member record and of messages, in bytes.

    Messages include their authentication tags.
    """
    codec = PeerCodec.from_registry('a key for measurements')
    fact = encode_fact(build_member(7))
    ping = Ping(1, NodeId('service-001-0001'), NodeId('service-001-0002'), 9)
    return {
        'member_fact_bytes': len(bytes(fact)),
        'ping_bytes': len(codec.encode(ping)),
        'full_ping_bytes': len(
            codec.encode(
                msgspec.structs.replace(
                    ping, facts=(fact,) * _FACTS_PER_DATAGRAM
                )
            )
        ),
    }


def main() -> None:
    """Measure all sizes, print the table and write the results."""
    rows = [measure_size(members) for members in _MEMBER_COUNTS]
    print_rows(rows)
    message_sizes = measure_message_sizes()
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
    print(message_sizes)
    write_results('peer_kernel', rows, **slopes, **message_sizes)


def _time_ticks(view: MembershipView) -> float:
    return (
        measure_min_time(functools.partial(_tick, view), _REPETITIONS)
        / _MESSAGES_PER_REPETITION
        * _US_PER_S
    )


def _tick(view: MembershipView) -> None:
    for _ in range(_MESSAGES_PER_REPETITION):
        view.clock.advance(MembershipTimes().tick_interval)
        view.core.tick()
    view.core.outbox.collect()


def _time_pings(view: MembershipView, codec: PeerCodec) -> float:
    """Return the microseconds to decode and handle a ping and to respond."""
    sender = build_member(3)
    packet = codec.encode(Ping(1, sender.node, view.core.node, 2100))
    action = functools.partial(_handle_pings, view, codec, packet)
    return (
        measure_min_time(action, _REPETITIONS)
        / _MESSAGES_PER_REPETITION
        * _US_PER_S
    )


def _handle_pings(
    view: MembershipView, codec: PeerCodec, packet: bytes
) -> None:
    sender = build_member(3).peer
    for _ in range(_MESSAGES_PER_REPETITION):
        message = codec.decode(packet)
        assert isinstance(message, Ping)
        view.core.failure_detector.on_ping(message, sender)
    for _, response in view.core.outbox.collect():
        codec.encode(response)


def _time_gossip(view: MembershipView, codec: PeerCodec) -> float:
    """Return the microseconds to apply and forward a message of new facts.

    Building and encoding the received message is included.
    """
    incarnations = itertools.count(2)
    action = functools.partial(_forward_gossip, view, codec, incarnations)
    return (
        measure_min_time(action, _REPETITIONS)
        / _GOSSIPS_PER_REPETITION
        * _US_PER_S
    )


def _forward_gossip(
    view: MembershipView, codec: PeerCodec, incarnations: 'itertools.count[int]'
) -> None:
    sender = build_member(3)
    for incarnation in itertools.islice(incarnations, _GOSSIPS_PER_REPETITION):
        facts = tuple(
            encode_fact(build_member(number, incarnation))
            for number in range(10, 10 + _FACTS_PER_DATAGRAM)
        )
        message = codec.decode(codec.encode(Gossip(sender.node, 2100, facts)))
        assert isinstance(message, Gossip)
        view.core.failure_detector.on_gossip(message, sender.peer)
        view.core.flush()
        for _, forwarded in view.core.outbox.collect():
            codec.encode(forwarded)
        view.clock.advance(MembershipTimes().tick_interval)


def _time_sync(view: MembershipView) -> float:
    """Return the microseconds of a synchronization without differences."""
    return (
        measure_min_time(functools.partial(_sync, view), _REPETITIONS)
        * _US_PER_S
    )


def _sync(view: MembershipView) -> None:
    summary = view.core.sync_protocol.handle_request(
        view.core.sync_protocol.make_request()
    )
    assert view.core.sync_protocol.handle_summary(summary) is None


def _time_join(view: MembershipView) -> float:
    """Return the milliseconds of a new node's first synchronization.

    The work of both nodes is included.
    """
    return (
        measure_min_time(functools.partial(_join, view), _REPETITIONS)
        * _MS_PER_S
    )


def _join(view: MembershipView) -> None:
    joiner = MembershipView(0)
    view.clock.advance(dt.timedelta(seconds=10))
    while True:
        summary = view.core.sync_protocol.handle_request(
            joiner.core.sync_protocol.make_request()
        )
        exchange = joiner.core.sync_protocol.handle_summary(summary)
        if exchange is None or not exchange.wanted:
            return
        response = view.core.sync_protocol.handle_exchange(exchange)
        joiner.core.fact_receiver.receive(response.facts)


if __name__ == '__main__':
    main()
