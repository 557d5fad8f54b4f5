"""How large the answers of each route are, for what a crossing costs."""

from collections import OrderedDict
from typing import Final

from bluebellslip._internal.models.identity import RouteName

# Heads of a request and its answer between two nodes, in bytes.
HEADERS_BYTES: Final = 1024
# Assumed body of an answer of a route that has had none yet, in bytes.
DEFAULT_BODY_BYTES: Final = 1024
# Routes that are remembered.
MAX_ROUTES: Final = 64
_SMOOTHING: Final = 0.1  # about the last twenty answers count


class ResponseSizes:
    """Smoothed sizes of answers by route."""

    def __init__(self) -> None:
        self._bodies: OrderedDict[RouteName, float] = OrderedDict()

    def record(self, route: RouteName, body_bytes: int) -> None:
        """Take in the size of one answer's body."""
        known = self._bodies.get(route, body_bytes)
        self._bodies[route] = known + (body_bytes - known) * _SMOOTHING
        self._bodies.move_to_end(route)
        if len(self._bodies) > MAX_ROUTES:
            self._bodies.popitem(last=False)

    def estimate(self, route: RouteName) -> float:
        """Return the bytes of a request without body and its answer."""
        return HEADERS_BYTES + self._bodies.get(route, DEFAULT_BODY_BYTES)
