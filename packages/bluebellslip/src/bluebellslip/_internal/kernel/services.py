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
    the document was edited from; None stands for the newest revision.
    """

    change: str
    who: str
    document: ConfigDocument
    base: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """An accepted change.

    ``replayed`` means that the change had been accepted before, ``rebased``
    that its document was merged with changes accepted after ``base``.
    """

    revision: int
    digest: str
    replayed: bool = False
    rebased: bool = False


class Acceptor(Protocol):
    """The write path of configuration."""

    async def submit(
        self, request: ChangeRequest
    ) -> Result[Accepted, BluebellError]:
        """Accept a change as a whole or return an error.

        Accepted and refused changes are audited; an error that leaves the
        outcome unknown is not.
        """


class AuditTrail(Protocol):
    """Audit log of operators' actions, kept in the platform's table."""

    async def record(self, row: AuditRow) -> bool:
        """Store a row.

        Returns False, and counts the row as lost, unless the platform
        confirms it.
        """

    async def recent(self, limit: int) -> tuple[AuditRow, ...]:
        """Return the newest rows, newest first."""


class Distribution(Protocol):
    """Configuration in force on this node, and its distribution to others."""

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check an encoded snapshot, apply it and distribute it to other nodes.

        Raises
        ------
        InvalidConfigError
            When the body is corrupt, a name in it occurs twice, or a
            reference in it does not resolve; nothing of it is applied.
        """


class Membership(Protocol):
    """The node's own entry in the membership."""

    @property
    def own_backend(self) -> Backend | None:
        """The backend server beside this node; None if none is announced."""

    @property
    def draining(self) -> bool:
        """Whether the server beside this node is draining."""

    def announce(self, backend: Backend) -> None:
        """Handle a server's announcement, which renews the server's lease."""

    def leave(self) -> None:
        """Notify all members that the server beside this node is draining."""


class MetricsReader(Protocol):
    """Reader of the process's metrics."""

    def read_json(self) -> bytes:
        """Collect all metrics and return them as JSON."""


@dataclasses.dataclass(frozen=True, slots=True)
class MoveRequest:
    """An operator's request to move a service to a version by a deadline.

    ``request`` is the idempotency key. If the request starts a move, the key
    becomes the move's ID.
    """

    service: ServiceName
    new: VersionName
    deadline: dt.datetime
    who: str
    request: str


@dataclasses.dataclass(frozen=True, slots=True)
class RouteEvidence:
    """Counts and latencies of one route's calls under a move's two versions."""

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
    """A move as shown to operators.

    ``share`` is the new version's share of the calls, in basis points.
    ``steward`` is the node that coordinates the move.
    """

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
    """Requests and status of moves between versions."""

    async def request(
        self, request: MoveRequest
    ) -> Result[MoveStatus, BluebellError]:
        """Start a move, or change the deadline of the one in progress.

        Repeating the request that started the newest move returns that move.
        """

    async def withdraw(
        self, service: ServiceName, who: str, reason: str
    ) -> Result[MoveStatus, BluebellError]:
        """Withdraw the newest move of a service."""

    def status(self, service: ServiceName) -> MoveStatus | None:
        """Return the newest move of a service, or None if it never had one."""

    def all_statuses(self) -> tuple[MoveStatus, ...]:
        """Return the newest move of every service that ever had one."""
