"""Deterministic interleaving of tasks that share a platform."""

import dataclasses
import enum
from collections.abc import Awaitable, Callable, Sequence

import anyio
from anyio.lowlevel import checkpoint
from expression import Result

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
from bluebellslip_lab.store import PlatformStore


class Fate(enum.IntEnum):
    """What becomes of one request to the platform."""

    SERVED = 0
    LOST = 1  # takes effect, no answer
    LATE = 2  # no answer, takes effect at some later time
    DOWN = 3


@dataclasses.dataclass(frozen=True)
class Choice:
    """Which waiting task goes on, and how its request fares."""

    task: int
    fate: Fate
    late: int = 0


class Schedule:
    """Lets one task go on at a time, as a list of choices says.

    When the choices are used up, tasks take turns and all goes well.
    """

    def __init__(self, choices: Sequence[Choice]) -> None:
        self._choices = list(choices)
        self._waiting: list[tuple[anyio.Event, list[Fate]]] = []
        self._running = 0
        self._late: list[Callable[[], object]] = []
        self._now = 0

    @property
    def now(self) -> int:
        """Steps taken so far."""
        return self._now

    async def turn(self) -> Fate:
        """Wait until it is the caller's turn; return its request's fate."""
        event, fates = anyio.Event(), list[Fate]()
        self._waiting.append((event, fates))
        await event.wait()
        return fates[0]

    def postpone(self, effect: Callable[[], object]) -> None:
        """Let an effect take place at some later step."""
        self._late.append(effect)

    async def run(self, *bodies: Callable[[], Awaitable[None]]) -> None:
        """Run tasks to their ends, then let late effects take place."""
        self._running = len(bodies)
        async with anyio.create_task_group() as group:
            for body in bodies:
                group.start_soon(self._work, body)
            while self._running:
                await self._step()
        while self._late:
            self._late.pop(0)()

    async def _work(self, body: Callable[[], Awaitable[None]]) -> None:
        await body()
        self._running -= 1

    async def _step(self) -> None:
        while len(self._waiting) < self._running:
            await checkpoint()
        if not self._waiting:
            return
        self._now += 1
        choice = self._choices.pop(0) if self._choices else Choice(0, Fate(0))
        if choice.late and self._late:
            self._late.pop(choice.late % len(self._late))()
        event, fates = self._waiting.pop(choice.task % len(self._waiting))
        fates.append(choice.fate)
        event.set()
        while not fates or event in {each[0] for each in self._waiting}:
            await checkpoint()


class ScheduledPlatform:
    """TableService and ObjectStore whose requests follow a schedule."""

    def __init__(self, store: PlatformStore, schedule: Schedule) -> None:
        self._store = store
        self._schedule = schedule

    async def read(self, key: str) -> Row | None:
        await self._serve_read()
        return self._store.read(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        await self._serve_read()
        return self._store.scan(prefix, limit)

    async def get(self, name: str) -> bytes | None:
        await self._serve_read()
        return self._store.get(name)

    async def put(self, name: str, body: bytes) -> None:
        fate = await self._schedule.turn()
        self._lose(fate, lambda: self._store.put(name, body))
        self._store.put(name, body)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        fate = await self._schedule.turn()
        self._lose(fate, lambda: self._store.transact(transaction))
        return self._store.transact(transaction)

    async def _serve_read(self) -> None:
        if await self._schedule.turn() is not Fate.SERVED:
            raise PlatformDownError('A read got no answer.')

    def _lose(self, fate: Fate, effect: Callable[[], object]) -> None:
        if fate is Fate.DOWN:
            raise PlatformDownError('Refused.')
        if fate is Fate.LOST:
            effect()
        if fate is Fate.LATE:
            self._schedule.postpone(effect)
        if fate is not Fate.SERVED:
            raise PlatformOutcomeUnknownError('No answer.')
