"""Datagrams between nodes."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Final, Protocol, cast

from bluebellslip._internal.exceptions import (
    PeerGarbledError,
    TooLargeError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.messages import PeerMessage
from bluebellslip._internal.peers.codec import PeerCodec

logger = logging.getLogger(__name__)

_MAX_SEND_BUFFER_BYTES: Final = 1 << 18
_Handler = Callable[[Any, Address], None]


class _Transport(Protocol):
    def get_write_buffer_size(self) -> int: ...

    def sendto(self, data: bytes, addr: tuple[str, int]) -> None: ...

    def close(self) -> None: ...


class DatagramEndpoint(asyncio.DatagramProtocol):
    """A UDP socket that encodes, decodes and counts messages.

    Packets that are malformed, unauthenticated, oversized or without a
    handler are counted and dropped. Sends are dropped and counted while the
    socket's buffer is full.

    Parameters
    ----------
    codec
        Encoding of the messages.
    counters
        Where traffic and drops are counted.
    """

    def __init__(self, codec: PeerCodec, counters: Counters) -> None:
        self._codec = codec
        self._counters = counters
        self._handlers: dict[type[PeerMessage], _Handler] = {}
        self._transport: _Transport | None = None

    def set_handler(self, kind: type[PeerMessage], handler: _Handler) -> None:
        """Call the handler for every message of a kind."""
        self._handlers[kind] = handler

    async def open(self, listen: Address) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def send(self, to: Address, message: PeerMessage) -> None:
        """Send without waiting; drop and count what cannot be sent."""
        transport = self._transport
        if transport is None:
            self._counters.add('peer_datagrams_dropped', reason='closed')
            return
        if transport.get_write_buffer_size() > _MAX_SEND_BUFFER_BYTES:
            self._counters.add('peer_datagrams_dropped', reason='buffer')
            return
        try:
            packet = self._codec.encode(message)
        except TooLargeError:
            self._counters.add('peer_datagrams_dropped', reason='size')
            return
        transport.sendto(packet, (to.host, to.port))
        self._counters.add('peer_datagrams_sent')
        self._counters.add('peer_bytes_sent', len(packet))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by the event loop."""
        self._transport = cast(_Transport, transport)

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Decode one packet and call its handler; called by the event loop."""
        self._counters.add('peer_bytes_received', len(data))
        try:
            message = self._codec.decode(data)
        except PeerGarbledError:
            self._counters.add('peer_datagrams_refused')
            return
        handler = self._handlers.get(type(message))
        if handler is None:
            self._counters.add('peer_datagrams_refused')
            return
        self._counters.add('peer_datagrams_received')
        handler(message, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Count a failed send or receive; called by the event loop."""
        self._counters.add('peer_datagrams_failed')
