"""A listening socket and its connections."""

import asyncio
from typing import Final

from bluebellslip._internal.calls.inbound import (
    Handler,
    InboundConnection,
    ListenerState,
)
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.exceptions import ListenError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address

_BACKLOG: Final = 1024
_DEFAULT_LIMITS: Final = CallerLimits()


class Listener:
    """Takes connections and answers their requests.

    Parameters
    ----------
    address
        Where to listen.
    handler
        What answers the requests.
    counters
        Counts of refused input.
    limits
        Bounds of what callers may send and how long they may take.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        counters: Counters,
        limits: CallerLimits = _DEFAULT_LIMITS,
    ) -> None:
        self._address = address
        self._handler = handler
        self._counters = counters
        self._state = ListenerState(limits)
        self._server: asyncio.Server | None = None

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that no socket has taken yet."""
        return sum(
            connection.transport.get_write_buffer_size()
            for connection in self._state.connections
        )

    async def open(self) -> None:
        """Begin to listen.

        Raises
        ------
        ListenError
            When the address can't be listened at.
        """
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                self._make_connection,
                self._address.host,
                self._address.port,
                backlog=_BACKLOG,
            )
        except OSError as error:
            raise ListenError(
                'An address can not be listened at.',
                context={'address': str(self._address), 'found': str(error)},
            ) from error

    @property
    def address(self) -> Address:
        """Where the listener listens."""
        return self._address

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply other bounds from the next request on."""
        self._state.limits = limits

    def start_draining(self) -> None:
        """Close connections after their next answer."""
        self._state.draining = True

    def close(self) -> None:
        """Stop listening and close what is left."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._state.connections):
            connection.transport.abort()

    def shut_down(self) -> None:
        """Take no new connections and end those that rest.

        What was written still goes out; resetting would lose it.
        """
        self._state.shutting_down = True
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._state.connections):
            if connection.idle_since is not None:
                connection.transport.close()

    def close_idle(self) -> None:
        """Close connections that wait for nothing, or for too long."""
        now = asyncio.get_running_loop().time()
        cutoff = now - self._state.limits.idle_timeout.total_seconds()
        for connection in tuple(self._state.connections):
            connection.check_head_timeout(now)
            since = connection.idle_since
            if since is not None and since < cutoff:
                connection.transport.abort()

    def _make_connection(self) -> InboundConnection:
        return InboundConnection(self._handler, self._counters, self._state)
