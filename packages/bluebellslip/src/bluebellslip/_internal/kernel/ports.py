"""Interfaces to the platform, other nodes and the receiver of outcomes."""

import dataclasses
import datetime as dt
import enum
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from expression import Result

from bluebellslip._internal.models.identity import (
    Address,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.messages import PeerMessage

_Message = TypeVar('_Message', bound=PeerMessage)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the platform's table; every write increases its version."""

    key: str
    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires a row to have this version; 0 requires it to be absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A row's new body; None deletes the row."""

    key: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that take effect together, if every condition holds."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Versions of the written rows, in the order of the writes."""

    versions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The first condition that did not hold, and the row's actual version."""

    key: str
    version: int


class TableService(Protocol):
    """The platform's transactional table.

    Every method raises ``PlatformDownError`` when nothing took effect, for
    instance because the platform is unreachable, and ``PlatformGarbledError``
    when the response is invalid. A write raises
    ``PlatformOutcomeUnknownError`` when it failed but may have taken effect.
    """

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it is absent."""

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return at most ``limit`` rows under a key prefix, in key order."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Apply a transaction atomically."""


class ObjectStore(Protocol):
    """The platform's object store; raises the same errors as the table."""

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same again changes nothing."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it is absent."""


class PeerLink(Protocol):
    """Messages between nodes.

    ``send`` sends a datagram, which may be lost, duplicated or reordered.
    ``ask`` makes a request over a connection, for messages that do not fit
    into a datagram.
    """

    def send(self, to: Address, message: PeerMessage) -> None:
        """Send without waiting; losses are not reported."""

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        """Send a request and wait for the response.

        Raises
        ------
        TimeoutError
            When no response came in time or the peer is unreachable.
        PeerGarbledError
            When the response can't be decoded.
        """

    def on_datagram(
        self, kind: type[_Message], handler: Callable[[_Message, Address], None]
    ) -> None:
        """Call the handler for every datagram of a kind."""

    def on_request(
        self,
        kind: type[_Message],
        handler: Callable[[_Message], Awaitable[PeerMessage]],
    ) -> None:
        """Respond to requests of a kind with what the handler returns."""


@enum.unique
class RequestStatus(enum.IntEnum):
    """Final status of one request at the backend server."""

    SUCCEEDED = 0
    FAILED = 1
    NOT_RUN = 2
    CANCELLED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of one request, as seen by the node beside the server.

    ``latency`` is measured from passing the request to the server until the
    last byte of its response. It excludes the time in the node's own queue and
    the time that the response waits to be sent to the caller.
    """

    service: ServiceName
    version: VersionName
    route: RouteName
    status: RequestStatus
    latency: dt.timedelta


class EvidenceSink(Protocol):
    """Receiver of outcomes; called on the request path, so it must be fast."""

    def record(self, outcome: Outcome) -> None:
        """Record one outcome."""
