"""Tests of calls that are unfinished when a node stops.

They guard against calls that wait at a stopping node although another one could
serve them, and against claims that stay after requests that never ran: a
repeat of such a request would be refused for as long as claims are kept.
"""

import asyncio
import contextlib
import datetime as dt
import logging
from collections.abc import AsyncGenerator

import anyio
import pytest

from bluebellslip._internal.claims.rows import ClaimState, decode_claim
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.node import Node
from bluebellslip._internal.models.identity import Address
from lib.calls import (
    Caller,
    CallsNode,
    FakeServer,
    ReceivedRequest,
    ReceivedResponse,
    call_once,
    encode_response,
    respond_with,
)
from lib.tables import FakeTable

pytestmark = pytest.mark.anyio

_GET = b'GET /samples HTTP/1.1\r\nhost: storefront\r\n\r\n'
# The end of the drain, for calls that never end.
_DRAIN_TIMEOUT = dt.timedelta(seconds=1)
_HANG_TIMEOUT_S = 20


async def _never_respond(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: ReceivedRequest,
) -> None:
    await reader.read()


async def _drain(node: CallsNode) -> None:
    """Drain a node as its process does before it ends."""
    await Node(node.context, (node.plugin,), _DRAIN_TIMEOUT)._drain()


async def _call_orders(node: CallsNode, key: str) -> ReceivedResponse:
    return await call_once(
        node.ingress,
        '/deposits',
        service='orders',
        method='POST',
        idempotency_key=key,
    )


def _read_state(table: FakeTable, key: str) -> ClaimState:
    return decode_claim(table.rows[f'claim/orders/{key}'].body).state


@contextlib.asynccontextmanager
async def _make_orders_node(
    server: FakeServer, table: FakeTable, name: str = 'back'
) -> AsyncGenerator[CallsNode, None]:
    node = CallsNode(name, table=table)
    node.set_backend('orders', server.address, slots=1)
    async with node.running():
        yield node
    # The end of the process.
    for task in node.plugin._at_most_once._tasks:
        task.cancel()


async def _wait_for_requests(server: FakeServer, count: int) -> None:
    with anyio.fail_after(_HANG_TIMEOUT_S):
        while len(server.received_requests) < count:
            await anyio.sleep(0.005)


async def _wait_for_queue(node: CallsNode) -> None:
    with anyio.fail_after(_HANG_TIMEOUT_S):
        while not node.plugin._gate.waiting:
            await anyio.sleep(0.005)


async def test_waiting_call_is_refused_as_soon_as_the_node_leaves() -> None:
    """Its slot is taken for longer than the node has left."""
    server = FakeServer(_never_respond)
    back = CallsNode('back')
    back.set_backend('storefront', server.address, slots=1)
    async with server.serving(), back.running():
        running = await Caller.open(back.ingress)
        running.writer.write(_GET)
        await _wait_for_requests(server, 1)
        waiting = await Caller.open(back.ingress)
        waiting.writer.write(_GET)
        await _wait_for_queue(back)
        back.plugin.leave()
        with anyio.fail_after(_HANG_TIMEOUT_S):
            refused = await waiting.receive()
        assert back.plugin.calls_in_flight == 1
    assert refused.headers['bluebell-error'] == 'draining'
    assert refused.headers['bluebell-not-run'] == '1'
    running.close()
    waiting.close()


async def test_waiting_call_is_served_by_another_node_after_a_leave() -> None:
    stuck, free = FakeServer(_never_respond), FakeServer(respond_with(b'free'))
    front, other = CallsNode('front'), CallsNode('other')
    # Its clock stands still, so that the call does not expire in the queue.
    leaving = CallsNode('leaving', clock=ManualClock())
    leaving.set_backend('storefront', stuck.address, slots=1)
    other.set_backend('storefront', free.address)
    front.add_members(leaving)
    async with contextlib.AsyncExitStack() as stack:
        for server in (stuck, free):
            await stack.enter_async_context(server.serving())
        for node in (front, leaving, other):
            await stack.enter_async_context(node.running())
        running = await Caller.open(leaving.ingress)
        running.writer.write(_GET)
        await _wait_for_requests(stuck, 1)
        call = asyncio.create_task(call_once(front.egress, '/samples'))
        await _wait_for_queue(leaving)
        front.add_members(other)
        leaving.plugin.leave()
        with anyio.fail_after(_HANG_TIMEOUT_S):
            assert (await call).body == b'free'
    running.close()
    assert len(stuck.received_requests) == 1


async def test_claim_of_a_call_that_waits_for_a_slot_is_released() -> None:
    server, table = FakeServer(_never_respond), FakeTable()
    async with server.serving(), _make_orders_node(server, table) as node:
        running = asyncio.create_task(_call_orders(node, 'running'))
        await _wait_for_requests(server, 1)
        waiting = asyncio.create_task(_call_orders(node, 'waiting'))
        await _wait_for_queue(node)
        await _drain(node)
    responses = await asyncio.gather(running, waiting)
    assert [each.headers['bluebell-error'] for each in responses] == [
        'server-failed',
        'draining',
    ]
    assert responses[1].headers['bluebell-not-run'] == '1'
    assert _read_state(table, 'waiting') is ClaimState.RELEASED
    assert _read_state(table, 'running') is not ClaimState.RELEASED


async def test_call_whose_claim_was_released_at_a_stop_runs_elsewhere() -> None:
    stuck, table = FakeServer(_never_respond), FakeTable()
    other = FakeServer(respond_with(b'paid'))
    async with stuck.serving(), _make_orders_node(stuck, table) as node:
        running = asyncio.create_task(_call_orders(node, 'running'))
        await _wait_for_requests(stuck, 1)
        waiting = asyncio.create_task(_call_orders(node, 'waiting'))
        await _wait_for_queue(node)
        await _drain(node)
    await asyncio.gather(running, waiting)
    async with (
        other.serving(),
        _make_orders_node(other, table, 'other') as next_node,
    ):
        retried = await _call_orders(next_node, 'waiting')
        repeated = await _call_orders(next_node, 'running')
    assert retried.body == b'paid'
    assert repeated.headers['bluebell-error'] == 'outcome-unknown'
    assert len(other.received_requests) == 1


async def test_claim_of_a_call_that_is_not_sent_yet_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The connection to the server is never established."""
    server, table = FakeServer(_never_respond), FakeTable()

    async def connect(address: Address, **options: object) -> None:
        connecting.set()
        await anyio.sleep_forever()

    connecting = anyio.Event()
    async with _make_orders_node(server, table) as node:
        monkeypatch.setattr(node.plugin._pool, 'acquire', connect)
        call = asyncio.create_task(_call_orders(node, 'k1'))
        await connecting.wait()
        await _drain(node)
    response = await call
    assert response.headers['bluebell-error'] == 'draining'
    assert response.headers['bluebell-not-run'] == '1'
    assert _read_state(table, 'k1') is ClaimState.RELEASED


async def test_claim_that_was_reported_as_unavailable_is_released() -> None:
    """The table has stored the claim, but its responses were lost."""
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    table.responses_to_lose = 1
    table.reads_to_lose = 3
    async with server.serving(), _make_orders_node(server, table) as node:
        response = await _call_orders(node, 'k1')
        assert response.headers['bluebell-error'] == 'platform-down'
        await _drain(node)
    assert not server.received_requests
    assert _read_state(table, 'k1') is ClaimState.RELEASED


async def test_claim_that_cannot_be_released_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The table becomes unavailable before the node stops."""
    server, table = FakeServer(_never_respond), FakeTable()
    async with server.serving(), _make_orders_node(server, table) as node:
        running = asyncio.create_task(_call_orders(node, 'running'))
        await _wait_for_requests(server, 1)
        waiting = asyncio.create_task(_call_orders(node, 'waiting'))
        await _wait_for_queue(node)
        table.down = True
        with caplog.at_level(logging.WARNING):
            await _drain(node)
    responses = await asyncio.gather(running, waiting)
    assert _read_state(table, 'waiting') is ClaimState.CLAIMED
    assert responses[1].headers['bluebell-not-run'] == '1'
    unreleased = [
        record.__dict__['keys']
        for record in caplog.records
        if record.getMessage() == 'claims were not released'
    ]
    assert unreleased == [['claim/orders/waiting']]


async def test_response_of_a_call_that_ends_in_the_drain_is_stored() -> None:
    async def respond_after_leave(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        node.plugin.leave()
        writer.write(encode_response(b'paid'))

    server, table = FakeServer(respond_after_leave), FakeTable()
    async with server.serving(), _make_orders_node(server, table) as node:
        call = asyncio.create_task(_call_orders(node, 'k1'))
        await _wait_for_requests(server, 1)
        await _drain(node)
        assert (await call).body == b'paid'
    assert _read_state(table, 'k1') is ClaimState.DONE
