"""Tests of peers that send bytes without end, over real connections.

They guard against a caller or a server that uses up the memory or the event
loop of a node, and against a connection that is read on after it was refused.
"""

import asyncio
import contextlib
import datetime as dt
import tracemalloc
from collections.abc import AsyncGenerator, Generator

import pytest

from bluebellslip._internal.calls.error_bodies import MAX_ERROR_BODY_BYTES
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.http_client import ClientRequest, send_request
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import (
    BluebellError,
    HeadTooLargeError,
    OverloadedError,
    PlatformDownError,
    PlatformOutcomeUnknownError,
    ServerFailedError,
)
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip_platform.store_client import Effect, StoreCall, StoreClient
from lib.calls import Caller, FakeServer, ReceivedRequest, find_free_address
from lib.endless_input import (
    REQUEST_BODIES,
    REQUEST_HEADS,
    RESPONSE_BODIES,
    RESPONSE_HEADS,
    EndlessInput,
)

pytestmark = pytest.mark.anyio

_WRITE_BYTES = 64 * 1024
# A sender that is still connected after this many bytes was not refused.
_SENT_BYTES = 64 << 20
# Bytes in the buffers of the sockets, which nobody has read, and the limit.
_ACCEPTED_BYTES = 16 << 20
_MEMORY_BYTES = 4 << 20
# The largest response that is buffered.
_STORE_MEMORY_BYTES = 8 << 20
_MAX_PIPELINED = 8
_TIMEOUT = dt.timedelta(seconds=60)


class _Handler:
    """Reads each body, or refuses each request."""

    def __init__(self) -> None:
        self.refuses = False
        self.errors: list[BluebellError] = []
        self.finish = asyncio.Event()
        self.waiting = 0

    async def handle(self, request: InboundRequest) -> None:
        if request.target == b'/wait':
            self.waiting += 1
            await self.finish.wait()
        if self.refuses:
            raise OverloadedError('The test refuses this request.')
        try:
            await request.body.read_all()
        except BluebellError as error:
            self.errors.append(error)
            raise
        request.reply.respond(200, (), b'done')


@contextlib.contextmanager
def _bounded_memory() -> Generator[None, None, None]:
    tracemalloc.start()
    try:
        yield
        assert tracemalloc.get_traced_memory()[1] < _MEMORY_BYTES
    finally:
        tracemalloc.stop()


@contextlib.asynccontextmanager
async def _listening(handler: _Handler) -> AsyncGenerator[Listener, None]:
    listener = Listener(
        find_free_address(),
        handler,
        InMemoryCounters(),
        CallerLimits(
            max_pipelined=_MAX_PIPELINED, head_error=HeadTooLargeError
        ),
    )
    await listener.open()
    try:
        yield listener
    finally:
        listener.close()


async def _send_until_closed(
    writer: asyncio.StreamWriter, endless: EndlessInput
) -> int:
    """Send until the peer closes; return the number of bytes sent."""
    sent = 0
    with contextlib.suppress(ConnectionError):
        for chunk in endless.chunks(_WRITE_BYTES, _SENT_BYTES):
            writer.write(chunk)
            await writer.drain()
            sent += len(chunk)
    return sent


@pytest.mark.parametrize(
    'endless', REQUEST_HEADS, ids=lambda endless: endless.name
)
async def test_caller_is_read_on_after_an_endless_head(
    endless: EndlessInput,
) -> None:
    async with _listening(_Handler()) as listener:
        caller = await Caller.open(listener.address)
        with _bounded_memory():
            sent = await _send_until_closed(caller.writer, endless)
        assert sent < _ACCEPTED_BYTES
        caller.close()


@pytest.mark.parametrize(
    'endless', REQUEST_BODIES, ids=lambda endless: endless.name
)
async def test_caller_is_read_on_after_endless_framing_of_a_body(
    endless: EndlessInput,
) -> None:
    handler = _Handler()
    async with _listening(handler) as listener:
        caller = await Caller.open(listener.address)
        with _bounded_memory():
            sent = await _send_until_closed(caller.writer, endless)
        assert sent < _ACCEPTED_BYTES
        caller.close()
    assert [type(error) for error in handler.errors] == [HeadTooLargeError]


@pytest.mark.parametrize(
    'endless',
    [*RESPONSE_HEADS, *RESPONSE_BODIES],
    ids=lambda endless: endless.name,
)
async def test_server_is_read_on_after_an_endless_response(
    endless: EndlessInput,
) -> None:
    sent: list[int] = []

    async def respond(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        sent.append(await _send_until_closed(writer, endless))

    pool = ConnectionPool(InMemoryCounters())
    async with FakeServer(respond).serving() as server:
        with _bounded_memory():
            with pytest.raises(ServerFailedError) as raised:
                await send_request(
                    pool, server.address, ClientRequest(b'GET', b'/'), _TIMEOUT
                )
            assert 'too large' in raised.value.message
            while not sent:
                await asyncio.sleep(0.01)
    assert sent[0] < _ACCEPTED_BYTES


async def test_body_of_a_refused_request_is_read_without_end() -> None:
    handler = _Handler()
    handler.refuses = True
    endless = EndlessInput(
        'body',
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999999\r\n\r\n',
        b'x' * 1000,
    )
    async with _listening(handler) as listener:
        caller = await Caller.open(listener.address)
        with _bounded_memory():
            sent = await _send_until_closed(caller.writer, endless)
        assert sent < _ACCEPTED_BYTES
        caller.close()


@pytest.mark.parametrize(
    'repeated',
    [
        b'\x00garbage',
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999999\r\n\r\n',
    ],
    ids=['garbage', 'refused body'],
)
async def test_bytes_behind_a_running_request_are_read_without_end(
    repeated: bytes,
) -> None:
    """Input that can't be served follows a request that is being served."""
    handler = _Handler()
    handler.refuses = True
    endless = EndlessInput(
        'input', b'GET /wait HTTP/1.1\r\nhost: a\r\n\r\n', repeated
    )
    async with _listening(handler) as listener:
        caller = await Caller.open(listener.address)
        sending = asyncio.create_task(
            _send_until_closed(caller.writer, endless)
        )
        await _wait_while_sending(caller.writer, sending)
        assert not sending.done()
        handler.finish.set()
        assert await sending < 2 * _ACCEPTED_BYTES
        caller.close()


async def test_pipelined_requests_are_parsed_without_end() -> None:
    """A read holds thousands of requests, of which few may run at a time."""
    handler = _Handler()
    count = 20_000
    async with _listening(handler) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(b'GET /wait HTTP/1.1\r\n\r\n' * count)
        tracemalloc.start()
        try:
            while handler.waiting < _MAX_PIPELINED:
                await asyncio.sleep(0.01)
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        handler.finish.set()
        for _ in range(count):
            assert (await caller.receive()).status == 200
        caller.close()
    assert peak < _MEMORY_BYTES


_ENDLESS_BODY = EndlessInput(
    'body',
    b'HTTP/1.1 200 OK\r\ncontent-length: 9999999999\r\n\r\n',
    b'x' * 1000,
)


async def _respond_without_end(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: ReceivedRequest,
) -> None:
    await _send_until_closed(writer, _ENDLESS_BODY)


@pytest.mark.parametrize(
    ('effect', 'expected'),
    [
        (Effect.READ, PlatformDownError),
        (Effect.WRITE, PlatformOutcomeUnknownError),
    ],
)
async def test_endless_response_of_the_store_is_not_a_store_error(
    effect: Effect, expected: type[BluebellError]
) -> None:
    async with FakeServer(_respond_without_end).serving() as server:
        store = StoreClient(server.address, InMemoryCounters())
        tracemalloc.start()
        try:
            with pytest.raises(expected):
                await store.send(StoreCall(effect, '/rows'))
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
    assert peak < _STORE_MEMORY_BYTES


async def test_long_error_body_of_a_peer_counts_against_the_caller() -> None:
    async with FakeServer(_respond_without_end).serving() as server:
        pool = ConnectionPool(InMemoryCounters())
        with Exchange(pool, server.address) as exchange:
            await exchange.open()
            connection = exchange.connection
            connection.begin(
                b'GET / HTTP/1.1\r\n\r\n', head_only=False, is_complete=True
            )
            await connection.response()
            connection.body.limit_to(MAX_ERROR_BODY_BYTES)
            with pytest.raises(ServerFailedError):
                await connection.body.read_all()


async def _wait_while_sending(
    writer: asyncio.StreamWriter, sending: 'asyncio.Task[int]'
) -> None:
    """Wait until the peer reads no more, or everything is sent."""
    buffered = -1
    while not sending.done():
        await asyncio.sleep(0.2)
        size = writer.transport.get_write_buffer_size()
        if size and size == buffered:
            return
        buffered = size
