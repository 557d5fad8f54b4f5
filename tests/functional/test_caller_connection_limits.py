"""Tests of connections that are idle, paused, broken off or closed late.

They guard against connections that are closed although their callers still use
them, against responses that are lost with them, and against input that is read
without backpressure.
"""

import asyncio
import contextlib
import datetime as dt
import socket

import pytest

from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.lingering import IDLE_LINGER_S
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.streams import MAX_DISCARDED_BYTES
from lib.calls import Caller
from lib.scripted_listener import (
    LARGE_BYTES,
    ScriptedHandler,
    encode_get,
    listening,
    open_slow_caller,
)
from lib.simulated_platform import wait_until

pytestmark = pytest.mark.anyio

_HANG_TIMEOUT_S = 10
_TWO_AT_A_TIME = CallerLimits(max_pipelined=2, buffered_bytes=1 << 16)
# What a socket delivers at once, on top of the limit of a buffer.
_READ_BYTES = 256 << 10


async def test_connection_is_not_idle_right_after_a_long_request() -> None:
    handler = ScriptedHandler()
    limits = CallerLimits(idle_timeout=dt.timedelta(seconds=1))
    async with listening(handler, limits) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(encode_get('/1'))
        await wait_until(lambda: handler.has_started('/1'))
        await asyncio.sleep(1.2)
        handler.allow('/1')
        handler.allow('/2')
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            await caller.receive()
            listener.close_idle()
            caller.writer.write(encode_get('/2'))
            second = await caller.receive()
        caller.close()
    assert second.body == b'/2'


async def test_waiting_request_is_not_cancelled_by_a_closing_response() -> None:
    handler = ScriptedHandler()
    async with listening(handler, _TWO_AT_A_TIME) as listener:
        caller = await Caller.open(listener.address)
        targets = [f'/{number}' for number in range(1, 5)]
        caller.writer.write(b''.join(map(encode_get, targets)))
        await wait_until(lambda: handler.has_started('/2'))
        listener.start_draining()
        handler.allow('/1')
        handler.allow('/2')
        await wait_until(lambda: handler.has_started('/4'))
        handler.allow('/3')
        await asyncio.sleep(0.1)
        handler.allow('/4')
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            responses = [await caller.receive() for _ in targets]
            assert await caller.reader.read() == b''
        caller.close()
    assert not handler.cancelled
    assert [response.body.decode() for response in responses] == targets


@pytest.mark.parametrize('bytes_read', [0, 10])
async def test_request_sent_before_the_shutdown_is_answered(
    bytes_read: int,
) -> None:
    """It waits in an idle connection's socket, or its head is half read."""
    handler = ScriptedHandler()
    handler.allow('/1')
    async with listening(handler) as listener:
        caller = await Caller.open(listener.address)
        await caller.call('/1')
        message = encode_get('/2')
        caller.writer.write(message[:bytes_read])
        await asyncio.sleep(0.05)
        caller.writer.write(message[bytes_read:])
        listener.shut_down()
        await asyncio.sleep(0.05)
        listener.shut_down()
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        caller.close()
    assert response.status == 503


@pytest.mark.parametrize('steps', [0, 1, 2, 3])
async def test_connection_accepted_during_the_shutdown_is_answered(
    steps: int,
) -> None:
    """The event loop takes several steps to set up a new connection."""
    handler = ScriptedHandler()
    handler.allow('/1')
    async with listening(handler) as listener:
        connection = socket.create_connection((
            listener.address.host,
            listener.address.port,
        ))
        connection.sendall(encode_get('/1'))
        for _ in range(steps):
            await asyncio.sleep(0)
        listener.shut_down()
        caller = Caller(*await asyncio.open_connection(sock=connection))
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        caller.close()
    assert response.status in {200, 503}


class _BreakingHandler:
    """Responds in full to the first request, breaks off the second."""

    async def handle(self, request: InboundRequest) -> None:
        if request.target == b'/1':
            request.reply.respond(200, [], b'x' * LARGE_BYTES)
            return
        request.reply.start(200, [], 100)
        request.reply.write(b'y')
        request.reply.writer.abort()


async def test_broken_off_response_leaves_the_one_before_it() -> None:
    async with listening(_BreakingHandler()) as listener:
        caller = await open_slow_caller(listener)
        caller.writer.write(encode_get('/1') + encode_get('/2'))
        await asyncio.sleep(0.3)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            first = await caller.receive()
            with pytest.raises(asyncio.IncompleteReadError):
                await caller.receive()
        caller.close()
    assert len(first.body) == LARGE_BYTES


async def test_closed_connection_delivers_to_a_slow_reader() -> None:
    """Input arrives long after the close, while output is undelivered."""
    handler = ScriptedHandler()
    handler.bodies['/1'] = b'x' * LARGE_BYTES
    async with listening(handler) as listener:
        caller = await open_slow_caller(listener)
        caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
        caller.writer.write(encode_get('/1'))
        await wait_until(lambda: handler.has_started('/1'))
        listener.start_draining()
        handler.allow('/1')
        await asyncio.sleep(IDLE_LINGER_S + 0.5)
        caller.writer.write(encode_get('/2'))
        await asyncio.sleep(0.1)
        caller.reader._transport.resume_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        caller.close()
    assert len(response.body) == LARGE_BYTES


async def test_body_behind_pipelined_requests_has_backpressure() -> None:
    handler = ScriptedHandler()
    size = 64 << 20
    async with listening(handler, _TWO_AT_A_TIME) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(
            encode_get('/1')
            + encode_get('/2')
            + b'POST /3 HTTP/1.1\r\nhost: shop\r\n'
            + b'content-length: %d\r\n\r\n' % size
            + b'x' * (4 * _TWO_AT_A_TIME.buffered_bytes)
        )
        await wait_until(lambda: handler.has_started('/2'))
        handler.allow('/1')
        handler.allow('/2')
        await wait_until(lambda: handler.has_started('/3'))
        caller.writer.write(b'x' * (size // 2))
        await asyncio.sleep(0.5)
        buffered = handler.requests[-1].body.size
        caller.close()
    assert buffered <= 4 * _TWO_AT_A_TIME.buffered_bytes + 2 * _READ_BYTES


class _StreamingHandler:
    """Breaks off a response that ends with its connection."""

    async def handle(self, request: InboundRequest) -> None:
        request.reply.start(200, [], None)
        request.reply.write(b'a part')
        await asyncio.sleep(0.1)
        request.reply.writer.abort()


async def test_broken_off_response_without_a_length_is_not_complete() -> None:
    async with listening(_StreamingHandler()) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(b'GET /1 HTTP/1.0\r\nhost: shop\r\n\r\n')
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            with pytest.raises(ConnectionResetError):
                await caller.reader.read()
        caller.close()


@pytest.mark.parametrize('excess', [1, 1000, 60_000, 150_000])
async def test_connection_is_closed_if_a_refused_body_ends_over_its_limit(
    excess: int,
) -> None:
    """The caller would wait on it for the response to its next request."""
    handler = ScriptedHandler()
    handler.allow('/1')
    handler.allow('/2')
    size = MAX_DISCARDED_BYTES + excess
    head = (
        b'POST /1 HTTP/1.1\r\nhost: shop\r\ncontent-length: %d\r\n\r\n' % size
    )
    async with listening(handler) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(head)
        await wait_until(lambda: handler.has_started('/1'))
        caller.writer.write(b'x' * size)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            refusal = await caller.receive()
            await asyncio.sleep(0.1)
            caller.writer.write(encode_get('/2'))
            rest = await read_rest(caller)
        caller.close()
    assert refusal.body == b'/1'
    assert not rest or rest.startswith(b'HTTP/1.1 200')


async def read_rest(caller: Caller) -> bytes:
    """Return what follows on a connection until its end or a response."""
    with contextlib.suppress(ConnectionError):
        return await caller.reader.read(1 << 16)
    return b''


async def test_connection_with_undelivered_output_is_not_idle() -> None:
    """Its caller may use it again once it has received everything."""
    handler = ScriptedHandler()
    handler.bodies['/1'] = b'x' * LARGE_BYTES
    handler.allow('/1')
    handler.allow('/2')
    limits = CallerLimits(idle_timeout=dt.timedelta(seconds=1))
    async with listening(handler, limits) as listener:
        caller = await open_slow_caller(listener)
        caller.reader._transport.pause_reading()  # type: ignore[attr-defined]
        caller.writer.write(encode_get('/1'))
        await wait_until(lambda: handler.has_started('/1'))
        await asyncio.sleep(1.2)
        listener.close_idle()
        caller.reader._transport.resume_reading()  # type: ignore[attr-defined]
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            first = await caller.receive()
            caller.writer.write(encode_get('/2'))
            second = await caller.receive()
        caller.close()
    assert len(first.body) == LARGE_BYTES
    assert second.body == b'/2'


async def test_connection_that_is_closing_counts_once_as_closed_idle() -> None:
    handler = ScriptedHandler()
    handler.allow('/1')
    async with listening(handler) as listener:
        caller = await Caller.open(listener.address)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            await caller.call('/1')
        connection = next(iter(listener._state.connections))
        connection.transport.close()
        listener.shut_down()
        for _ in range(3):
            listener.shut_down()
        assert listener.closed_idle == 0
        caller.close()


async def test_closed_listener_starts_no_request() -> None:
    """A connection waits to be accepted when the listener is closed."""
    handler = ScriptedHandler()
    async with listening(handler) as listener:
        connection = socket.create_connection((
            listener.address.host,
            listener.address.port,
        ))
        connection.sendall(encode_get('/1'))
        listener.close()
        await asyncio.sleep(0.1)
        connection.close()
    assert not handler.started
