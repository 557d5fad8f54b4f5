"""Tests of connections that a listener closes while callers still send.

They guard against requests that are started and then cancelled by the close,
and against responses that are lost because the close resets the connection.
"""

import asyncio
import gc
import socket
import weakref

import pytest

from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.request import InboundRequest
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


async def test_request_behind_a_closing_response_is_not_started() -> None:
    """Its caller may send it again only if it did not run."""
    handler = ScriptedHandler()
    async with listening(handler) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(encode_get('/1'))
        await wait_until(lambda: handler.has_started('/1'))
        listener.start_draining()
        handler.allow('/2')
        caller.writer.write(encode_get('/2'))
        await wait_until(lambda: handler.has_started('/2'))
        caller.writer.write(encode_get('/3'))
        await asyncio.sleep(0.1)
        handler.allow('/1')
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            first = await caller.receive()
            second = await caller.receive()
            assert await caller.reader.read() == b''
        caller.close()
    assert (first.body, second.body) == (b'/1', b'/2')
    assert second.headers['connection'] == 'close'
    assert handler.started == ['/1', '/2']
    assert not handler.cancelled


async def test_caller_that_left_did_not_have_its_connection_closed() -> None:
    """The log says so, also of its further requests on the connection."""
    handler = ScriptedHandler()
    async with listening(handler) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(encode_get('/1') + encode_get('/2'))
        await wait_until(lambda: handler.has_started('/2'))
        caller.close()
        await wait_until(lambda: handler.has_cancelled('/2'))
    assert [request.connection_closed for request in handler.requests] == [
        True,
        True,
    ]
    assert not any(request.closed_by_node for request in handler.requests)


async def test_each_request_of_a_caller_that_left_is_accounted_for() -> None:
    """One is running, one is done behind it, and one waits for its turn."""
    handler = ScriptedHandler()
    unanswered: list[tuple[bytes, str]] = []

    def record(request: InboundRequest, outcome: str) -> None:
        unanswered.append((request.target, outcome))

    async with listening(handler, CallerLimits(max_pipelined=2)) as listener:
        listener.on_unanswered(record)
        caller = await Caller.open(listener.address)
        caller.writer.write(b''.join(map(encode_get, ('/1', '/2', '/3'))))
        await wait_until(lambda: handler.has_started('/2'))
        handler.allow('/2')
        await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.1)
        # Reading is paused for the waiting request.
        listener.close_idle()
        await wait_until(lambda: handler.has_cancelled('/1'))
    assert unanswered == [
        (b'/3', 'caller-left-waiting'),
        (b'/2', 'undelivered'),
    ]


async def test_response_is_not_lost_when_input_follows_it() -> None:
    """Closing a socket with unread input would discard its unsent output."""
    handler = ScriptedHandler()
    handler.bodies['/1'] = b'x' * LARGE_BYTES
    async with listening(handler) as listener:
        caller = await open_slow_caller(listener)
        caller.writer.write(encode_get('/1'))
        await wait_until(lambda: handler.has_started('/1'))
        listener.start_draining()
        handler.allow('/1')
        await asyncio.sleep(0.1)
        caller.writer.write(encode_get('/2'))
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        caller.close()
    assert len(response.body) == LARGE_BYTES
    assert handler.started == ['/1']


async def test_refusal_is_not_lost_while_the_body_is_still_sent() -> None:
    """The caller reads the response only once it has sent all."""
    handler = ScriptedHandler()
    handler.bodies['/1'] = b'x' * LARGE_BYTES
    handler.allow('/1')
    async with listening(handler) as listener:
        caller = await open_slow_caller(listener)
        caller.writer.write(
            b'POST /1 HTTP/1.1\r\nhost: shop\r\ncontent-length: 4000\r\n\r\n'
        )
        for _ in range(30):
            caller.writer.write(b'x' * 100)
            await asyncio.sleep(0.1)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        caller.close()
    assert len(response.body) == LARGE_BYTES


async def test_request_on_an_accepted_connection_is_answered() -> None:
    """The connection waits in the listener's queue when it shuts down."""
    handler = ScriptedHandler()
    async with listening(handler) as listener:
        connection = socket.create_connection((
            listener.address.host,
            listener.address.port,
        ))
        connection.sendall(encode_get('/1'))
        # The event loop has not run since, so nothing was accepted.
        listener.shut_down()
        reader, writer = await asyncio.open_connection(sock=connection)
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await Caller(reader, writer).receive()
        writer.close()
    assert response.status == 503
    assert response.headers['connection'] == 'close'
    assert not handler.started


async def test_request_behind_others_is_refused_after_the_shutdown() -> None:
    handler = ScriptedHandler()
    async with listening(handler) as listener:
        caller = await Caller.open(listener.address)
        caller.writer.write(encode_get('/1'))
        await wait_until(lambda: handler.has_started('/1'))
        listener.start_draining()
        listener.shut_down()
        caller.writer.write(encode_get('/2') + encode_get('/3'))
        await wait_until(lambda: has_ignored(listener, 1))
        handler.allow('/1')
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            first = await caller.receive()
            second = await caller.receive()
            assert await caller.reader.read() == b''
        caller.close()
    assert (first.status, second.status) == (200, 503)
    assert 'connection' not in first.headers
    assert second.headers['connection'] == 'close'
    assert handler.started == ['/1']


async def has_ignored(listener: Listener, count: int) -> bool:
    return listener.ignored_requests == count


async def test_closed_connection_waits_for_a_garbage_collection() -> None:
    """A crowd that comes back would find the memory of the last one taken."""
    handler = ScriptedHandler()
    gc.collect()
    gc.disable()
    try:
        async with listening(handler) as listener:
            caller = await Caller.open(listener.address)
            caller.writer.write(encode_get('/1') + encode_get('/2'))
            await wait_until(lambda: handler.has_started('/2'))
            connection = weakref.ref(next(iter(listener._state.connections)))
            caller.close()
            await wait_until(lambda: handler.has_cancelled('/2'))
            handler.requests.clear()
            await asyncio.sleep(0.1)
            assert connection() is None
    finally:
        gc.enable()
