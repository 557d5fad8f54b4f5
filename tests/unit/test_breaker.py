"""The circuit breaker of requests to the platform.

During an outage requests fail fast, and each node sends one probe at a time, at
times that differ between nodes. Otherwise every request would wait for a
timeout, and all nodes would load the recovering platform at once.
"""

import datetime as dt
from random import Random

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.platform.breaker import (
    BreakerLimits,
    BreakerState,
    CircuitBreaker,
)

_LIMITS = BreakerLimits(
    failures_to_open=3,
    base_delay=dt.timedelta(seconds=1),
    max_delay=dt.timedelta(seconds=4),
)


class _MaxJitter(Random):
    """Always draws the maximum, so that open times are known exactly."""

    def random(self) -> float:
        return 1.0


def _make_breaker(
    clock: ManualClock, random_source: Random | None = None
) -> CircuitBreaker:
    return CircuitBreaker(
        'table', clock, random_source or _MaxJitter(), _LIMITS
    )


def _record_failures(breaker: CircuitBreaker, times: int) -> None:
    for _ in range(times):
        permit = breaker.acquire_permit()
        assert permit is not None
        breaker.record_failure(permit)


def test_consecutive_failures_open_the_breaker() -> None:
    breaker = _make_breaker(ManualClock())
    _record_failures(breaker, 2)
    permit = breaker.acquire_permit()
    assert permit is not None
    breaker.record_success(permit)
    _record_failures(breaker, 3)
    assert breaker.state is BreakerState.OPEN
    assert breaker.acquire_permit() is None


def test_one_probe_at_a_time_after_the_open_time() -> None:
    clock = ManualClock()
    breaker = _make_breaker(clock)
    _record_failures(breaker, 3)
    clock.advance(dt.timedelta(milliseconds=999))
    assert breaker.acquire_permit() is None
    clock.advance(dt.timedelta(milliseconds=1))
    probe = breaker.acquire_permit()
    assert probe is not None
    assert breaker.acquire_permit() is None
    breaker.record_success(probe)
    assert breaker.state is BreakerState.CLOSED


def test_failed_probes_double_the_open_time_up_to_its_bound() -> None:
    clock = ManualClock()
    breaker = _make_breaker(clock)
    _record_failures(breaker, 3)
    for seconds in (1, 2, 4, 4):
        clock.advance(dt.timedelta(seconds=seconds, microseconds=-1))
        assert breaker.acquire_permit() is None
        clock.advance(dt.timedelta(microseconds=1))
        _record_failures(breaker, 1)


def test_a_cancelled_probe_permits_the_next() -> None:
    clock = ManualClock()
    breaker = _make_breaker(clock)
    _record_failures(breaker, 3)
    clock.advance(dt.timedelta(seconds=1))
    probe = breaker.acquire_permit()
    assert probe is not None
    breaker.record_cancellation(probe)
    assert breaker.acquire_permit() is not None


def test_responses_from_before_the_opening_change_nothing() -> None:
    clock = ManualClock()
    breaker = _make_breaker(clock)
    slow = breaker.acquire_permit()
    assert slow is not None
    _record_failures(breaker, 3)
    breaker.record_success(slow)
    assert breaker.acquire_permit() is None


def test_open_times_of_two_nodes_differ() -> None:
    first, second = (_find_first_probe_ms(Random(seed)) for seed in (1, 2))
    assert first != second


def _find_first_probe_ms(random_source: Random) -> int:
    clock = ManualClock()
    breaker = _make_breaker(clock, random_source)
    _record_failures(breaker, 3)
    waited_ms = 0
    while breaker.acquire_permit() is None:
        clock.advance(dt.timedelta(milliseconds=1))
        waited_ms += 1
    return waited_ms
