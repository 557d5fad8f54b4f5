"""The platform in memory, without sockets, for tests and benches."""

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
from bluebellslip_lab.store import Counts, PlatformStore

_MS_PER_SECOND: Final = 1000

Gate = Callable[[str], Awaitable[None]]


async def pass_gate(step: str) -> None:
    """Let other tasks run; the gate that is used unless a test brings one."""
    await checkpoint()


class MemoryPlatform:
    """TableService and ObjectStore of one process.

    Parameters
    ----------
    store
        The state; several clients may share it.
    random_source
        Decides which answers are lost.
    gate
        Awaited with ``before`` and ``after`` around each effect, so that a
        test decides how callers interleave.

    Attributes
    ----------
    faults
        What goes wrong; replace it at any time.
    lose_next
        Number of writes yet to come whose answers get lost after effect.
    """

    def __init__(
        self,
        store: PlatformStore | None = None,
        random_source: Random | None = None,
        gate: Gate = pass_gate,
    ) -> None:
        self.store = store or PlatformStore()
        self.faults = Faults()
        self.lose_next = 0
        self._random = random_source or Random(0)
        self._gate = gate

    @property
    def counts(self) -> Counts:
        """Requests so far."""
        return self.store.counts

    async def read(self, key: str) -> Row | None:
        """Return a row, or none if it is absent."""
        await self._enter()
        row = self.store.read(key)
        await self._leave_read()
        return row

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return at most ``limit`` rows by key, in the keys' order."""
        await self._enter()
        rows = self.store.scan(prefix, limit)
        await self._leave_read()
        return rows

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Apply a transaction as a whole or not at all."""
        await self._enter()
        answer = self.store.transact(transaction)
        await self._leave_write()
        return answer

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; storing the same again changes nothing."""
        await self._enter()
        self.store.put(name, body)
        await self._leave_write()

    async def get(self, name: str) -> bytes | None:
        """Return an object, or none if it is absent."""
        await self._enter()
        body = self.store.get(name)
        await self._leave_read()
        return body

    async def _enter(self) -> None:
        if self.faults.delay_ms:
            await anyio.sleep(self.faults.delay_ms / _MS_PER_SECOND)
        await self._gate('before')
        if self.faults.down:
            raise PlatformDownError('The platform is down.')

    async def _leave_read(self) -> None:
        await self._gate('after')
        self._raise_garbled()
        if self._random.random() < self.faults.lose_answers:
            raise PlatformDownError('The answer of a read was lost.')

    async def _leave_write(self) -> None:
        await self._gate('after')
        self._raise_garbled()
        if self.lose_next:
            self.lose_next -= 1
            raise PlatformOutcomeUnknownError('The answer of a write was lost.')
        lost = self._random.random() < self.faults.lose_answers
        if lost or self.faults.lose_writes:
            raise PlatformOutcomeUnknownError('The answer of a write was lost.')

    def _raise_garbled(self) -> None:
        if self.faults.garble:
            raise PlatformGarbledError('The answer makes no sense.')
