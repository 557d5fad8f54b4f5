"""Group commit: writes of many requests share one transaction."""

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

MAX_BATCH_WRITES: Final = 64
MAX_QUEUED_WRITES: Final = 512
_MAX_READ_ATTEMPTS: Final = 3
_INITIAL_READ_BACKOFF_S: Final = 0.05

WriteResult: TypeAlias = Result[int, Refused]


@dataclasses.dataclass(slots=True, eq=False)
class _PendingWrite:
    """A conditional write that waits for its transaction.

    ``version`` is the version that the row must have, 0 if it must not exist.
    """

    key: str
    version: int
    body: bytes
    future: asyncio.Future[WriteResult]

    def resolve(self, result: WriteResult) -> None:
        """Return a result to the waiting caller."""
        if not self.future.done():
            self.future.set_result(result)

    def fail(self, error: BluebellError) -> None:
        """Raise an error in the waiting caller."""
        if not self.future.done():
            self.future.set_exception(error)


class GroupCommit:
    """Batches the writes that arrive while a transaction is in progress.

    Parameters
    ----------
    table
        The platform's table.
    counters
        Counters of transactions and of their writes.
    """

    def __init__(self, table: TableService, counters: Counters) -> None:
        self._table = table
        self._counters = counters
        self._queue: deque[_PendingWrite] = deque()
        self._has_pending = asyncio.Event()

    async def submit(self, key: str, version: int, body: bytes) -> WriteResult:
        """Write a row if it has the given version, 0 if it must not exist.

        Returns the row's new version, or the table's refusal. If the table's
        response is lost, the row is read to find out whether the write took
        effect. A token in the body distinguishes the write from all others.

        Raises
        ------
        OverloadedError
            When the queue of writes is full; nothing was written.
        PlatformDownError
            When the table is unavailable; nothing was written.
        PlatformOutcomeUnknownError
            When the write may have taken effect.
        """
        if len(self._queue) >= MAX_QUEUED_WRITES:
            raise OverloadedError('The queue of claims to write is full.')
        future: asyncio.Future[WriteResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._queue.append(_PendingWrite(key, version, body, future))
        self._has_pending.set()
        return await future

    async def run(self) -> None:
        """Commit queued writes until cancelled."""
        while True:
            await self._has_pending.wait()
            await self._commit(self._take_batch())

    def _take_batch(self) -> list[_PendingWrite]:
        batch: dict[str, _PendingWrite] = {}
        while self._queue and len(batch) < MAX_BATCH_WRITES:
            if self._queue[0].key in batch:
                break
            pending = self._queue.popleft()
            batch[pending.key] = pending
        if not self._queue:
            self._has_pending.clear()
        return list(batch.values())

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        while batch:
            self._counters.add('claims_transactions')
            self._counters.add('claims_writes', len(batch))
            try:
                response = await self._table.transact(_make_transaction(batch))
            except PlatformDownError as error:
                _fail_all(batch, error)
                return
            except (PlatformOutcomeUnknownError, PlatformGarbledError) as error:
                await self._read_back(batch, error)
                return
            batch = _resolve_batch(batch, response)

    async def _read_back(
        self, batch: Sequence[_PendingWrite], error: BluebellError
    ) -> None:
        self._counters.add('claims_lost_answers')
        async with anyio.create_task_group() as group:
            for pending in batch:
                group.start_soon(self._resolve_by_reading, pending, error)

    async def _resolve_by_reading(
        self, pending: _PendingWrite, error: BluebellError
    ) -> None:
        for attempt in range(_MAX_READ_ATTEMPTS):
            try:
                row = await self._table.read(pending.key)
            except BluebellError:
                await anyio.sleep(_INITIAL_READ_BACKOFF_S * 2**attempt)
            else:
                _resolve_from_row(pending, row)
                return
        pending.fail(
            PlatformOutcomeUnknownError(error.message, context=error.context)
        )


def _make_transaction(batch: Sequence[_PendingWrite]) -> Transaction:
    return Transaction(
        conditions=tuple(
            Condition(pending.key, pending.version) for pending in batch
        ),
        writes=tuple(Write(pending.key, pending.body) for pending in batch),
    )


def _resolve_batch(
    batch: list[_PendingWrite], response: Result[Committed, Refused]
) -> list[_PendingWrite]:
    """Resolve the writes that the response settles; return the others."""
    match response:
        case Result(tag='ok', ok=committed):
            for pending, version in zip(batch, committed.versions, strict=True):
                pending.resolve(Ok(version))
            return []
        case Result(error=refused):
            for pending in batch:
                if pending.key == refused.key:
                    pending.resolve(Error(refused))
            return [other for other in batch if other.key != refused.key]


def _resolve_from_row(pending: _PendingWrite, row: Row | None) -> None:
    if row is not None and row.body == pending.body:
        pending.resolve(Ok(row.version))
    elif row is not None and row.version != pending.version:
        pending.resolve(Error(Refused(pending.key, row.version)))
    else:
        pending.fail(
            PlatformOutcomeUnknownError(
                'The response to a write was lost, and the row does not show '
                'the write.'
            )
        )


def _fail_all(batch: Sequence[_PendingWrite], error: BluebellError) -> None:
    for pending in batch:
        pending.fail(error)
