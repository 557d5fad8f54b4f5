"""Tests of at-most-once calls through nodes, servers and a fake table.

They guard against a second run of a call with the same idempotency key, and
against a response that wrongly promises that a call did not run. Such faults
come from concurrent calls, retries, lost table requests and responses, servers
that fail and nodes that stop.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import anyio
import pytest

from bluebellslip._internal.claims.rows import decode_claim
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

CLAIM_KEY = 'claim/orders/k1'


@contextlib.asynccontextmanager
async def mesh(
    server: FakeServer, table: FakeTable, back_count: int = 1
) -> AsyncGenerator[CallsNode, None]:
    """Run ``back_count`` nodes that share one server; yield a calling node."""
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(server.serving())
        front = CallsNode('front', table=table)
        for number in range(back_count):
            back = CallsNode(f'back{number}', table=table)
            back.set_backend('orders', server.address)
            front.add_members(back)
            await stack.enter_async_context(back.running())
        yield await stack.enter_async_context(front.running())


async def send_deposit(
    front: CallsNode, key: str = 'k1', path: str = '/deposits'
) -> ReceivedResponse:
    return await call_once(
        front.egress,
        path,
        service='orders',
        method='POST',
        idempotency_key=key,
    )


async def wait_until_response_stored(table: FakeTable) -> None:
    with anyio.fail_after(5):
        while decode_claim(table.rows[CLAIM_KEY].body).state == 'claimed':
            await anyio.sleep(0.01)


@pytest.mark.anyio
async def test_retry_gets_the_stored_response() -> None:
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    async with mesh(server, table, back_count=2) as front:
        first = await send_deposit(front)
        await wait_until_response_stored(table)
        retries = [await send_deposit(front) for _ in range(6)]
    assert first.status == 200
    assert {response.body for response in retries} == {b'paid'}
    assert len(server.received_requests) == 1


@pytest.mark.anyio
async def test_concurrent_calls_through_two_nodes_run_once() -> None:
    async def respond_slowly(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await asyncio.sleep(0.1)
        writer.write(encode_response(b'paid'))

    server, table = FakeServer(respond_slowly), FakeTable()
    table.delay_s = 0.005
    responses: list[ReceivedResponse] = []
    async with mesh(server, table, back_count=2) as front:

        async def send_one() -> None:
            responses.append(await send_deposit(front))

        async with anyio.create_task_group() as group:
            for _ in range(6):
                group.start_soon(send_one)
    assert len(server.received_requests) == 1
    assert {(response.status, response.body) for response in responses} == {
        (200, b'paid')
    }


@pytest.mark.anyio
async def test_key_is_refused_for_a_different_request() -> None:
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    async with mesh(server, table) as front:
        await send_deposit(front)
        await wait_until_response_stored(table)
        other = await send_deposit(front, path='/deposits/2')
    assert other.headers['bluebell-error'] == 'idempotency-key-reused'
    assert other.headers['bluebell-not-run'] == '1'
    assert len(server.received_requests) == 1


@pytest.mark.anyio
async def test_call_is_refused_as_not_run_while_the_table_is_down() -> None:
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    table.down = True
    async with mesh(server, table) as front:
        response = await send_deposit(front)
        assert response.headers['bluebell-error'] == 'platform-down'
        assert response.headers['bluebell-not-run'] == '1'
        assert not server.received_requests
        table.down = False
        assert (await send_deposit(front)).body == b'paid'
    assert len(server.received_requests) == 1


@pytest.mark.anyio
async def test_claim_with_a_lost_response_is_resolved() -> None:
    """The claim is stored, but the node gets no response from the table."""
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    table.responses_to_lose = 1
    async with mesh(server, table) as front:
        assert (await send_deposit(front)).body == b'paid'
    assert len(server.received_requests) == 1


@pytest.mark.anyio
async def test_call_whose_claim_was_lost_does_not_run() -> None:
    """The table neither receives nor confirms the claim."""
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    table.requests_to_lose = 1
    async with mesh(server, table) as front:
        response = await send_deposit(front)
        assert response.headers['bluebell-not-run'] == '1'
        assert not server.received_requests
        assert (await send_deposit(front)).body == b'paid'
    assert len(server.received_requests) == 1


@pytest.mark.anyio
async def test_call_with_a_truncated_response_is_never_retried() -> None:
    async def send_truncated_response(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        writer.write(encode_response(b'paid')[:-2])
        writer.close()

    server, table = FakeServer(send_truncated_response), FakeTable()
    async with mesh(server, table, back_count=2) as front:
        responses = [await send_deposit(front) for _ in range(3)]
    assert {each.headers['bluebell-error'] for each in responses} == {
        'outcome-unknown'
    }
    assert all('bluebell-not-run' not in each.headers for each in responses)
    assert len(server.received_requests) == 1


@pytest.mark.anyio
async def test_unreachable_server_releases_the_key() -> None:
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    front, back = (
        CallsNode('front', table=table),
        CallsNode('back', table=table),
    )
    back.set_backend('orders', server.address)
    front.add_members(back)
    async with front.running(), back.running():
        response = await send_deposit(front)
        assert response.headers['bluebell-not-run'] == '1'
        async with server.serving():
            assert (await send_deposit(front)).body == b'paid'
    assert decode_claim(table.rows[CLAIM_KEY].body).claimed


@pytest.mark.anyio
async def test_response_is_kept_for_a_caller_that_disconnected() -> None:
    """The call completes after the disconnect; a retry gets the response."""
    release = asyncio.Event()

    async def wait(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await release.wait()
        writer.write(encode_response(b'paid'))

    server, table = FakeServer(wait), FakeTable()
    async with mesh(server, table) as front:
        caller = await Caller.open(front.egress)
        caller.writer.write(
            b'POST /deposits HTTP/1.1\r\nhost: orders\r\n'
            b'idempotency-key: k1\r\n\r\n'
        )
        while not server.received_requests:
            await asyncio.sleep(0.01)
        caller.close()
        await asyncio.sleep(0.05)
        release.set()
        assert (await send_deposit(front)).body == b'paid'
    assert len(server.received_requests) == 1


@pytest.mark.anyio
@pytest.mark.parametrize('claim_only', [True, False])
async def test_node_failure_causes_no_second_run(claim_only: bool) -> None:
    """A node stops with the claim stored, before or after it calls the server.

    It is then unknown whether the call ran, so a retry through another node
    must not run it.
    """

    async def hang(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await asyncio.sleep(30)

    server, table = FakeServer(hang), FakeTable()
    table.hang = claim_only
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(server.serving())
        front = CallsNode('front', table=table)
        other = CallsNode('other', table=table)
        dying = CallsNode('dying', table=table)
        for back in (dying, other):
            back.set_backend('orders', server.address)
        front.add_members(dying)
        await stack.enter_async_context(front.running())
        await stack.enter_async_context(other.running())
        async with dying.running():
            call = asyncio.create_task(send_deposit(front))
            while not (server.received_requests or (claim_only and table.rows)):
                await asyncio.sleep(0.01)
        first = await call
        table.hang = False
        front.add_members(other)
        second = await send_deposit(front)
    assert first.headers['bluebell-error'] == 'server-failed'
    assert 'bluebell-not-run' not in first.headers
    assert second.headers['bluebell-error'] == 'outcome-unknown'
    assert len(server.received_requests) == int(not claim_only)


@pytest.mark.anyio
async def test_buffered_bodies_are_bounded() -> None:
    """Calls beyond the memory limit for bodies are refused as overload."""
    server, table = FakeServer(respond_with(b'paid')), FakeTable()
    callers = []
    async with mesh(server, table) as front:
        for number in range(20):
            caller = await Caller.open(front.egress)
            caller.writer.write(
                b'POST /deposits HTTP/1.1\r\nhost: orders\r\n'
                b'content-length: 1000000\r\nidempotency-key: b%d\r\n\r\n'
                % number
            )
            callers.append(caller)
        refused = [await caller.receive() for caller in callers[16:]]
        for caller in callers[:16]:
            caller.writer.write(b'x' * 1_000_000)
        responses = [await caller.receive() for caller in callers[:16]]
        for caller in callers:
            caller.close()
    kinds = {response.headers['bluebell-error'] for response in refused}
    assert kinds == {'overloaded'}
    assert {response.status for response in responses} <= {200, 503}
    assert {
        response.body for response in responses if response.status == 200
    } == {b'paid'}
