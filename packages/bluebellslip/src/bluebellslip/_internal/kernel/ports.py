"""Ports: the interfaces through which the kernel meets the outside."""

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
    """A row of the platform's table; its version rises with every write."""

    key: str
    version: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row must stand at this version; 0 means that it must be absent."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """A row's new body; none deletes the row."""

    key: str
    body: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Writes that all take effect if every condition holds, or none."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """Versions of the written rows, in the order of the writes."""

    versions: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The first condition that did not hold, and the version found."""

    key: str
    version: int


class TableService(Protocol):
    """The platform's transactional table.

    Every method raises ``PlatformDownError`` when nothing took effect,
    ``PlatformOutcomeUnknownError`` when a write may have, and
    ``PlatformGarbledError`` when the answer makes no sense.
    """

    async def read(self, key: str) -> Row | None:
        """Return a row, or none if it is absent."""

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return at most ``limit`` rows by key, in the keys' order."""

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Apply a transaction as a whole or not at all."""


class ObjectStore(Protocol):
    """The platform's object store; errors as for the table."""

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same again changes nothing."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or none if it is absent."""


class PeerLink(Protocol):
    """Messages between nodes.

    ``send`` is a datagram: it may be lost, doubled or overtaken. ``ask`` is
    an exchange over a connection, for what does not fit a datagram.
    """

    def send(self, to: Address, message: PeerMessage) -> None:
        """Send without waiting; losses are not reported."""

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        """Send and wait for the answer.

        Raises
        ------
        TimeoutError
            When no answer came in time or the peer is away.
        PeerGarbledError
            When the answer can't be decoded.
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
        """Answer exchanges of a kind by the handler's return."""


@enum.unique
class RequestStatus(enum.IntEnum):
    """What became of one request at the backend server."""

    SUCCEEDED = 0
    FAILED = 1
    NOT_RUN = 2
    CANCELLED = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """One request as seen by the node beside the backend server.

    ``latency`` runs from the hand-over to the server until its last byte;
    waiting in the node's own queue is no part of it.
    """

    service: ServiceName
    version: VersionName
    route: RouteName
    status: RequestStatus
    latency: dt.timedelta


class EvidenceSink(Protocol):
    """Receiver of outcomes; called in the path of a request, so cheap."""

    def record(self, outcome: Outcome) -> None:
        """Count one outcome."""
