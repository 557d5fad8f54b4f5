"""A listening socket and its connections."""

import asyncio
from typing import Final

from bluebellslip._internal.calls.inbound import (
    Handler,
    InboundConnection,
    ListenerState,
)
from bluebellslip._internal.exceptions import ListenError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address

IDLE_TIMEOUT_S: Final = 75.0
_BACKLOG: Final = 1024


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
    """

    def __init__(
        self, address: Address, handler: Handler, counters: Counters
    ) -> None:
        self._address = address
        self._handler = handler
        self._counters = counters
        self._state = ListenerState()
        self._server: asyncio.Server | None = None

    @property
    def unsent(self) -> int:
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

    def leave(self) -> None:
        """Close connections after their next answer."""
        self._state.leaving = True

    def close(self) -> None:
        """Stop listening and close what is left."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._state.connections):
            connection.transport.abort()

    def close_idle(self) -> None:
        """Close connections that wait for nothing, or for too long."""
        horizon = asyncio.get_running_loop().time() - IDLE_TIMEOUT_S
        for connection in tuple(self._state.connections):
            since = connection.quiet_since
            if since is not None and since < horizon:
                connection.transport.abort()

    def _make_connection(self) -> InboundConnection:
        return InboundConnection(self._handler, self._counters, self._state)
