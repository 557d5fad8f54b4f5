"""The failure rate of a server that others avoid.

Guards against a server that gets no requests for good because its last ones
failed.
"""

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.proxy.failure_rate import FailureRate
from bluebellslip._internal.proxy.server_selection import (
    IGNORED_FAILURE_RATE,
    SPREAD_LIMIT,
)
from lib.fleet import SECOND


def test_server_that_failed_gets_requests_again_after_a_time() -> None:
    clock = ManualClock()
    rate = FailureRate(clock)
    for _ in range(100):
        rate.record(failed=True)
    assert rate.value > SPREAD_LIMIT
    clock.advance(10 * SECOND)
    assert IGNORED_FAILURE_RATE < rate.value < SPREAD_LIMIT
    clock.advance(20 * SECOND)
    assert rate.value < IGNORED_FAILURE_RATE
    rate.clear()
    assert rate.value < IGNORED_FAILURE_RATE
