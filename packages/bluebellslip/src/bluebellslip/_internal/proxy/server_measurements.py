"""What a node measures of the responses of its local server."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.proxy.failure_rate import FailureRate
from bluebellslip._internal.proxy.hold_times import RouteHoldTimes


class ServerMeasurements:
    """Failure rate and hold times of the local server in one lifetime.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._failure_rate = FailureRate(clock)
        self._hold_times = RouteHoldTimes()

    @property
    def failure_rate(self) -> float:
        """Smoothed share of failures and refusals among its responses."""
        return self._failure_rate.value

    @property
    def hold_times(self) -> RouteHoldTimes:
        """Hold times of requests, by route."""
        return self._hold_times

    def record(
        self, route: RouteName, status: RequestStatus, latency: dt.timedelta
    ) -> None:
        """Record one request."""
        if status is RequestStatus.CANCELLED:
            return
        is_success = status is RequestStatus.SUCCEEDED
        self._failure_rate.record(failed=not is_success)
        if is_success:
            self._hold_times.record(route, latency)

    def clear(self) -> None:
        """Forget all when the server restarts or is replaced."""
        self._failure_rate.clear()
        self._hold_times.clear()
