"""In-memory replacements for the services that the moves plug-in uses.

Their coroutines never wait, so a move can be simulated without an event loop.
"""

from collections.abc import Coroutine
from random import Random
from typing import Final, TypeVar

from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)
from bluebellslip._internal.models.config import (
    ConfigDocument,
    Preference,
    ServiceSpec,
    SnapshotRecord,
)
from bluebellslip._internal.models.facts import (
    Backend,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.move_rows import MoveRow, decode_move
from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
)
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.moves.windows import Window

SERVICE: Final = ServiceName('service')
OLD: Final = VersionName('v1')
NEW: Final = VersionName('v2')
_ADDRESS: Final = '127.0.0.1:25900'
_PLATFORM_URL: Final = 'http://127.0.0.1:25901'

_Answer = TypeVar('_Answer')


class SimulatedTable:
    """A table in memory that can be down or lose its responses."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.is_down = False
        self.loses_responses = False
        self.stored_moves: list[MoveRow] = []

    async def read(self, key: str) -> Row | None:
        """Return a row."""
        if self.is_down:
            raise PlatformDownError('down')
        return self.rows.get(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return no rows; moves do not use scans."""
        return ()

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Apply a transaction if its conditions hold; store only moves' rows.

        The transaction is applied even if its response is lost.
        """
        if self.is_down:
            raise PlatformDownError('down')
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            version = 0 if row is None else row.version
            if version != condition.version:
                return Error(Refused(condition.key, version))
        versions = tuple(
            self._write(write.key, write.body or b'')
            for write in transaction.writes
        )
        if self.loses_responses:
            raise PlatformOutcomeUnknownError('lost')
        return Ok(Committed(versions))

    def _write(self, key: str, body: bytes) -> int:
        if not key.startswith('move/'):
            return 1
        row = self.rows.get(key)
        version = 1 if row is None else row.version + 1
        self.rows[key] = Row(key, version, body)
        self.stored_moves.append(decode_move(body))
        return version


class SimulatedExchange:
    """An exchange of evidence that returns the windows given to it."""

    def __init__(self) -> None:
        self.windows: list[dict[VersionName, Window]] = []

    def select_service(self, service: ServiceName) -> None:
        """Do nothing: there is only one service."""

    def tick(self, *, send: bool) -> list[dict[VersionName, Window]]:
        """Return the windows since the last tick."""
        windows = self.windows
        self.windows = []
        return windows


class SimulatedMembership:
    """Membership of a node that has a server beside it."""

    draining = False

    def __init__(self, member: MemberFact) -> None:
        self.own_backend = member.backend

    def announce(self, backend: Backend) -> None:
        """Do nothing: the server stays the same."""

    def leave(self) -> None:
        """Do nothing: the node stays a member."""


def run_without_waiting(coroutine: Coroutine[object, None, _Answer]) -> _Answer:
    """Run a coroutine that never waits, without an event loop.

    Raises
    ------
    RuntimeError
        If the coroutine waits.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        result: _Answer = stop.value
        return result
    raise RuntimeError('the coroutine waits, but no event loop runs it')


def make_context(index: int, clock: Clock, preference: Preference) -> Context:
    """Return the context of a node whose mesh has the given preference."""
    listen = ListenSettings(_ADDRESS, _ADDRESS, _ADDRESS, _ADDRESS)
    settings = NodeSettings(
        node=f'node-{index}',
        mesh='mesh',
        region='region',
        failure_domain='a',
        listen=listen,
        platform=PlatformSettings(_PLATFORM_URL, _PLATFORM_URL),
        peer_key='0123456789abcdef',
    )
    context = Context.from_settings(
        settings, clock, Random(index), InMemoryCounters()
    )
    document = ConfigDocument(
        'mesh', preference, (), (ServiceSpec(SERVICE, 'team'),), ()
    )
    record = SnapshotRecord(1, '', document)
    context.applied.apply(Snapshot.from_record(record, ''))
    return context


def make_member(
    index: int,
    version: VersionName,
    slots: int,
    status: MemberStatus,
    changed: int,
) -> MemberFact:
    """Return the member record of a node beside a server."""
    address = Address('127.0.0.1', 25000 + index)
    return MemberFact(
        node=NodeId(f'node-{index}'),
        incarnation=1,
        status=status,
        changed=changed,
        locality=Locality('region', 'a'),
        peer=address,
        ingress=address,
        applied=1,
        backend=Backend(SERVICE, version, address, slots, 120),
    )
