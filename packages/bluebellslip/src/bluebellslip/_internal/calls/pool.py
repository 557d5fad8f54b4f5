"""Pool of connections to servers, by address."""

import asyncio
from collections import defaultdict
from typing import Final

from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.exceptions import NoServerError, OverloadedError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address

MAX_IDLE_PER_ADDRESS: Final = 64
IDLE_LIMIT_S: Final = 50.0  # below the idle timeout of the listeners
IDLE_MARGIN_S: Final = 1.0  # before the idle timeout that the server announced
MAX_CONNECTIONS_PER_ADDRESS: Final = 256
CONNECT_TIMEOUT_S: Final = 0.5


class ConnectionPool:
    """Connections by address; idle ones are kept for the next exchange.

    Parameters
    ----------
    counters
        Counts opened connections.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._idle: dict[Address, list[OutboundConnection]] = defaultdict(list)
        self._in_use_counts: dict[Address, int] = defaultdict(int)

    async def acquire(
        self,
        address: Address,
        *,
        fresh: bool = False,
        max_idle_s: float | None = None,
    ) -> OutboundConnection:
        """Return a connection for the caller's exclusive use.

        Parameters
        ----------
        address
            The server's address.
        fresh
            Whether the connection must be new.
        max_idle_s
            Maximum time in seconds that a reused connection was idle; None
            applies ``IDLE_LIMIT_S``.

        Raises
        ------
        NoServerError
            When the server is unreachable; nothing was sent.
        OverloadedError
            When too many connections to the server are in use; nothing was
            sent.
        """
        idle = self._idle[address]
        now = asyncio.get_running_loop().time()
        while idle and not fresh:
            connection = idle.pop()
            if _is_usable(connection, now, max_idle_s):
                self._in_use_counts[address] += 1
                return connection
            connection.abort()
        if self._in_use_counts[address] >= MAX_CONNECTIONS_PER_ADDRESS:
            raise OverloadedError(
                'Too many connections to one server are in use.',
                context={'address': str(address)},
            )
        return await self._connect(address)

    def release(self, address: Address, connection: OutboundConnection) -> None:
        """Keep a connection for reuse, or close it if that is not possible."""
        self._in_use_counts[address] -= 1
        idle = self._idle[address]
        if connection.reusable and len(idle) < MAX_IDLE_PER_ADDRESS:
            connection.idle_since = asyncio.get_running_loop().time()
            idle.append(connection)
        else:
            connection.abort()

    async def warm(self, address: Address) -> None:
        """Ensure that there is an idle connection to a server.

        Raises
        ------
        NoServerError, OverloadedError
            When no connection can be opened.
        """
        connection = await self.acquire(address)
        self.release(address, connection)

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server that no longer exists."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._idle):
            self.forget(address)

    async def _connect(self, address: Address) -> OutboundConnection:
        loop = asyncio.get_running_loop()
        self._in_use_counts[address] += 1
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    OutboundConnection, address.host, address.port
                )
        except OSError as error:
            self._in_use_counts[address] -= 1
            raise NoServerError(
                'A server is unreachable.',
                context={'address': str(address), 'found': str(error)},
            ) from error
        except asyncio.CancelledError:
            self._in_use_counts[address] -= 1
            raise
        self._counters.add('calls_connections_opened')
        return connection


def _is_usable(
    connection: OutboundConnection, now: float, max_idle_s: float | None
) -> bool:
    limit = IDLE_LIMIT_S if max_idle_s is None else max_idle_s
    if connection.idle_limit is not None:
        limit = min(limit, connection.idle_limit - IDLE_MARGIN_S)
    return connection.reusable and now - connection.idle_since <= limit
