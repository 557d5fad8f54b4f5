"""How long a request holds a slot of the local server."""

import datetime as dt
from collections.abc import Callable
from typing import Final

_INITIAL_SERVICE_TIME: Final = dt.timedelta(milliseconds=5)
_MIN_SAMPLE_WEIGHT: Final = 0.1


class ServiceTimeEstimate:
    """Moving average of the time that a request holds its slot.

    ``average`` is the time that requests took, ``usual`` the time that they
    would have taken had the server reported no slowness.
    """

    def __init__(self) -> None:
        self.average = _INITIAL_SERVICE_TIME
        self.usual = _INITIAL_SERVICE_TIME
        self._read_slowness: Callable[[], float] = _read_no_slowness
        self._sample_count = 0

    @property
    def current(self) -> dt.timedelta:
        """Time that a request is expected to hold its slot now."""
        return self.usual * self._read_slowness()

    def follow(self, read_slowness: Callable[[], float]) -> None:
        """Use the slowness that the server reports, 1 if it is as usual."""
        self._read_slowness = read_slowness

    def record(self, held: dt.timedelta) -> None:
        """Add the time that one request held its slot."""
        self._sample_count += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self._sample_count)
        self.average += (held - self.average) * weight
        usual = held / self._read_slowness()
        self.usual += (usual - self.usual) * weight

    def estimate_wait(self, ahead: int, slots: int) -> dt.timedelta:
        """Return the expected wait behind ``ahead`` queued requests."""
        return self.current * ((ahead + 1) / max(1, slots))


def _read_no_slowness() -> float:
    """Return that the server is as fast as usual: it reports nothing."""
    return 1
