"""A table in memory that simulates faults of the platform."""

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
    """Holds rows in memory.

    While ``down`` is set, all calls are refused. The next
    ``responses_to_lose`` transactions take effect without a response; the next
    ``requests_to_lose`` transactions and ``reads_to_lose`` calls of ``read``
    are dropped. While ``hang`` is set, transactions take effect and never
    return. Each call is delayed by ``delay_s`` seconds.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.responses_to_lose = 0
        self.requests_to_lose = 0
        self.reads_to_lose = 0
        self.hang = False
        self.delay_s: float = 0
        self.transaction_count = 0

    async def read(self, key: str) -> Row | None:
        await self._inject_fault()
        if self.reads_to_lose:
            self.reads_to_lose -= 1
            raise PlatformOutcomeUnknownError('lost')
        return self.rows.get(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        await self._inject_fault()
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        self.transaction_count += 1
        await self._inject_fault()
        if self.requests_to_lose:
            self.requests_to_lose -= 1
            raise PlatformOutcomeUnknownError('lost')
        outcome = self._apply(transaction)
        if self.hang:
            await anyio.sleep_forever()
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            raise PlatformOutcomeUnknownError('lost')
        return outcome

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

    async def _inject_fault(self) -> None:
        await anyio.sleep(self.delay_s)
        if self.down:
            raise PlatformDownError('down')
