"""Sizes of responses by route, to estimate the cost of remote servers."""

from collections import OrderedDict
from typing import Final

from bluebellslip._internal.models.identity import RouteName

# Assumed size of the headers of a request and of its response together.
HEADERS_BYTES: Final = 1024
# Assumed size of a response body for a route without samples.
DEFAULT_BODY_BYTES: Final = 1024
# Routes with samples kept; the least recently used one is evicted.
MAX_ROUTES: Final = 64
_SMOOTHING: Final = 0.1  # averages about the last twenty responses


class ResponseSizes:
    """Exponentially smoothed sizes of response bodies by route."""

    def __init__(self) -> None:
        self._bodies: OrderedDict[RouteName, float] = OrderedDict()

    def record(self, route: RouteName, body_bytes: int) -> None:
        """Record the size of one response body."""
        known = self._bodies.get(route, body_bytes)
        self._bodies[route] = known + (body_bytes - known) * _SMOOTHING
        self._bodies.move_to_end(route)
        if len(self._bodies) > MAX_ROUTES:
            self._bodies.popitem(last=False)

    def estimate(self, route: RouteName) -> float:
        """Return the expected bytes of a response body and of all headers."""
        return HEADERS_BYTES + self._bodies.get(route, DEFAULT_BODY_BYTES)
