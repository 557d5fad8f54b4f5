"""Open-loop load: calls are sent as planned, however slow the responses."""

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
from bluebellslip_lab.history import CallRecord, ReportedOutcome
from bluebellslip_lab.traffic import Arrival, CallClass, generate_arrivals

_MIN_LATENCY_US: Final = 1
_MAX_LATENCY_US: Final = 3_600_000_000
_SIGNIFICANT_DIGITS: Final = 3
_US_PER_SECOND: Final = 1_000_000
_US_PER_MS: Final = 1000
_MAX_IN_FLIGHT: Final = 2000
_POLL_SECONDS: Final = 0.1
_MAX_KEPT_FAILURES: Final = 100


class ClassReport(msgspec.Struct, frozen=True):
    """Results of one call class; latencies count from the planned arrival."""

    calls: int
    failed: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A failed call.

    ``kind`` is the name of its class, ``at`` the planned time in seconds
    since the start of the load, ``seconds`` the time from then until the call
    failed, and ``via`` the egress address of the node that it was sent
    through.
    """

    kind: str
    at: float
    seconds: float
    via: str
    error: str


@dataclasses.dataclass(slots=True)
class ClassCounts:
    """Counts and latencies, in microseconds, of the calls of one class."""

    calls: int = 0
    failed: int = 0
    latency: HdrHistogram = dataclasses.field(
        default_factory=lambda: HdrHistogram(
            _MIN_LATENCY_US, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS
        )
    )

    def report(self) -> ClassReport:
        """Return the counts and the latency percentiles."""
        return ClassReport(
            calls=self.calls,
            failed=self.failed,
            p50_ms=self._percentile(50),
            p99_ms=self._percentile(99),
            p999_ms=self._percentile(99.9),
            max_ms=self._percentile(100),
        )

    def _percentile(self, percentile: float) -> float:
        latency_us: int = self.latency.get_value_at_percentile(percentile)
        return latency_us / _US_PER_MS


class LoadGenerator:
    """Sends calls of several classes through several nodes.

    Parameters
    ----------
    callers
        Callers beside nodes; each call uses one at random.
    random_source
        Draws arrivals, callers and the calls that are sent twice.
    name_prefix
        Prefix of the calls' names; must differ between generators that are
        used in the same run.
    """

    def __init__(
        self,
        callers: Sequence[Caller],
        random_source: Random,
        name_prefix: str = 'call',
    ) -> None:
        self._callers = tuple(callers)
        self._random = random_source
        self._name_prefix = name_prefix
        self._in_flight = 0
        self._attempts: list[Attempt] = []
        self._errors: Counter[str] = Counter()
        self._counts_by_class: dict[str, ClassCounts] = defaultdict(ClassCounts)
        self._failed_versions: Counter[tuple[str, str]] = Counter()
        self._failures: list[Failure] = []
        self._started_at = float(0)
        self._max_lag = float(0)

    @property
    def failures(self) -> tuple[Failure, ...]:
        """The first failed calls, at most ``_MAX_KEPT_FAILURES``."""
        return tuple(self._failures)

    @property
    def max_lag(self) -> float:
        """Longest time by which a call was sent late, in seconds."""
        return self._max_lag

    @property
    def records(self) -> tuple[CallRecord, ...]:
        """Records of all requests of the finished calls."""
        return tuple(attempt.record for attempt in self._attempts)

    @property
    def errors(self) -> Counter[str]:
        """Number of failed calls by class and error.

        ``generator full`` counts the calls that were not sent, because too
        many were in flight.
        """
        return self._errors

    @property
    def failed_versions(self) -> Counter[tuple[str, str]]:
        """Number of failed calls by service and responding version."""
        return self._failed_versions

    @property
    def attempts(self) -> tuple[Attempt, ...]:
        """Requests of the finished calls, with the versions that responded."""
        return tuple(self._attempts)

    def report(self) -> dict[str, ClassReport]:
        """Return the results by class."""
        return {
            name: counts.report()
            for name, counts in self._counts_by_class.items()
        }

    async def run(
        self, call_classes: Iterable[CallClass], is_finished: Callable[[], bool]
    ) -> None:
        """Send calls until ``is_finished()``, then wait for those in flight."""
        self._started_at = anyio.current_time()
        async with anyio.create_task_group() as group:
            for arrival in self._merge_arrivals(call_classes):
                due_at = self._started_at + arrival.at
                await self._wait_until(due_at, is_finished)
                if is_finished():
                    break
                self._max_lag = max(
                    self._max_lag, anyio.current_time() - due_at
                )
                self._start_call(group, arrival, due_at)

    async def _wait_until(
        self, due_at: float, is_finished: Callable[[], bool]
    ) -> None:
        remaining = due_at - anyio.current_time()
        while remaining > 0 and not is_finished():
            await anyio.sleep(min(remaining, _POLL_SECONDS))
            remaining = due_at - anyio.current_time()

    def _merge_arrivals(
        self, call_classes: Iterable[CallClass]
    ) -> Iterator[Arrival]:
        plans = [
            generate_arrivals(call_class, Random(self._random.random()))
            for call_class in call_classes
        ]
        return heapq.merge(*plans, key=lambda arrival: arrival.at)

    def _start_call(
        self, group: TaskGroup, arrival: Arrival, due_at: float
    ) -> None:
        call_class = arrival.kind
        name = f'{self._name_prefix}-{call_class.name}-{arrival.number}'
        if self._in_flight >= _MAX_IN_FLIGHT:
            self._counts_by_class[call_class.name].calls += 1
            self._counts_by_class[call_class.name].failed += 1
            self._errors['generator full'] += 1
            return
        group.start_soon(self._call, call_class, name, due_at, 'a')
        if call_class.once and self._random.random() < call_class.doubled:
            group.start_soon(self._call, call_class, name, due_at, 'b')

    async def _call(
        self, call_class: CallClass, name: str, due_at: float, copy_id: str
    ) -> None:
        self._in_flight += 1
        caller = self._random.choice(self._callers)
        attempts = await caller.call(call_class, name, copy_id)
        self._in_flight -= 1
        self._attempts.extend(attempts)
        counts = self._counts_by_class[call_class.name]
        elapsed = anyio.current_time() - due_at
        counts.calls += 1
        counts.latency.record_value(max(int(elapsed * _US_PER_SECOND), 1))
        if attempts[-1].outcome is not ReportedOutcome.DONE:
            counts.failed += 1
            self._record_failure(call_class, attempts[-1], due_at, caller)

    def _record_failure(
        self,
        call_class: CallClass,
        last_attempt: Attempt,
        due_at: float,
        caller: Caller,
    ) -> None:
        self._errors[f'{call_class.name}: {last_attempt.error}'] += 1
        self._failed_versions[call_class.service, last_attempt.version] += 1
        if len(self._failures) < _MAX_KEPT_FAILURES:
            self._failures.append(
                Failure(
                    kind=call_class.name,
                    at=round(due_at - self._started_at, 3),
                    seconds=round(anyio.current_time() - due_at, 3),
                    via=caller.egress,
                    error=last_attempt.error,
                )
            )
