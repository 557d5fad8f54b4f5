"""How long a caller has been waiting already, as its deadline tells.

Answers callers that come back after a refusal: their answers are worth less
already, and in an overload fresh requests should not wait behind them. While
nobody is refused, no caller comes back; what callers allow then is what fresh
ones allow. One that allows less than any of them has spent the difference on
earlier tries.
"""

import datetime as dt
from collections import OrderedDict, deque
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import RouteName

# Fresh callers of a route that are remembered, and how many are needed.
MAX_SAMPLES: Final = 64
MIN_SAMPLES: Final = 16
# Routes that are remembered.
MAX_ROUTES: Final = 64
# How long after a refusal its caller may come back: as long as callers wait.
RETRY_ARRIVAL_WINDOW: Final = dt.timedelta(seconds=4)
_ZERO: Final = dt.timedelta()


class CallerWaitEstimator:
    """Knows by route how much time fresh callers allow.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._retries_expected_until = _ZERO
        self._routes: OrderedDict[RouteName, deque[int]] = OrderedDict()

    def note_refusal(self) -> None:
        """Note that a caller was refused and may come back."""
        self._retries_expected_until = (
            self._clock.elapsed() + RETRY_ARRIVAL_WINDOW
        )

    def estimate_spent(self, route: RouteName, timeout_ms: int) -> dt.timedelta:
        """Return how long a caller has been waiting before this request.

        Parameters
        ----------
        route
            The route of the request.
        told_ms
            Time in milliseconds that the caller allows now.
        """
        fresh = self._get_samples(route)
        if self._clock.elapsed() >= self._retries_expected_until:
            fresh.append(timeout_ms)
            return _ZERO
        if len(fresh) < MIN_SAMPLES or timeout_ms >= min(fresh):
            return _ZERO
        usual = sum(fresh) / len(fresh)
        return dt.timedelta(milliseconds=usual - timeout_ms)

    def _get_samples(self, route: RouteName) -> deque[int]:
        fresh = self._routes.get(route)
        if fresh is None:
            fresh = deque(maxlen=MAX_SAMPLES)
            self._routes[route] = fresh
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)
        return fresh
