"""A table in memory, with the faults of the platform."""

import anyio
from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)


class FakeTable:
    """Rows in memory.

    ``down`` refuses everything, ``lose_answers`` lets that many transactions
    take effect without an answer, ``lose_requests`` and ``lose_reads`` drop
    that many, ``hang`` keeps answers back for good, and ``delay`` holds each
    call back by seconds.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.lose_reads = 0
        self.hang = False
        self.delay: float = 0
        self.transactions = 0

    async def read(self, key: str) -> Row | None:
        await self._fault()
        if self.lose_reads:
            self.lose_reads -= 1
            raise PlatformOutcomeUnknownError('lost')
        return self.rows.get(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        await self._fault()
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        self.transactions += 1
        await self._fault()
        if self.lose_requests:
            self.lose_requests -= 1
            raise PlatformOutcomeUnknownError('lost')
        answer = self._apply(transaction)
        if self.hang:
            await anyio.sleep_forever()
        if self.lose_answers:
            self.lose_answers -= 1
            raise PlatformOutcomeUnknownError('lost')
        return answer

    def _apply(self, transaction: Transaction) -> Result[Committed, Refused]:
        for condition in transaction.conditions:
            found = self._version(condition.key)
            if found != condition.version:
                return Error(Refused(condition.key, found))
        versions = []
        for write in transaction.writes:
            version = self._version(write.key) + 1
            versions.append(version)
            if write.body is None:
                self.rows.pop(write.key, None)
            else:
                self.rows[write.key] = Row(write.key, version, write.body)
        return Ok(Committed(tuple(versions)))

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.version

    async def _fault(self) -> None:
        await anyio.sleep(self.delay)
        if self.down:
            raise PlatformDownError('down')
