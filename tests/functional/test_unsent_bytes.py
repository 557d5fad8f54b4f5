"""Bytes that the kernel holds for a connection and has not delivered yet.

They guard against bodies that nobody needs any more and that other traffic of
the node must wait for, and against a node that ends before its last responses
have left.
"""

import asyncio
import contextlib
import socket
from collections.abc import AsyncGenerator

import pytest

from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.kernel.counters import InMemoryCounters
from lib.calls import HOST, find_free_address
from lib.simulated_platform import wait_until

pytestmark = pytest.mark.anyio

_HEAD = b'POST / HTTP/1.1\r\n\r\n'
_BODY = b'x' * 200_000
# Receive buffer of the peer, so that most of the body stays with its sender.
_WINDOW_BYTES = 16 * 1024
_HANG_TIMEOUT_S = 20


@contextlib.asynccontextmanager
async def open_connection() -> AsyncGenerator[
    tuple[OutboundConnection, socket.socket], None
]:
    """Yield a connection and the socket of its peer, which reads nothing."""
    loop = asyncio.get_running_loop()
    with socket.create_server((HOST, 0)) as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        _, connection = await loop.create_connection(
            OutboundConnection, *listener.getsockname()
        )
        peer, _ = listener.accept()
        peer.setblocking(False)
        with peer:
            try:
                yield connection, peer
            finally:
                connection.abort()


async def receive_rest(peer: socket.socket) -> tuple[int, bool]:
    """Return the number of bytes received, and whether the end was clean."""
    loop = asyncio.get_running_loop()
    received = 0
    try:
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            while chunk := await loop.sock_recv(peer, len(_BODY)):
                received += len(chunk)
    except ConnectionResetError:
        return received, False
    return received, True


def begin_post(connection: OutboundConnection) -> None:
    connection.begin(_HEAD, head_only=False, is_complete=False)


async def test_aborted_body_is_not_sent_on() -> None:
    """What the kernel holds of it would go out before anything sent later."""
    async with open_connection() as (connection, peer):
        begin_post(connection)
        connection.send(_BODY)
        connection.abort()
        # The socket is closed in a later turn of the loop.
        await asyncio.sleep(0.01)
        received, is_clean = await receive_rest(peer)
        assert not is_clean
        assert received < len(_BODY) // 2


async def test_aborted_short_request_closes_the_connection_cleanly() -> None:
    async with open_connection() as (connection, peer):
        begin_post(connection)
        connection.abort()
        assert await receive_rest(peer) == (len(_HEAD), True)


class _Handler:
    """Responds with a long body."""

    async def handle(self, request: InboundRequest) -> None:
        request.reply.respond(200, (), _BODY)


async def test_response_is_unsent_until_its_caller_has_received_it() -> None:
    """A node that stops waits for it, also if the kernel holds all of it."""
    loop = asyncio.get_running_loop()
    address = find_free_address()
    listener = Listener(address, _Handler(), InMemoryCounters())
    await listener.open()
    with socket.socket() as caller:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
        caller.setblocking(False)
        await loop.sock_connect(caller, (address.host, address.port))
        await loop.sock_sendall(
            caller, b'GET / HTTP/1.0\r\nhost: shop.example\r\n\r\n'
        )
        await wait_until(lambda: holds_response(listener))
        assert listener.unsent_bytes > len(_BODY) // 2
        received, is_clean = await receive_rest(caller)
        assert is_clean
        assert received > len(_BODY)
        await wait_until(lambda: holds_nothing(listener))
    listener.close()


async def holds_response(listener: Listener) -> bool:
    """Whether the whole response was passed to the kernel."""
    return any(
        not connection.transport.get_write_buffer_size()
        and not connection._in_progress
        and connection._close.has_begun
        for connection in listener._state.connections
    )


async def holds_nothing(listener: Listener) -> bool:
    return not listener.unsent_bytes
