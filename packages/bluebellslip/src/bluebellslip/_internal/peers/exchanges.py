"""Exchanges between nodes: unary calls of one service over grpclib."""

import dataclasses
import datetime as dt
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Any, Final

from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.const import Cardinality, Handler, Status
from grpclib.encoding.base import CodecBase
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server, Stream

from bluebellslip._internal.exceptions import BluebellError, PeerGarbledError
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.messages import PeerMessage
from bluebellslip._internal.peers.codec import PeerCodec

_METHOD: Final = '/bluebellslip.Peer/Exchange'
_MAX_CONNECTIONS: Final = 4
_MAX_IDLE: Final = dt.timedelta(seconds=4)

_Handler = Callable[[Any], Awaitable[PeerMessage]]


class ExchangeCodec(CodecBase):
    """Adapts the peer codec to grpclib.

    Parameters
    ----------
    codec
        Encoding of the messages.
    counters
        Where bytes are counted.
    """

    __content_subtype__ = 'msgpack'

    def __init__(self, codec: PeerCodec, counters: Counters) -> None:
        self._codec = codec
        self._counters = counters

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode one message."""
        packet = self._codec.encode(message)
        self._counters.add('peer_bytes_sent', len(packet))
        return packet

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Check and decode one message."""
        self._counters.add('peer_bytes_received', len(data))
        return self._codec.decode(data)


class ExchangeServer:
    """Answers each exchange with the handler of its message kind.

    Parameters
    ----------
    codec
        Encoding of the messages.
    counters
        Where refusals are counted.
    """

    def __init__(self, codec: ExchangeCodec, counters: Counters) -> None:
        self._codec = codec
        self._counters = counters
        self._handlers: dict[type[PeerMessage], _Handler] = {}
        self._server: Server | None = None

    def set_handler(self, kind: type[PeerMessage], handler: _Handler) -> None:
        """Answer every exchange of a kind with the handler's response."""
        self._handlers[kind] = handler

    async def open(self, listen: Address) -> None:
        """Start listening.

        The grpclib server is created only here, since it needs a running event
        loop, and the node is built before the loop runs.
        """
        self._server = Server([self], codec=self._codec)
        await self._server.start(listen.host, listen.port)

    async def close(self) -> None:
        """Stop listening and end running exchanges."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    async def _exchange(
        self, stream: 'Stream[PeerMessage, PeerMessage]'
    ) -> None:
        try:
            request = await stream.recv_message()
        except PeerGarbledError as error:
            self._counters.add('peer_exchanges_refused')
            raise GRPCError(Status.UNAUTHENTICATED) from error
        handler = self._handlers.get(type(request)) if request else None
        if request is None or handler is None:
            self._counters.add('peer_exchanges_refused')
            raise GRPCError(Status.UNIMPLEMENTED)
        try:
            response = await handler(request)
        except BluebellError as error:
            raise GRPCError(Status.UNAVAILABLE, error.message) from error
        await stream.send_message(response)

    def _map_methods(self) -> dict[str, Handler]:
        return {
            _METHOD: Handler(
                self._exchange,
                Cardinality.UNARY_UNARY,
                PeerMessage,
                PeerMessage,
            )
        }

    __mapping__ = _map_methods  # the name that grpclib looks for


@dataclasses.dataclass(slots=True)
class _Connection:
    channel: Channel
    last_used: dt.timedelta
    in_flight: int = 0


class ExchangeClient:
    """Connections to peers.

    Idle connections and those beyond a limit are closed at the next exchange
    with any peer, so that a seed does not keep a connection with every node
    of the mesh.

    Parameters
    ----------
    codec
        Encoding of the messages.
    clock
        The node's clock.
    counters
        Where failures are counted.
    """

    def __init__(
        self, codec: ExchangeCodec, clock: Clock, counters: Counters
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._counters = counters
        self._connections: OrderedDict[Address, _Connection] = OrderedDict()

    @property
    def connected(self) -> tuple[Address, ...]:
        """Peers to which a connection is open."""
        return tuple(self._connections)

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        """Send and wait for the response; see ``PeerLink.ask``."""
        self._close_idle()
        connection = self._get_connection(to)
        method: UnaryUnaryMethod[PeerMessage, PeerMessage] = UnaryUnaryMethod(
            connection.channel, _METHOD, PeerMessage, PeerMessage
        )
        connection.in_flight += 1
        try:
            return await method(message, timeout=timeout.total_seconds())
        except (GRPCError, StreamTerminatedError, OSError) as error:
            self._discard(to)
            self._counters.add('peer_exchanges_failed')
            raise TimeoutError(f'the exchange with {to} failed') from error
        except PeerGarbledError:
            self._discard(to)
            self._counters.add('peer_exchanges_refused')
            raise
        finally:
            connection.in_flight -= 1

    def close(self) -> None:
        """Close every connection."""
        for address in tuple(self._connections):
            self._discard(address)

    def _get_connection(self, to: Address) -> _Connection:
        now = self._clock.elapsed()
        connection = self._connections.pop(to, None)
        if connection is None:
            channel = Channel(to.host, to.port, codec=self._codec)
            connection = _Connection(channel, now)
        connection.last_used = now
        self._connections[to] = connection
        return connection

    def _close_idle(self) -> None:
        now = self._clock.elapsed()
        excess = len(self._connections) - _MAX_CONNECTIONS
        idle = [
            address
            for position, (address, connection) in enumerate(
                self._connections.items()
            )
            if not connection.in_flight
            and (position <= excess or now - connection.last_used > _MAX_IDLE)
        ]
        for address in idle:
            self._discard(address)

    def _discard(self, address: Address) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.channel.close()
