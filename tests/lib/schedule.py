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


class RequestOutcome(enum.IntEnum):
    """What becomes of one request to the platform."""

    SERVED = 0
    LOST = 1  # takes effect, no answer
    LATE = 2  # no answer, takes effect at some later time
    DOWN = 3


@dataclasses.dataclass(frozen=True)
class ScheduledStep:
    """Which waiting task goes on, and how its request fares."""

    task_index: int
    outcome: RequestOutcome
    late_effect_index: int = 0


class Schedule:
    """Lets one task go on at a time, as a list of choices says.

    When the choices are used up, tasks take turns and all goes well.
    """

    def __init__(self, steps: Sequence[ScheduledStep]) -> None:
        self._steps = list(steps)
        self._waiting: list[tuple[anyio.Event, list[RequestOutcome]]] = []
        self._running = 0
        self._deferred: list[Callable[[], object]] = []
        self._step_count = 0

    @property
    def step_count(self) -> int:
        """Steps taken so far."""
        return self._step_count

    async def wait_turn(self) -> RequestOutcome:
        """Wait until it is the caller's turn; return its request's fate."""
        event, outcomes = anyio.Event(), list[RequestOutcome]()
        self._waiting.append((event, outcomes))
        await event.wait()
        return outcomes[0]

    def defer(self, effect: Callable[[], object]) -> None:
        """Let an effect take place at some later step."""
        self._deferred.append(effect)

    async def run(self, *bodies: Callable[[], Awaitable[None]]) -> None:
        """Run tasks to their ends, then let late effects take place."""
        self._running = len(bodies)
        async with anyio.create_task_group() as group:
            for body in bodies:
                group.start_soon(self._work, body)
            while self._running:
                await self._step()
        while self._deferred:
            self._deferred.pop(0)()

    async def _work(self, body: Callable[[], Awaitable[None]]) -> None:
        await body()
        self._running -= 1

    async def _step(self) -> None:
        while len(self._waiting) < self._running:
            await checkpoint()
        if not self._waiting:
            return
        self._step_count += 1
        step = (
            self._steps.pop(0)
            if self._steps
            else ScheduledStep(0, RequestOutcome(0))
        )
        if step.late_effect_index and self._deferred:
            self._deferred.pop(step.late_effect_index % len(self._deferred))()
        event, outcomes = self._waiting.pop(
            step.task_index % len(self._waiting)
        )
        outcomes.append(step.outcome)
        event.set()
        while not outcomes or event in {each[0] for each in self._waiting}:
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
        outcome = await self._schedule.wait_turn()
        self._raise_unless_served(outcome, lambda: self._store.put(name, body))
        self._store.put(name, body)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        outcome = await self._schedule.wait_turn()
        self._raise_unless_served(
            outcome, lambda: self._store.transact(transaction)
        )
        return self._store.transact(transaction)

    async def _serve_read(self) -> None:
        if await self._schedule.wait_turn() is not RequestOutcome.SERVED:
            raise PlatformDownError('A read got no answer.')

    def _raise_unless_served(
        self, outcome: RequestOutcome, effect: Callable[[], object]
    ) -> None:
        if outcome is RequestOutcome.DOWN:
            raise PlatformDownError('Refused.')
        if outcome is RequestOutcome.LOST:
            effect()
        if outcome is RequestOutcome.LATE:
            self._schedule.defer(effect)
        if outcome is not RequestOutcome.SERVED:
            raise PlatformOutcomeUnknownError('No answer.')
