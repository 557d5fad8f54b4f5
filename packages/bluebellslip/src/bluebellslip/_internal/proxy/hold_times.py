"""How long requests of each route take at one server.

A server that happens to get long requests is not a slow one: times are
compared between servers for the same route only.
"""

import datetime as dt
from collections import OrderedDict
from typing import Final

from bluebellslip._internal.models.identity import RouteName

# Routes that are kept and told to others; the fewest that cover what most
# services serve at a time.
MAX_ROUTES: Final = 8
_SMOOTHING: Final = 0.06  # about the last thirty requests count


class RouteHoldTimes:
    """Smoothed times by route, of the routes that were used last."""

    def __init__(self) -> None:
        self._typical: OrderedDict[RouteName, dt.timedelta] = OrderedDict()
        self._samples: dict[RouteName, int] = {}

    def record(self, route: RouteName, spent: dt.timedelta) -> None:
        """Take in the time of one request."""
        samples = self._samples.get(route, 0) + 1
        self._samples[route] = samples
        typical = self._typical.get(route, spent)
        weight = max(_SMOOTHING, 1 / samples)
        self._typical[route] = typical + (spent - typical) * weight
        self._typical.move_to_end(route)
        if len(self._typical) > MAX_ROUTES:
            oldest, _ = self._typical.popitem(last=False)
            del self._samples[oldest]

    def read(self) -> dict[RouteName, dt.timedelta]:
        """Return the typical time of each route."""
        return dict(self._typical)

    def clear(self) -> None:
        """Forget all, since another server takes the place."""
        self._typical.clear()
        self._samples.clear()
