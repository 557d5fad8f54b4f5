"""A listening socket that loses no connection when it is closed."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Final

from bluebellslip._internal.exceptions import ListenError
from bluebellslip._internal.models.identity import Address

_BACKLOG: Final = 1024
# Connections accepted at a time. They take descriptors before the listener can
# close others for them.
_ACCEPT_BATCH: Final = 16


class ListeningSocket:
    """Accepts connections at an address.

    Parameters
    ----------
    address
        Address to listen on.
    make_connection
        Returns the protocol of a new connection.
    """

    def __init__(
        self,
        address: Address,
        make_connection: Callable[[], asyncio.BaseProtocol],
    ) -> None:
        self._address = address
        self._make_connection = make_connection
        self._server: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._accepting: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Start listening.

        Raises
        ------
        ListenError
            When the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        host, port = self._address.host, self._address.port
        family = socket.AF_INET6 if ':' in host else socket.AF_INET
        try:
            self._socket = socket.create_server((host, port), family=family)
            self._server = await loop.create_server(
                self._make_connection, sock=self._socket, backlog=_ACCEPT_BATCH
            )
            # asyncio accepts as many at a time as its backlog; the kernel's
            # may be longer.
            self._socket.listen(_BACKLOG)
        except OSError as error:
            raise ListenError(
                'Cannot listen on an address.',
                context={'address': str(self._address), 'found': str(error)},
            ) from error

    def close(self) -> None:
        """Stop listening.

        Connections that are established already but wait to be accepted are
        accepted first; closing the socket would reset them.
        """
        if self._server is None or self._socket is None:
            return
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._socket)
        for accepted in self._accept_waiting():
            task = loop.create_task(self._connect(accepted))
            self._accepting.add(task)
            task.add_done_callback(self._accepting.discard)
        # Connections that the event loop has accepted but not set up yet would
        # be dropped by a server that is closed.
        loop.call_soon(self._server.close)
        self._server = None

    def _accept_waiting(self) -> Iterator[socket.socket]:
        if self._socket is None:
            return
        with contextlib.suppress(OSError):
            for _ in range(_BACKLOG):
                yield self._socket.accept()[0]

    async def _connect(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        # The caller may have reset the connection already.
        with contextlib.suppress(OSError):
            await asyncio.get_running_loop().connect_accepted_socket(
                self._make_connection, accepted
            )
