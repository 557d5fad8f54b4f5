"""Tests of membership and distribution between nodes on real sockets.

They guard against nodes that do not join or do not apply an offered
configuration, messages accepted with a wrong key, and idle connections that
are kept open.
"""

import contextlib
import datetime as dt
from random import SystemRandom

import anyio
import msgspec
import pytest

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.membership.messages import Ping
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.peers.codec import PeerCodec
from bluebellslip._internal.peers.exchanges import (
    ExchangeClient,
    ExchangeCodec,
)
from bluebellslip._internal.utils.digests import (
    compute_digest,
    encode_record,
)
from bluebellslip_lab.free_ports import find_free_range
from lib.peers import FakePlatform, SocketNode, make_peer_settings, wait_until
from lib.snapshots import make_record

PORTS = 30


def test_nodes_join_and_apply_an_offered_configuration() -> None:
    platform = FakePlatform()
    port = find_free_range(PORTS, SystemRandom())
    seed = f'127.0.0.1:{port}'
    # As in the node process, plug-ins are built before the event loop runs.
    nodes = [
        SocketNode(make_peer_settings(number, port, (seed,)), platform)
        for number in range(3)
    ]
    anyio.run(_offer_and_announce, nodes)


async def _offer_and_announce(nodes: list[SocketNode]) -> None:
    backend = Backend(
        ServiceName('orders'),
        VersionName('v1'),
        Address('127.0.0.1', 1),
        slots=12,
        connections=120,
    )
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            await stack.enter_async_context(node.running())
        await wait_until(
            lambda: all(
                node.membership.core.member_table.live_count == 2
                for node in nodes
            )
        )
        body = encode_record(make_record(1))
        nodes[2].distribution.offer(body, compute_digest(body))
        nodes[1].membership.announce(backend)
        await wait_until(
            lambda: all(
                node.context.applied.revision == 1
                and node.context.directory.endpoints(backend.service)
                for node in nodes
            )
        )


def test_messages_with_another_key_are_refused_and_counted() -> None:
    port = find_free_range(PORTS, SystemRandom())
    own_node = SocketNode(make_peer_settings(0, port), FakePlatform())
    foreign_settings = msgspec.structs.replace(
        make_peer_settings(1, port), peer_key='another key of 16 bytes'
    )
    anyio.run(
        _send_with_another_key,
        own_node,
        SocketNode(foreign_settings, FakePlatform()),
    )


async def _send_with_another_key(
    own_node: SocketNode, foreign_node: SocketNode
) -> None:
    to = own_node.context.peer_address
    ping = Ping(1, foreign_node.context.node, own_node.context.node, 7)
    async with own_node.running(), foreign_node.running():
        foreign_node.peers.send(to, ping)
        request = foreign_node.membership.core.sync_protocol.make_request()
        with pytest.raises(TimeoutError):
            await foreign_node.peers.ask(to, request, dt.timedelta(seconds=5))
        await wait_until(
            lambda: own_node.counters.sums.get('peer_datagrams_refused', 0)
        )
        assert own_node.counters.sums['peer_exchanges_refused']
        assert not own_node.membership.core.member_table.live_count


def test_idle_connections_are_closed() -> None:
    port = find_free_range(PORTS, SystemRandom())
    nodes = [
        SocketNode(make_peer_settings(number, port), FakePlatform())
        for number in range(2)
    ]
    anyio.run(_query_one_after_the_other, nodes)


async def _query_one_after_the_other(nodes: list[SocketNode]) -> None:
    clock, counters = ManualClock(), InMemoryCounters()
    codec = PeerCodec.from_registry(nodes[0].context.settings.peer_key)
    client = ExchangeClient(ExchangeCodec(codec, counters), clock, counters)
    request = nodes[0].membership.core.sync_protocol.make_request()
    first, second = (node.context.peer_address for node in nodes)
    async with nodes[0].running(), nodes[1].running():
        await client.ask(first, request, dt.timedelta(seconds=5))
        await client.ask(second, request, dt.timedelta(seconds=5))
        assert client.connected == (first, second)
        clock.advance(dt.timedelta(seconds=5))
        await client.ask(second, request, dt.timedelta(seconds=5))
        assert client.connected == (second,)
        client.close()
