"""Tests of requests that wait at a node whose server can't run them any more.

They guard against requests that wait on, for the link of the node or for a
slot of its server, and are refused only after their turn, when it is too late
to send them elsewhere.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import pytest

from bluebellslip._internal.proxy.body_transfers import BodyTransferLimiter
from lib.calls import ReceivedRequest, ReceivedResponse, RequestHandler
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

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
_BODY = b'x' * 60_000
_HANG_TIMEOUT_S = 20
# More than the bodies that may be in transit at the default rate of a link.
_OCCUPIED_BYTES = 30_000_000


async def upload(
    node: PlatformNode, request_id: str = 'u1'
) -> ReceivedResponse:
    async with asyncio.timeout(_HANG_TIMEOUT_S):
        return await node.call('/art/1', request_id, method='POST', body=_BODY)


def hold_until(event: asyncio.Event) -> RequestHandler:
    """Return a handler that responds once an event is set."""

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await event.wait()
        writer.write(encode_signed_response(request, b'art'))

    return handler


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


def _get_limiter(node: PlatformNode) -> BodyTransferLimiter:
    return node.node._data_plane.body_transfers


def _admit_nothing(*_: object, for_target: bool) -> bool:
    return False


async def start_anew(node: PlatformNode) -> None:
    """Let the server start again; its earlier lifetime ends."""
    node.heartbeats_stopped = True
    await node.send_heartbeat(born=2000)


async def fail_connects(node: PlatformNode) -> None:
    server = node.node._state.server
    server.record_connect(failed=True)
    server.record_connect(failed=True)


async def miss_heartbeats(node: PlatformNode) -> None:
    node.heartbeats_stopped = True
    server = node.node._state.server
    server._last_heard_at -= 2 * server._heartbeat_timeout


async def stop_version(node: PlatformNode) -> None:
    versions: Any = SimpleNamespace(admits=_admit_nothing)
    node.node._data_plane.gateway._versions = versions


_causes = pytest.mark.parametrize(
    ('end_service', 'kind'),
    [
        (start_anew, b'no-server'),
        (fail_connects, b'draining'),
        (miss_heartbeats, b'draining'),
        (stop_version, b'version-stopped'),
    ],
)
_Cause = Callable[[PlatformNode], Awaitable[None]]


@_causes
async def test_body_that_waits_for_the_link_is_refused_without_its_turn(
    end_service: _Cause, kind: bytes
) -> None:
    async with mesh() as (front, back, _):
        limiter = _get_limiter(back)
        limiter._in_transit += _OCCUPIED_BYTES

        async def is_waiting() -> bool:
            return bool(limiter._waiting)

        uploading = asyncio.create_task(upload(front))
        await wait_until(is_waiting)
        await end_service(back)
        response = await uploading
        assert response.status == 503
        assert b'"kind":"%b"' % kind in response.body
        assert limiter.in_transit == _OCCUPIED_BYTES
    assert not back.server.received_requests


@_causes
async def test_request_that_waits_for_a_slot_is_refused_without_its_turn(
    end_service: _Cause, kind: bytes
) -> None:
    async with mesh() as (front, back, released):
        gate = back.node._data_plane.gateway.gate

        async def has_waiting() -> bool:
            return bool(gate.waiting)

        async def is_running() -> bool:
            return bool(back.server.received_requests)

        running = asyncio.create_task(upload(back, 'b1'))
        await wait_until(is_running)
        waiting = asyncio.create_task(upload(front))
        await wait_until(has_waiting)
        await end_service(back)
        response = await waiting
        assert response.status == 503
        assert b'"kind":"%b"' % kind in response.body
        released.set()
        assert (await running).status == 200
    assert len(back.server.received_requests) == 1
