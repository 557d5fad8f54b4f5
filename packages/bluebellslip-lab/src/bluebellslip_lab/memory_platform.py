"""In-memory platform without sockets, for tests and benchmarks."""

from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import anyio
from anyio.lowlevel import checkpoint
from expression import Result

from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.store import PlatformStore, RequestCounts

_MS_PER_SECOND: Final = 1000

StepHook = Callable[[str], Awaitable[None]]


async def yield_to_other_tasks(step: str) -> None:
    """Let other tasks run; the default step hook."""
    await checkpoint()


class MemoryPlatform:
    """In-memory implementation of TableService and ObjectStore.

    Parameters
    ----------
    store
        Rows, objects and counts; may serve several ``MemoryPlatform`` objects.
    random_source
        Decides which responses are lost.
    step_hook
        Awaited with ``before`` and ``after`` around each access to the store,
        so that a test can control how callers interleave.

    Attributes
    ----------
    faults
        Faults to inject; may be replaced at any time.
    writes_to_lose
        Number of upcoming writes that take effect but get no response.
    """

    def __init__(
        self,
        store: PlatformStore | None = None,
        random_source: Random | None = None,
        step_hook: StepHook = yield_to_other_tasks,
    ) -> None:
        self.store = store or PlatformStore()
        self.faults = Faults()
        self.writes_to_lose = 0
        self._random = random_source or Random(0)
        self._step_hook = step_hook

    @property
    def counts(self) -> RequestCounts:
        """Numbers of reads and writes so far."""
        return self.store.counts

    async def read(self, key: str) -> Row | None:
        """Return a row, or none if it is absent."""
        await self._begin_request()
        row = self.store.read(key)
        await self._end_read()
        return row

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return up to ``limit`` rows with a key prefix, in key order."""
        await self._begin_request()
        rows = self.store.scan(prefix, limit)
        await self._end_read()
        return rows

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Apply a transaction as a whole or not at all."""
        await self._begin_request()
        result = self.store.transact(transaction)
        await self._end_write()
        return result

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same body again changes nothing."""
        await self._begin_request()
        self.store.put(name, body)
        await self._end_write()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or none if it is absent."""
        await self._begin_request()
        body = self.store.get(name)
        await self._end_read()
        return body

    async def _begin_request(self) -> None:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / _MS_PER_SECOND)
        await self._step_hook('before')
        if self.faults.down:
            raise PlatformDownError('The platform is down.')

    async def _end_read(self) -> None:
        await self._step_hook('after')
        self._raise_if_garbled()
        if self._random.random() < self.faults.lose_answers:
            raise PlatformDownError('The response to a read was lost.')

    async def _end_write(self) -> None:
        await self._step_hook('after')
        self._raise_if_garbled()
        if self.writes_to_lose:
            self.writes_to_lose -= 1
            raise PlatformOutcomeUnknownError(
                'The response to a write was lost.'
            )
        lost = self._random.random() < self.faults.lose_answers
        if lost or self.faults.lose_writes:
            raise PlatformOutcomeUnknownError(
                'The response to a write was lost.'
            )

    def _raise_if_garbled(self) -> None:
        if self.faults.garble:
            raise PlatformGarbledError('The response is unreadable.')
