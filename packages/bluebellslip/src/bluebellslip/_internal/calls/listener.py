"""A listening socket and its connections."""

import asyncio
import sys
from typing import Final

from bluebellslip._internal.calls.inbound import (
    Handler,
    InboundConnection,
)
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.listener_state import ListenerState
from bluebellslip._internal.calls.listening_socket import ListeningSocket
from bluebellslip._internal.calls.memory_budget import (
    UNLIMITED,
    MemoryBudget,
)
from bluebellslip._internal.calls.request import (
    Refuser,
    UnansweredListener,
    send_error,
)
from bluebellslip._internal.calls.sockets import (
    close_abandoned,
    count_undelivered,
)
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address

_DEFAULT_LIMITS: Final = CallerLimits()


class Listener:
    """Accepts connections and serves their requests.

    Parameters
    ----------
    address
        Address to listen on.
    handler
        Serves the requests.
    counters
        Counts refused requests.
    limits
        Limits on the size and duration of requests.
    refuse
        Responds with an error to a request that arrives after ``shut_down``,
        or that there is no memory for.
    memory
        The account of the bytes that wait.
    max_connections
        Number of connections above which stalled ones are closed.
    """

    def __init__(
        self,
        address: Address,
        handler: Handler,
        counters: Counters,
        limits: CallerLimits = _DEFAULT_LIMITS,
        refuse: Refuser = send_error,
        memory: MemoryBudget = UNLIMITED,
        max_connections: int = sys.maxsize,
    ) -> None:
        self._address = address
        self._handler = handler
        self._counters = counters
        self._state = ListenerState(limits, refuse, memory, max_connections)
        self._socket = ListeningSocket(address, self._make_connection)

    @property
    def unsent_bytes(self) -> int:
        """Bytes of replies that have not arrived yet."""
        return sum(
            count_undelivered(connection.transport)
            for connection in self._state.connections
        )

    @property
    def ignored_requests(self) -> int:
        """Number of requests that were neither served nor refused."""
        return self._state.ignored_requests

    @property
    def closed_idle(self) -> int:
        """Number of connections that ``shut_down`` closed while idle."""
        return self._state.closed_idle

    async def open(self) -> None:
        """Start listening.

        Raises
        ------
        ListenError
            When the address can't be bound.
        """
        await self._socket.open()

    @property
    def address(self) -> Address:
        """Address that the listener listens on."""
        return self._address

    def on_unanswered(self, listener: UnansweredListener) -> None:
        """Call a listener with each request whose caller gets no response.

        Requests that are being served are left out; their handler knows.
        """
        self._state.on_unanswered = listener

    def set_limits(self, limits: CallerLimits) -> None:
        """Replace the limits of new and open connections."""
        self._state.limits = limits

    def start_draining(self) -> None:
        """Close each connection after its next reply.

        A connection with a further pipelined request stays open for it.
        """
        self._state.draining = True

    def close(self) -> None:
        """Stop listening and abort the remaining connections."""
        self._socket.close()
        for connection in tuple(self._state.connections):
            connection.transport.abort()

    def interrupt(self, error: BluebellError) -> None:
        """Reply with an error to the calls in progress."""
        for connection in tuple(self._state.connections):
            connection.interrupt(error)

    def shut_down(self) -> None:
        """Stop accepting connections; when called again, close the idle ones.

        What callers have sent before the first call is read in between, so it
        gets a response. Data already written is still sent; a reset would lose
        it.
        """
        if not self._state.shutting_down:
            self._state.shutting_down = True
            self._socket.close()
            return
        for connection in tuple(self._state.connections):
            is_idle = connection.idle_since is not None
            if is_idle and not connection.is_receiving_head:
                self._state.closed_idle += 1
                connection.close()

    def close_idle(self) -> None:
        """Close idle or abandoned connections and refuse overdue heads."""
        now = asyncio.get_running_loop().time()
        cutoff = now - self._state.limits.idle_timeout.total_seconds()
        for connection in tuple(self._state.connections):
            connection.check_head_timeout(now)
            close_abandoned(connection.transport)
            since = connection.idle_since
            if since is not None and since < cutoff:
                connection.close()

    def _make_connection(self) -> InboundConnection:
        return InboundConnection(self._handler, self._counters, self._state)
