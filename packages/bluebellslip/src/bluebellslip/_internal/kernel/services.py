"""Interfaces that plug-ins offer each other through ``Context.ports``."""

import dataclasses
import datetime as dt
from typing import Protocol

from expression import Result

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.models.facts import Backend, MoveState
from bluebellslip._internal.models.identity import (
    MoveId,
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.rows import AuditRow
from bluebellslip._internal.models.snapshot import Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeRequest:
    """An operator's change of the configuration.

    ``change`` is the caller's idempotency key. ``base`` is the revision that
    the document was made from; none takes the newest as it stands.
    """

    change: str
    who: str
    document: ConfigDocument
    base: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted change; ``replayed`` tells a recognised resubmission."""

    revision: int
    digest: str
    replayed: bool = False
    rebased: bool = False


class Acceptor(Protocol):
    """The write path of configuration."""

    async def submit(
        self, request: ChangeRequest
    ) -> Result[Accepted, BluebellError]:
        """Accept a change as a whole, or say why not; audited either way."""


class AuditTrail(Protocol):
    """What operators did, kept in the platform's table."""

    async def record(self, row: AuditRow) -> bool:
        """Keep a row; false, and counted, when the platform is away."""

    async def recent(self, limit: int) -> tuple[AuditRow, ...]:
        """Return the newest rows, newest first."""


class Distribution(Protocol):
    """Configuration in force on this node, and its spread to the others."""

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check, apply and spread a stored body.

        Raises
        ------
        InvalidConfigError
            When the body is corrupt or its references don't hold; nothing
            of it is applied.
        """


class Membership(Protocol):
    """The node's own record among the members."""

    @property
    def own_backend(self) -> Backend | None:
        """The backend server beside this node, while it is announced."""

    @property
    def draining(self) -> bool:
        """Whether the server beside this node is leaving."""

    def announce(self, backend: Backend) -> None:
        """Take in an announcement; each one renews the server's lease."""

    def leave(self) -> None:
        """Tell everyone that the server beside this node is leaving."""


class MetricsReader(Protocol):
    """Reader of the process's metrics."""

    def read_json(self) -> bytes:
        """Collect all metrics and return them as JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """An operator's wish to have a service on a version by a time."""

    service: ServiceName
    new: VersionName
    deadline: dt.datetime
    who: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Counts and latency of one route under both versions, so far."""

    route: RouteName
    old_calls: int
    old_failures: int
    new_calls: int
    new_failures: int
    old_p50: dt.timedelta
    new_p50: dt.timedelta
    old_p99: dt.timedelta
    new_p99: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class MoveStatus:
    """A move as operators see it; ``share`` is in basis points."""

    service: ServiceName
    move: MoveId
    state: MoveState
    old: VersionName
    new: VersionName
    share: int
    stopped: bool
    deadline: dt.datetime
    forecast: dt.datetime | None
    steward: NodeId
    reason: str
    evidence: tuple[RouteEvidence, ...]


class Moves(Protocol):
    """Moves between versions."""

    async def request(
        self, request: MoveRequest
    ) -> Result[MoveStatus, BluebellError]:
        """Begin a move, or say why not; a repeat finds its own move."""

    async def withdraw(
        self, service: ServiceName, who: str, reason: str
    ) -> Result[MoveStatus, BluebellError]:
        """Take the newest move of a service back."""

    def status(self, service: ServiceName) -> MoveStatus | None:
        """Return the newest move of a service."""

    def all_statuses(self) -> tuple[MoveStatus, ...]:
        """Return the newest move of every service that ever had one."""
