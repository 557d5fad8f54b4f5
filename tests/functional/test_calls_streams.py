"""Tests of streamed bodies, input limits and draining of nodes.

They guard against transfers cut off by a drain, bodies buffered without bound
for a slow reader, and malformed or oversized input that is accepted.
"""

import asyncio

import anyio
import pytest

from lib.calls import (
    Caller,
    CallsNode,
    FakeServer,
    ReceivedRequest,
    call_once,
    encode_response,
    respond_with,
)
from lib.calls_mesh import run_calls_mesh

_RESPONSE_BYTES = 32 << 20
_GET = b'GET /samples HTTP/1.1\r\nhost: storefront\r\n\r\n'
_LONG_HEADER = b'GET / HTTP/1.1\r\nx: %b' % (b'a' * 40_000)
_MANY_HEADERS = b'GET / HTTP/1.1\r\n%b\r\n' % (b'a: b\r\n' * 200)
_LENGTH_AND_CHUNKED = (
    b'GET /samples HTTP/1.1\r\nhost: storefront\r\n'
    b'content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n'
)
_OVERSIZED_BODY = (
    b'GET /samples HTTP/1.1\r\nhost: storefront\r\n'
    b'content-length: 99999999\r\n\r\n'
)


@pytest.mark.anyio
async def test_drain_completes_running_uploads() -> None:
    server = FakeServer(respond_with(b'stored'))
    async with run_calls_mesh(server) as (front, backs):
        caller = await Caller.open(backs[0].ingress)
        caller.writer.write(
            b'GET /samples HTTP/1.1\r\nhost: storefront\r\n'
            b'content-length: 200000\r\n\r\n'
        )
        for number in range(10):
            caller.writer.write(b'x' * 20_000)
            await asyncio.sleep(0.01)
            if number == 4:
                backs[0].plugin.leave()
        new = await call_once(front.egress, '/samples')
        assert new.headers['bluebell-error'] == 'draining'
        assert new.headers['bluebell-not-run'] == '1'
        response = await caller.receive()
        assert (response.status, response.body) == (200, b'stored')
        assert response.headers['connection'] == 'close'
        assert await caller.reader.read() == b''
        with anyio.fail_after(10):
            await backs[0].plugin.drain()
        caller.close()
    assert [len(request.body) for request in server.received_requests] == [
        200_000
    ]


@pytest.mark.anyio
async def test_slow_reader_applies_backpressure_to_the_server() -> None:
    """The server stops sending before all of its response is buffered."""
    sent = 0

    async def flood(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        nonlocal sent
        writer.write(
            b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % _RESPONSE_BYTES
        )
        for _ in range(_RESPONSE_BYTES // 65536):
            writer.write(b'x' * 65536)
            await writer.drain()
            sent += 65536

    async with run_calls_mesh(FakeServer(flood)) as (front, _):
        caller = await Caller.open(front.egress)
        caller.writer.write(_GET)
        before = -1
        while before != sent:
            before = sent
            await asyncio.sleep(0.2)
        assert sent < _RESPONSE_BYTES
        response = await caller.receive()
        assert len(response.body) == _RESPONSE_BYTES
        caller.close()


@pytest.mark.anyio
async def test_chunked_upload_is_forwarded() -> None:
    server = FakeServer(respond_with(b'stored'))
    async with run_calls_mesh(server) as (front, _):
        caller = await Caller.open(front.egress)
        caller.writer.write(
            b'GET /samples HTTP/1.1\r\nhost: storefront\r\n'
            b'transfer-encoding: chunked\r\n\r\n'
        )
        for _ in range(8):
            caller.writer.write(b'186a0\r\n%b\r\n' % (b'y' * 100_000))
            await asyncio.sleep(0.005)
        caller.writer.write(b'0\r\n\r\n')
        assert (await caller.receive()).body == b'stored'
        caller.close()
    assert server.received_requests[0].body == b'y' * 800_000


@pytest.mark.anyio
@pytest.mark.parametrize(
    ('sent', 'status'),
    [
        (b'\x16\x03\x01\x02\x00nonsense\r\n\r\n', b'400'),
        (_LONG_HEADER, b'413'),
        (_MANY_HEADERS, b'413'),
        (b'GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n', b'400'),
        (_OVERSIZED_BODY, b'413'),
        (_LENGTH_AND_CHUNKED, b'400'),
    ],
)
async def test_invalid_input_is_refused_and_counted(
    sent: bytes, status: bytes
) -> None:
    async with run_calls_mesh(FakeServer(respond_with(b'hello'))) as (front, _):
        caller = await Caller.open(front.egress)
        caller.writer.write(sent)
        line = await caller.reader.readline()
        assert line.split()[1] == status
        caller.close()
        assert front.counters.sums['calls_refused'] == 1
        assert (await call_once(front.egress, '/samples')).status == 200


@pytest.mark.anyio
async def test_idle_connection_closed_by_the_server_is_replaced() -> None:
    """The server aborts each connection at its second request."""

    async def abort_second_request(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        if writer in served:
            writer.transport.abort()
        else:
            served.add(writer)
            writer.write(encode_response(b'hello'))

    served: set[asyncio.StreamWriter] = set()
    async with run_calls_mesh(FakeServer(abort_second_request)) as (front, _):
        for _ in range(6):
            assert (await call_once(front.egress, '/samples')).body == b'hello'


@pytest.mark.anyio
async def test_drain_waits_until_responses_are_sent() -> None:
    """The call has ended, but its caller has not yet read the response."""

    async def fill_buffers(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        nonlocal sent
        writer.write(b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
        while not back.plugin.bytes_unsent:
            writer.write(b'2000\r\n%b\r\n' % (b'x' * 0x2000))
            sent += 0x2000
            await asyncio.sleep(0.001)
        writer.write(b'0\r\n\r\n')

    sent = 0
    server = FakeServer(fill_buffers)
    back = CallsNode('back')
    back.set_backend('storefront', server.address)
    async with server.serving():
        async with back.running():
            caller = await Caller.open(back.ingress)
            caller.writer.transport.pause_reading()
            caller.writer.write(_GET)
            while not (server.received_requests and back.plugin.bytes_unsent):
                await asyncio.sleep(0.005)
            while back.plugin.calls_in_flight:
                await asyncio.sleep(0.005)
            back.plugin.leave()
            draining = asyncio.create_task(back.plugin.drain())
            await asyncio.wait([draining], timeout=0.1)
            caller.writer.transport.resume_reading()
            receiving = asyncio.create_task(caller.receive())
            await draining
        response = await receiving
    caller.close()
    assert len(response.body) == sent


@pytest.mark.anyio
async def test_calls_that_outlast_the_drain_get_a_response() -> None:
    """One call runs at the server, the other waits for its only slot."""

    async def never_respond(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await reader.read()

    server = FakeServer(never_respond)
    back = CallsNode('back')
    back.set_backend('storefront', server.address, slots=1)
    async with server.serving():
        async with back.running():
            running = await Caller.open(back.ingress)
            running.writer.write(_GET)
            while not server.received_requests:
                await asyncio.sleep(0.005)
            waiting = await Caller.open(back.ingress)
            waiting.writer.write(_GET)
            while back.plugin.calls_in_flight < 2:
                await asyncio.sleep(0.005)
            back.plugin.leave()
            with anyio.move_on_after(0.05):
                await back.plugin.drain()
        refused = await waiting.receive()
        assert refused.headers['bluebell-not-run'] == '1'
        cut_off = await running.receive()
        assert cut_off.headers['bluebell-error'] == 'server-failed'
        assert 'bluebell-not-run' not in cut_off.headers
    running.close()
    waiting.close()
