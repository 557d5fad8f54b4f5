"""What callers, servers and the platform saw during a soak."""

import dataclasses
import datetime as dt
import enum

from bluebellslip._internal.kernel.clock import Clock
from lib.calls import ReceivedResponse


@enum.unique
class RouteKind(enum.Enum):
    """What a route's requests may do."""

    SAFE = 'safe'
    NON_IDEMPOTENT = 'non_idempotent'
    UPLOAD = 'upload'


@enum.unique
class RequestEnd(enum.Enum):
    """How a request ended for its caller."""

    ANSWERED = 'answered'
    # The node closed the connection after it had read all that was sent.
    CLOSED = 'closed'
    # The node closed the connection with unread input, or was gone.
    RESET = 'reset'
    ABANDONED = 'abandoned'


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A request of a caller.

    Times count from the start of the run. ``sent`` is when its last byte was
    sent, and ``limit`` the time that it may take. ``is_pipelined`` is set if it
    was sent before the response to an earlier one on its connection. ``key`` is
    that of its client account, empty if it sends none, and ``mesh_headers``
    what it sends in the place of a node.
    """

    request_id: str
    node: str
    kind: RouteKind
    body: bytes
    limit: dt.timedelta
    begun: dt.timedelta
    sent: dt.timedelta | None = None
    ended: dt.timedelta = dt.timedelta.max
    end: RequestEnd | None = None
    response: ReceivedResponse | None = None
    is_pipelined: bool = False
    key: str = ''
    mesh_headers: dict[str, str] = dataclasses.field(default_factory=dict)

    @property
    def outcome(self) -> str:
        """The status of the response, or how the request ended without."""
        if self.response is not None:
            return str(self.response.status)
        return 'unfinished' if self.end is None else self.end.value


@dataclasses.dataclass(slots=True, eq=False)
class ServerRun:
    """A request that the server beside ``node`` began to run."""

    request_id: str
    node: str
    started: dt.timedelta
    ended: dt.timedelta = dt.timedelta.max


@dataclasses.dataclass(slots=True, eq=False)
class Stop:
    """A SIGTERM and the end of the process."""

    node: str
    at: dt.timedelta
    exited: dt.timedelta = dt.timedelta.max


@dataclasses.dataclass(slots=True, eq=False)
class Kill:
    """A SIGKILL of all processes, until the last has started again."""

    at: dt.timedelta
    ended: dt.timedelta = dt.timedelta.max


@dataclasses.dataclass(slots=True, eq=False)
class Departure:
    """The ack of the departure of the server beside ``node``.

    The server goes on until ``ended``, when it starts again as another one.
    """

    node: str
    acknowledged: dt.timedelta
    ended: dt.timedelta = dt.timedelta.max


@dataclasses.dataclass(frozen=True, slots=True)
class KeyChange:
    """A configuration that was acknowledged, and whether it has the key."""

    acknowledged: dt.timedelta
    has_key: bool


@dataclasses.dataclass(slots=True, eq=False)
class Notice:
    """What the server beside ``node`` says in all its responses for a time.

    ``limit`` is in requests a second; without one, the server leaves. A server
    that has left starts again as another one. ``named`` is when the first
    response says so.
    """

    node: str
    limit: float | None
    named: dt.timedelta = dt.timedelta.max
    ended: dt.timedelta = dt.timedelta.max


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """A violation of a rule; ``request_id`` is empty if it names none."""

    at: dt.timedelta
    node: str
    request_id: str
    text: str

    def format(self, seed: int) -> str:
        """Return the finding as a line."""
        return (
            f'seed {seed}  {self.at.total_seconds():7.3f} s  {self.node}  '
            f'{self.request_id or "-"}  {self.text}'
        )


class History:
    """Everything that was recorded in one run.

    Parameters
    ----------
    clock
        The clock of the run.
    """

    def __init__(self, clock: Clock) -> None:
        self.requests: list[Request] = []
        self.runs: list[ServerRun] = []
        self.stops: list[Stop] = []
        self.notices: list[Notice] = []
        self.kills: list[Kill] = []
        self.departures: list[Departure] = []
        self.findings: list[Finding] = []
        self.key_changes: list[KeyChange] = []
        self._clock = clock
        self._begun = clock.elapsed()

    @property
    def now(self) -> dt.timedelta:
        """Time since the start of the run."""
        return self._clock.elapsed() - self._begun

    def report(self, node: str, text: str) -> None:
        """Record a finding about a node's process."""
        self.findings.append(Finding(self.now, node, '', text))
