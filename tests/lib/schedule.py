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
    """What happens to one request to the platform."""

    SERVED = 0
    LOST = 1  # takes effect, but the response is lost
    LATE = 2  # no response, takes effect at a later step
    DOWN = 3  # refused, no effect


@dataclasses.dataclass(frozen=True)
class ScheduledStep:
    """Which waiting task continues, and the outcome of its request.

    ``task_index`` is taken modulo the number of waiting tasks. A
    ``deferred_effect_index`` other than 0 also applies the deferred effect at
    that index, taken modulo the number of deferred effects.
    """

    task_index: int
    outcome: RequestOutcome
    deferred_effect_index: int = 0


class Schedule:
    """Runs one task at a time, in the order of a list of steps.

    When the steps are used up, tasks take turns and all requests succeed.
    """

    def __init__(self, steps: Sequence[ScheduledStep]) -> None:
        self._steps = list(steps)
        self._waiting: list[tuple[anyio.Event, list[RequestOutcome]]] = []
        self._running = 0
        self._deferred: list[Callable[[], object]] = []
        self._step_count = 0

    @property
    def step_count(self) -> int:
        """Number of steps taken so far."""
        return self._step_count

    async def wait_turn(self) -> RequestOutcome:
        """Wait for the caller's turn; return the outcome of its request."""
        event, outcomes = anyio.Event(), list[RequestOutcome]()
        self._waiting.append((event, outcomes))
        await event.wait()
        return outcomes[0]

    def defer(self, effect: Callable[[], object]) -> None:
        """Apply an effect at a later step, or at the end of the run."""
        self._deferred.append(effect)

    async def run(self, *tasks: Callable[[], Awaitable[None]]) -> None:
        """Run tasks until all have ended, then apply the deferred effects."""
        self._running = len(tasks)
        async with anyio.create_task_group() as group:
            for task in tasks:
                group.start_soon(self._run_task, task)
            while self._running:
                await self._step()
        while self._deferred:
            self._deferred.pop(0)()

    async def _run_task(self, task: Callable[[], Awaitable[None]]) -> None:
        await task()
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
        if step.deferred_effect_index and self._deferred:
            self._deferred.pop(
                step.deferred_effect_index % len(self._deferred)
            )()
        event, outcomes = self._waiting.pop(
            step.task_index % len(self._waiting)
        )
        outcomes.append(step.outcome)
        event.set()
        while not outcomes or event in {entry[0] for entry in self._waiting}:
            await checkpoint()


class ScheduledPlatform:
    """TableService and ObjectStore whose requests follow a schedule."""

    def __init__(self, store: PlatformStore, schedule: Schedule) -> None:
        self._store = store
        self._schedule = schedule

    async def read(self, key: str) -> Row | None:
        await self._wait_for_read()
        return self._store.read(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        await self._wait_for_read()
        return self._store.scan(prefix, limit)

    async def get(self, name: str) -> bytes | None:
        await self._wait_for_read()
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

    async def _wait_for_read(self) -> None:
        if await self._schedule.wait_turn() is not RequestOutcome.SERVED:
            raise PlatformDownError('The read got no response.')

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
            raise PlatformOutcomeUnknownError('The write got no response.')
