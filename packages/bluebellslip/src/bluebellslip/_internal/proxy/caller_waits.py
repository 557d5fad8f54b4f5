"""Estimates how long a caller has been waiting from the timeout it sends.

Handles callers that retry after an error response: a response is already worth
less to them, and in an overload new requests should not wait behind their
retries. While no error response is sent, there are no retries, so the timeouts
sent during that time are those of new requests and are kept as samples. A
caller that sends a shorter timeout than all samples is assumed to have spent
the difference from their mean on earlier attempts.
"""

import datetime as dt
from collections import OrderedDict, deque
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import RouteName

# Timeouts of new requests that are kept per route, and how many of them an
# estimate needs.
MAX_SAMPLES: Final = 64
MIN_SAMPLES: Final = 16
# Routes with samples kept; the least recently used one is evicted.
MAX_ROUTES: Final = 64
# Time after an error response within which its caller may retry, because
# callers wait about this long for a response.
RETRY_ARRIVAL_WINDOW: Final = dt.timedelta(seconds=4)
_ZERO: Final = dt.timedelta()


class CallerWaitEstimator:
    """Estimates the time that callers have spent on earlier attempts.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._retries_expected_until = _ZERO
        self._routes: OrderedDict[RouteName, deque[int]] = OrderedDict()

    def record_error(self) -> None:
        """Record an error response, after which the caller may retry."""
        self._retries_expected_until = (
            self._clock.elapsed() + RETRY_ARRIVAL_WINDOW
        )

    def estimate_spent(self, route: RouteName, timeout_ms: int) -> dt.timedelta:
        """Return how long a caller had been waiting before this request.

        While no retries are expected, the timeout is kept as a sample and the
        result is zero.

        Parameters
        ----------
        route
            The route of the request.
        timeout_ms
            Timeout that the caller sent with the request, in milliseconds.
        """
        samples = self._get_samples(route)
        if self._clock.elapsed() >= self._retries_expected_until:
            samples.append(timeout_ms)
            return _ZERO
        if len(samples) < MIN_SAMPLES or timeout_ms >= min(samples):
            return _ZERO
        mean_ms = sum(samples) / len(samples)
        return dt.timedelta(milliseconds=mean_ms - timeout_ms)

    def _get_samples(self, route: RouteName) -> deque[int]:
        samples = self._routes.get(route)
        if samples is None:
            samples = deque(maxlen=MAX_SAMPLES)
            self._routes[route] = samples
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        return samples
