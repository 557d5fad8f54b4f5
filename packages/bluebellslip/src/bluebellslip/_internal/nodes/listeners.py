"""The addresses on which a node listens."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Iterator
from typing import Final

from bluebellslip._internal.calls.inbound import Handler
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.memory_budget import (
    UNLIMITED,
    MemoryBudget,
)
from bluebellslip._internal.calls.request import (
    InboundRequest,
    Refuser,
    UnansweredListener,
)
from bluebellslip._internal.exceptions import HeadTooLargeError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh import CallerBounds
from bluebellslip._internal.models.mesh_settings import MeshListen

# Requests of one connection that are processed concurrently; browsers send
# six to eight at a time.
MAX_PIPELINED_REQUESTS: Final = 8
# Buffered bytes of a body at which reading from its sender pauses. A disconnect
# of the sender is noticed only after reading resumes.
MAX_BUFFERED_BYTES: Final = 1 << 19
# Open files and sockets of a node whose limit is unknown; the lowest limit of a
# deployment is 4,100.
DEFAULT_DESCRIPTORS: Final = 4096
# One in so many descriptors may be a connection of a caller, or of a peer. The
# rest is left for connections to servers, peers and the store.
_DESCRIPTORS_PER_CALLER: Final = 2
_DESCRIPTORS_PER_PEER: Final = 4
# How often idle and slow connections are looked for.
SWEEP_INTERVAL: Final = dt.timedelta(milliseconds=500)
_OK: Final = 200
_PLAIN_TEXT: Final = (b'content-type', b'text/plain; version=0.0.4')
_CALLER_LIMITS: Final = CallerLimits(
    max_pipelined=MAX_PIPELINED_REQUESTS,
    buffered_bytes=MAX_BUFFERED_BYTES,
    head_error=HeadTooLargeError,
)
_PEER_LIMITS: Final = CallerLimits(buffered_bytes=MAX_BUFFERED_BYTES)


@dataclasses.dataclass(frozen=True, slots=True)
class Handlers:
    """The handlers of the listening addresses.

    ``record_unanswered`` records the requests of callers that get no response,
    ``refuse_late`` responds to those that arrive after the shutdown, or that
    there is no memory for.
    """

    callers: Handler
    peers: Handler
    health: Handler
    servers: Handler
    metrics: Handler
    record_unanswered: UnansweredListener
    refuse_late: Refuser


class MetricsHandler:
    """Handles operators' requests for metrics.

    Parameters
    ----------
    read
        Returns all metrics as text.
    """

    def __init__(self, read: Callable[[], bytes]) -> None:
        self._read = read

    async def handle(self, request: InboundRequest) -> None:
        """Respond with all metrics."""
        request.reply.respond(_OK, (_PLAIN_TEXT,), self._read())


class ListenerSet:
    """All listeners of a node.

    Parameters
    ----------
    listen
        The addresses.
    handlers
        Their handlers.
    counters
        Counts rejected input.
    memory
        The account of the bytes that wait for callers and peers.
    max_descriptors
        Limit of open files and sockets; none if unknown.
    """

    def __init__(
        self,
        listen: MeshListen,
        handlers: Handlers,
        counters: Counters,
        memory: MemoryBudget = UNLIMITED,
        max_descriptors: int | None = None,
    ) -> None:
        self._counters = counters
        self._memory = memory
        descriptors = max_descriptors or DEFAULT_DESCRIPTORS
        self._callers = Listener(
            Address.from_text(listen.callers),
            handlers.callers,
            counters,
            _CALLER_LIMITS,
            handlers.refuse_late,
            memory,
            max(1, descriptors // _DESCRIPTORS_PER_CALLER),
        )
        self._callers.on_unanswered(handlers.record_unanswered)
        self._peers = Listener(
            Address.from_text(listen.peers),
            handlers.peers,
            counters,
            _PEER_LIMITS,
            memory=memory,
            max_connections=max(1, descriptors // _DESCRIPTORS_PER_PEER),
        )
        self._others = [
            self._make(listen.health, handlers.health),
            self._make(listen.servers, handlers.servers),
        ]
        if listen.metrics is not None:
            self._others.append(self._make(listen.metrics, handlers.metrics))

    def __iter__(self) -> Iterator[Listener]:
        yield self._callers
        yield self._peers
        yield from self._others

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that have not arrived at callers and peers yet."""
        return self._callers.unsent_bytes + self._peers.unsent_bytes

    @property
    def ignored_requests(self) -> int:
        """Number of requests that were neither served nor refused."""
        return sum(listener.ignored_requests for listener in self)

    @property
    def closed_idle(self) -> int:
        """Number of callers' connections that were closed while idle."""
        return self._callers.closed_idle

    async def open(self) -> None:
        """Start listening on all addresses.

        Raises
        ------
        ListenError
            When an address can't be bound.
        """
        for listener in self:
            await listener.open()

    def apply_bounds(self, bounds: CallerBounds) -> None:
        """Apply the configuration's limits for callers."""
        self._callers.set_limits(
            dataclasses.replace(
                _CALLER_LIMITS,
                head_bytes=bounds.head_bytes,
                head_timeout=bounds.head_timeout,
                idle_timeout=bounds.idle_timeout,
            )
        )

    def start_draining(self) -> None:
        """Close callers' connections after their next response."""
        self._callers.start_draining()

    def shut_down(self) -> None:
        """Stop accepting connections; when called again, close idle ones."""
        for listener in self:
            listener.shut_down()

    def close_idle(self) -> None:
        """Close connections that are idle or send a head for too long."""
        for listener in self:
            listener.close_idle()
        self._memory.check_resident()

    def _make(
        self,
        address: str,
        handler: Handler,
    ) -> Listener:
        return Listener(Address.from_text(address), handler, self._counters)
