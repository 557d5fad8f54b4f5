"""Open-loop load: calls arrive as planned, however slow the answers are."""

import dataclasses
import heapq
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from random import Random
from typing import Final

import anyio
import msgspec
from anyio.abc import TaskGroup
from hdrh.histogram import HdrHistogram

from bluebellslip_lab.caller import Attempt, Caller
from bluebellslip_lab.history import CallRecord, Told
from bluebellslip_lab.traffic import Arrival, CallClass, plan_arrivals

_LOWEST_US: Final = 1
_HIGHEST_US: Final = 3_600_000_000
_DIGITS: Final = 3
_US_PER_SECOND: Final = 1_000_000
_US_PER_MS: Final = 1000
_MAX_IN_FLIGHT: Final = 2000
_POLL_SECONDS: Final = 0.1
_FAILURES_KEPT: Final = 100


class ClassReport(msgspec.Struct, frozen=True):
    """Calls of one class; latencies count from the planned arrival."""

    calls: int
    failed: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A call that failed.

    ``at`` is in seconds after the load began, ``seconds`` how long the call
    took, ``via`` the node that it was sent through.
    """

    kind: str
    at: float
    seconds: float
    via: str
    error: str


@dataclasses.dataclass(slots=True)
class Tally:
    """What became of the calls of one class."""

    calls: int = 0
    failed: int = 0
    latency: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
    )

    def report(self) -> ClassReport:
        """Return the figures."""
        return ClassReport(
            calls=self.calls,
            failed=self.failed,
            p50_ms=self._percentile(50),
            p99_ms=self._percentile(99),
            p999_ms=self._percentile(99.9),
            max_ms=self._percentile(100),
        )

    def _percentile(self, percentile: float) -> float:
        found: int = self.latency.get_value_at_percentile(percentile)
        return found / _US_PER_MS


class LoadGenerator:
    """Sends calls of several classes through several nodes.

    Parameters
    ----------
    callers
        Callers beside nodes; each call takes one at random.
    random_source
        Source of arrivals and of the choice of callers.
    prefix
        Begins the names of calls, so that they are unique in a run.
    """

    def __init__(
        self,
        callers: Sequence[Caller],
        random_source: Random,
        prefix: str = 'call',
    ) -> None:
        self._callers = tuple(callers)
        self._random = random_source
        self._prefix = prefix
        self._in_flight = 0
        self._attempts: list[Attempt] = []
        self._errors: Counter[str] = Counter()
        self._tallies: dict[str, Tally] = defaultdict(Tally)
        self._failed_versions: Counter[tuple[str, str]] = Counter()
        self._failures: list[Failure] = []
        self._start = float(0)
        self._lag = float(0)

    @property
    def failures(self) -> tuple[Failure, ...]:
        """The first failed calls."""
        return tuple(self._failures)

    @property
    def lag(self) -> float:
        """Seconds by which the generator itself was late, at most."""
        return self._lag

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """All requests so far."""
        return tuple(attempt.record for attempt in self._attempts)

    @property
    def errors(self) -> Counter[str]:
        """Reasons of calls that failed, counted."""
        return self._errors

    @property
    def failed_versions(self) -> Counter[tuple[str, str]]:
        """Failed calls by the service and version that answered them."""
        return self._failed_versions

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """All requests so far, with the versions that answered."""
        return tuple(self._attempts)

    def report(self) -> dict[str, ClassReport]:
        """Return the figures by class."""
        return {name: tally.report() for name, tally in self._tallies.items()}

    async def run(
        self, kinds: Iterable[CallClass], is_over: Callable[[], bool]
    ) -> None:
        """Send until told that it is over, then wait for all answers."""
        self._start = anyio.current_time()
        async with anyio.create_task_group() as group:
            for arrival in self._merge(kinds):
                due = self._start + arrival.at
                await self._wait(due, is_over)
                if is_over():
                    break
                self._lag = max(self._lag, anyio.current_time() - due)
                self._launch(group, arrival, due)

    async def _wait(self, due: float, is_over: Callable[[], bool]) -> None:
        remaining = due - anyio.current_time()
        while remaining > 0 and not is_over():
            await anyio.sleep(min(remaining, _POLL_SECONDS))
            remaining = due - anyio.current_time()

    def _merge(self, kinds: Iterable[CallClass]) -> Iterator[Arrival]:
        plans = [
            plan_arrivals(kind, Random(self._random.random())) for kind in kinds
        ]
        return heapq.merge(*plans, key=lambda arrival: arrival.at)

    def _launch(self, group: TaskGroup, arrival: Arrival, due: float) -> None:
        kind = arrival.kind
        name = f'{self._prefix}-{kind.name}-{arrival.number}'
        if self._in_flight >= _MAX_IN_FLIGHT:
            self._tallies[kind.name].calls += 1
            self._tallies[kind.name].failed += 1
            self._errors['generator full'] += 1
            return
        group.start_soon(self._call, kind, name, due, 'a')
        if kind.once and self._random.random() < kind.doubled:
            group.start_soon(self._call, kind, name, due, 'b')

    async def _call(
        self, kind: CallClass, name: str, due: float, twin: str
    ) -> None:
        self._in_flight += 1
        caller = self._random.choice(self._callers)
        attempts = await caller.call(kind, name, twin)
        self._in_flight -= 1
        self._attempts.extend(attempts)
        tally = self._tallies[kind.name]
        elapsed = anyio.current_time() - due
        tally.calls += 1
        tally.latency.record_value(max(int(elapsed * _US_PER_SECOND), 1))
        if attempts[-1].told is not Told.DONE:
            tally.failed += 1
            self._note_failure(kind, attempts[-1], due, caller)

    def _note_failure(
        self, kind: CallClass, last: Attempt, due: float, caller: Caller
    ) -> None:
        self._errors[f'{kind.name}: {last.error}'] += 1
        self._failed_versions[kind.service, last.version] += 1
        if len(self._failures) < _FAILURES_KEPT:
            self._failures.append(
                Failure(
                    kind=kind.name,
                    at=round(due - self._start, 3),
                    seconds=round(anyio.current_time() - due, 3),
                    via=caller.via,
                    error=last.error,
                )
            )
