"""Hold times of requests at one server, by route.

A server that happens to receive long requests is not slow, so hold times are
compared between servers for the same route only.
"""

import datetime as dt
from collections import OrderedDict
from typing import Final

from bluebellslip._internal.models.identity import RouteName

# Routes kept and reported to other nodes; most services serve no more of them
# at a time.
MAX_ROUTES: Final = 8
_SMOOTHING: Final = 0.06  # averages about the last thirty requests


class RouteHoldTimes:
    """Exponentially smoothed hold times of the most recently used routes."""

    def __init__(self) -> None:
        self._smoothed: OrderedDict[RouteName, dt.timedelta] = OrderedDict()
        self._samples: dict[RouteName, int] = {}

    def record(self, route: RouteName, spent: dt.timedelta) -> None:
        """Record the hold time of one request."""
        samples = self._samples.get(route, 0) + 1
        self._samples[route] = samples
        smoothed = self._smoothed.get(route, spent)
        weight = max(_SMOOTHING, 1 / samples)
        self._smoothed[route] = smoothed + (spent - smoothed) * weight
        self._smoothed.move_to_end(route)
        if len(self._smoothed) > MAX_ROUTES:
            oldest, _ = self._smoothed.popitem(last=False)
            del self._samples[oldest]

    def get(self, route: RouteName) -> dt.timedelta | None:
        """Return the smoothed hold time of a route, if there is one."""
        return self._smoothed.get(route)

    def read(self) -> dict[RouteName, dt.timedelta]:
        """Return the smoothed hold time of each route."""
        return dict(self._smoothed)

    def clear(self) -> None:
        """Discard all hold times when the server restarts or is replaced."""
        self._smoothed.clear()
        self._samples.clear()
