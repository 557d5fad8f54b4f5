"""Group commit: one transaction carries the writes of many requests."""

import asyncio
import dataclasses
from collections import deque
from collections.abc import Sequence
from typing import Final, TypeAlias

import anyio
from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    BluebellError,
    OverloadedError,
    PlatformDownError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import (
    Committed,
    Condition,
    Refused,
    Row,
    TableService,
    Transaction,
    Write,
)

MAX_BATCH: Final = 64
MAX_QUEUE: Final = 512
_READ_ATTEMPTS: Final = 3
_READ_PAUSE_S: Final = 0.05

Settled: TypeAlias = Result[int, Refused]


@dataclasses.dataclass(slots=True, eq=False)
class _Operation:
    """A row's new body, if the row stands at a version."""

    key: str
    version: int
    body: bytes
    settled: asyncio.Future[Settled]

    def resolve(self, settled: Settled) -> None:
        """Tell who waits."""
        if not self.settled.done():
            self.settled.set_result(settled)

    def fail(self, error: BluebellError) -> None:
        """Tell who waits that there is no result."""
        if not self.settled.done():
            self.settled.set_exception(error)


class GroupCommit:
    """Collects writes while a transaction is under way.

    Parameters
    ----------
    table
        The platform's table.
    counters
        Counts of transactions and of the writes that they carried.
    """

    def __init__(self, table: TableService, counters: Counters) -> None:
        self._table = table
        self._counters = counters
        self._queue: deque[_Operation] = deque()
        self._wanted = asyncio.Event()

    async def submit(self, key: str, version: int, body: bytes) -> Settled:
        """Write a row if it stands at a version; return its new version.

        An answer that was lost is settled by reading the row: a body holds
        its writer's own token, so no other write can be taken for it.

        Raises
        ------
        OverloadedError
            When too many writes wait; nothing took effect.
        PlatformDownError
            When nothing took effect.
        PlatformOutcomeUnknownError
            When the write may have taken effect.
        """
        if len(self._queue) >= MAX_QUEUE:
            raise OverloadedError('Too many claims wait for the table.')
        settled: asyncio.Future[Settled] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append(_Operation(key, version, body, settled))
        self._wanted.set()
        return await settled

    async def run(self) -> None:
        """Commit until cancelled."""
        while True:
            await self._wanted.wait()
            await self._commit(self._take_batch())

    def _take_batch(self) -> list[_Operation]:
        batch: dict[str, _Operation] = {}
        while self._queue and len(batch) < MAX_BATCH:
            if self._queue[0].key in batch:
                break
            operation = self._queue.popleft()
            batch[operation.key] = operation
        if not self._queue:
            self._wanted.clear()
        return list(batch.values())

    async def _commit(self, batch: list[_Operation]) -> None:
        while batch:
            self._counters.add('claims_transactions')
            self._counters.add('claims_writes', len(batch))
            try:
                answer = await self._table.transact(_make_transaction(batch))
            except PlatformDownError as down:
                _fail_all(batch, down)
                return
            except (
                PlatformOutcomeUnknownError,
                PlatformGarbledError,
            ) as unknown:
                await self._read_back(batch, unknown)
                return
            batch = _resolve(batch, answer)

    async def _read_back(
        self, batch: Sequence[_Operation], unknown: BluebellError
    ) -> None:
        self._counters.add('claims_lost_answers')
        async with anyio.create_task_group() as group:
            for operation in batch:
                group.start_soon(self._settle, operation, unknown)

    async def _settle(
        self, operation: _Operation, unknown: BluebellError
    ) -> None:
        for attempt in range(_READ_ATTEMPTS):
            try:
                row = await self._table.read(operation.key)
            except BluebellError:
                await anyio.sleep(_READ_PAUSE_S * 2**attempt)
            else:
                _judge(operation, row)
                return
        operation.fail(
            PlatformOutcomeUnknownError(
                unknown.message, context=unknown.context
            )
        )


def _make_transaction(batch: Sequence[_Operation]) -> Transaction:
    return Transaction(
        conditions=tuple(Condition(one.key, one.version) for one in batch),
        writes=tuple(Write(one.key, one.body) for one in batch),
    )


def _resolve(
    batch: list[_Operation], answer: Result[Committed, Refused]
) -> list[_Operation]:
    """Settle what the answer tells of, and return what is to be repeated."""
    match answer:
        case Result(tag='ok', ok=committed):
            for operation, version in zip(
                batch, committed.versions, strict=True
            ):
                operation.resolve(Ok(version))
            return []
        case Result(error=refused):
            for operation in batch:
                if operation.key == refused.key:
                    operation.resolve(Error(refused))
            return [one for one in batch if one.key != refused.key]


def _judge(operation: _Operation, row: Row | None) -> None:
    if row is not None and row.body == operation.body:
        operation.resolve(Ok(row.version))
    elif row is not None and row.version != operation.version:
        operation.resolve(Error(Refused(operation.key, row.version)))
    else:
        operation.fail(
            PlatformOutcomeUnknownError('A write to the table was lost.')
        )


def _fail_all(batch: Sequence[_Operation], error: BluebellError) -> None:
    for operation in batch:
        operation.fail(error)
