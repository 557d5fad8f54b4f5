"""State shared by the connections of one listener."""

import asyncio
import sys
from typing import Final, Protocol

from bluebellslip._internal.calls.input_queue import InputQueue
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.memory_budget import (
    UNLIMITED,
    Member,
    MemoryBudget,
    Stall,
    rank_stalled,
)
from bluebellslip._internal.calls.request import (
    IGNORED,
    InboundRequest,
    Refuser,
    UnansweredListener,
    send_error,
)
from bluebellslip._internal.exceptions import BluebellError

# A connection that is in use counts as stalled after this time without input,
# or, if its caller reads slowly, without room for output.
MIN_STALL_S: Final = 1.0
# A connection that waits for the node's own server is not closed for another.
_REPLACEABLE: Final = frozenset((Stall.IDLE, Stall.INPUT, Stall.OUTPUT))


class ListenedConnection(Member, Protocol):
    """A connection as its listener uses it."""

    transport: asyncio.Transport

    @property
    def idle_since(self) -> float | None:
        """Loop time of the last activity; None while requests are served."""

    @property
    def is_receiving_head(self) -> bool:
        """Whether a part of a request's head has arrived."""

    def interrupt(self, error: BluebellError) -> None:
        """Reply with an error to each request that has no complete reply."""

    def check_head_timeout(self, now: float) -> None:
        """Refuse a request whose head exceeds the head timeout."""

    def close(self) -> None:
        """Close the connection once all responses on it have arrived."""


def _do_nothing(request: InboundRequest, outcome: str) -> None:
    """Do nothing."""


class ListenerState:
    """State shared by the connections of one listener.

    While ``draining``, each reply closes its connection unless another
    pipelined request follows. While ``shutting_down``, further requests are
    refused, or ignored behind others on their connection; ``ignored_requests``
    counts the latter and all others that arrive on a connection that is being
    closed. ``closed_idle`` counts the connections that were closed while no
    request was in progress. ``input_queue`` holds the connections whose input
    is parsed in turns.

    Parameters
    ----------
    limits
        Limits of the connections.
    refuse
        Responds to a request that is refused while ``shutting_down``, or for
        lack of memory.
    memory
        The account of the bytes that wait.
    max_connections
        Number of connections above which stalled ones are closed.
    """

    def __init__(
        self,
        limits: CallerLimits,
        refuse: Refuser = send_error,
        memory: MemoryBudget = UNLIMITED,
        max_connections: int = sys.maxsize,
    ) -> None:
        self.draining = False
        self.shutting_down = False
        self.ignored_requests = 0
        self.closed_idle = 0
        self.limits = limits
        self.refuse = refuse
        self.memory = memory
        self.input_queue = InputQueue()
        self.connections: set[ListenedConnection] = set()
        self.on_unanswered: UnansweredListener = _do_nothing
        self._max_connections = max_connections

    def ignore(self, request: InboundRequest) -> None:
        """Count a request that is neither served nor refused."""
        self.ignored_requests += 1
        self.on_unanswered(request, IGNORED)

    def make_room(self, now: float) -> bool:
        """Close a stalled connection if there are too many.

        Parameters
        ----------
        now
            Loop time in seconds.

        Returns
        -------
        bool
            Whether there is room for a new connection.
        """
        if len(self.connections) < self._max_connections:
            return True
        for stall, since, member in rank_stalled(self.connections):
            is_old = stall is Stall.IDLE or now - since >= MIN_STALL_S
            if stall in _REPLACEABLE and is_old:
                member.close_stalled('connections')
                return True
        self.memory.count_closure('refused')
        return False
