"""A listener with a handler that tests control, and callers for it."""

import asyncio
import contextlib
import socket
from collections.abc import AsyncGenerator

from bluebellslip._internal.calls.inbound import Handler
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.kernel.counters import InMemoryCounters
from lib.calls import Caller, find_free_address

PIPELINED = CallerLimits(max_pipelined=8)
# More than the send and receive buffers of the sockets hold.
LARGE_BYTES = 16 << 20
_RECEIVE_BUFFER_BYTES = 16 << 10


class ScriptedHandler:
    """Responds to each request once the test allows its target."""

    def __init__(self) -> None:
        self.requests: list[InboundRequest] = []
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.bodies: dict[str, bytes] = {}
        self._allowed: dict[str, asyncio.Event] = {}

    def allow(self, target: str) -> None:
        self._allowed.setdefault(target, asyncio.Event()).set()

    async def has_started(self, target: str) -> bool:
        return target in self.started

    async def has_cancelled(self, target: str) -> bool:
        return target in self.cancelled

    async def handle(self, request: InboundRequest) -> None:
        target = request.target.decode()
        self.requests.append(request)
        self.started.append(target)
        try:
            await self._allowed.setdefault(target, asyncio.Event()).wait()
        except asyncio.CancelledError:
            self.cancelled.append(target)
            raise
        body = self.bodies.get(target, target.encode())
        request.reply.start(200, [], len(body))
        request.reply.finish(body)


@contextlib.asynccontextmanager
async def listening(
    handler: Handler, limits: CallerLimits = PIPELINED
) -> AsyncGenerator[Listener, None]:
    listener = Listener(
        find_free_address(), handler, InMemoryCounters(), limits
    )
    await listener.open()
    try:
        yield listener
    finally:
        listener.close()


def encode_get(target: str) -> bytes:
    return f'GET {target} HTTP/1.1\r\nhost: shop\r\n\r\n'.encode()


async def open_slow_caller(listener: Listener) -> Caller:
    """Open a connection with a small receive buffer."""
    connection = socket.socket()
    connection.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )
    connection.setblocking(False)
    address = (listener.address.host, listener.address.port)
    await asyncio.get_running_loop().sock_connect(connection, address)
    return Caller(*await asyncio.open_connection(sock=connection, limit=1024))
