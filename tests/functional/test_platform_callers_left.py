"""Tests of requests whose caller leaves while they wait to be passed on.

They guard against a node that has paused reading from a connection, doesn't
notice that it was closed, and passes the request on to a server.
"""

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncGenerator, Callable

import pytest

from bluebellslip._internal.calls.inbound import InboundConnection
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.sockets import is_closed_by_peer
from functional.test_platform_waits import hold_until
from lib.calls import Caller
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

_UPLOAD_BYTES = 1_500_000
# More than the sockets between a caller and its node hold.
_LARGE_UPLOAD_BYTES = 8_000_000
# More than the bodies that may be in transit at the default rate of a link.
_OCCUPIED_BYTES = 30_000_000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_CONFIG = make_document_json(
    3,
    make_route_json(
        'r-art',
        '/art/',
        'art',
        kind='upload',
        timeout_s=60,
        target_latency_s=50,
    ),
)
_CONFIG['limits'] = {**_CONFIG['limits'], 'max_body_bytes': 1 << 25}  # type: ignore[dict-item]


async def start_upload(
    node: PlatformNode, request_id: str, size: int = _UPLOAD_BYTES
) -> Caller:
    """Send an upload and return its caller."""
    caller = await node.open_caller()
    head = (
        'POST /art/1 HTTP/1.1\r\nhost: shop.example\r\n'
        f'x-request-id: {request_id}\r\nx-deadline-ms: 50000\r\n'
        f'content-length: {size}\r\n\r\n'
    )
    caller.writer.write(head.encode() + b'x' * size)
    return caller


def reset(caller: Caller) -> None:
    caller.writer.get_extra_info('socket').setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
    )
    caller.writer.transport.abort()


def abort(caller: Caller) -> None:
    caller.close()


@contextlib.asynccontextmanager
async def mesh() -> AsyncGenerator[
    tuple[PlatformNode, PlatformNode, asyncio.Event], None
]:
    """Run a calling node, and a node beside a server with a single slot."""
    released = asyncio.Event()
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    front = PlatformNode('front', 'store', store, respond_signed(b'store'))
    back = PlatformNode('back', 'art', store, hold_until(released), slots=1)
    async with run_nodes(store, [front, back]):
        try:
            yield front, back, released
        finally:
            released.set()


async def hold_slot(back: PlatformNode) -> Caller:
    """Let a request take the only slot of the server; return its caller."""
    caller = await start_upload(back, 'held')
    await wait_until(lambda: has_arrivals(back, 1))
    return caller


async def has_arrivals(node: PlatformNode, count: int) -> bool:
    return len(node.server.received_requests) == count


async def is_idle(node: PlatformNode, busy_slots: int = 0) -> bool:
    plane = node.node._data_plane
    in_flight = plane.callers.in_flight.count + plane.peers.in_flight.count
    return in_flight == busy_slots


def find_paused(listener: Listener) -> list[InboundConnection]:
    """Return the connections whose reading is paused."""
    return [
        connection
        for connection in listener._state.connections
        if not connection.transport.is_reading()
    ]


_leaving = pytest.mark.parametrize('leave', [abort, reset])
_Leave = Callable[[Caller], None]


@_leaving
async def test_request_in_queue_for_a_slot_ends_when_its_caller_leaves(
    leave: _Leave,
) -> None:
    async with mesh() as (front, back, released):
        gate = back.node._data_plane.gateway.gate
        peers = back.node._listeners._peers

        async def is_waiting() -> bool:
            return bool(gate.waiting and find_paused(peers))

        holder = await hold_slot(back)
        caller = await start_upload(front, 'left')
        await wait_until(is_waiting)
        leave(caller)
        await wait_until(lambda: is_idle(front))
        await wait_until(lambda: is_idle(back, busy_slots=1))
        assert not gate.waiting
        released.set()
        assert (await holder.receive()).status == 200
        holder.close()
    assert await has_arrivals(back, 1)


@pytest.mark.parametrize('size', [_UPLOAD_BYTES, _LARGE_UPLOAD_BYTES])
@_leaving
async def test_request_in_queue_for_a_link_ends_when_its_caller_leaves(
    leave: _Leave, size: int
) -> None:
    async with mesh() as (front, back, _):
        callers = front.node._listeners._callers
        limiter = back.node._data_plane.body_transfers
        limiter._in_transit += _OCCUPIED_BYTES

        async def is_waiting() -> bool:
            return bool(limiter._waiting and find_paused(callers))

        caller = await start_upload(front, 'left', size)
        await wait_until(is_waiting)
        leave(caller)
        await wait_until(lambda: is_idle(front))
        await wait_until(lambda: is_idle(back))
        assert not limiter._waiting
        assert limiter.in_transit == _OCCUPIED_BYTES
    assert await has_arrivals(back, 0)


def sweep_nothing(listener: Listener) -> None:
    """Leave out the sweep of a listener."""


async def test_request_whose_caller_left_is_not_passed_on_before_the_sweep(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(Listener, 'close_idle', sweep_nothing)
    async with mesh() as (_, back, released):
        callers = back.node._listeners._callers
        gate = back.node._data_plane.gateway.gate

        async def is_waiting() -> bool:
            return bool(gate.waiting and find_paused(callers))

        async def has_left() -> bool:
            return all(
                is_closed_by_peer(connection.transport)
                for connection in find_paused(callers)
            )

        holder = await hold_slot(back)
        caller = await start_upload(back, 'left')
        await wait_until(is_waiting)
        reset(caller)
        await wait_until(has_left)
        released.set()
        assert (await holder.receive()).status == 200
        holder.close()
        await wait_until(lambda: is_idle(back))
    assert await has_arrivals(back, 1)
