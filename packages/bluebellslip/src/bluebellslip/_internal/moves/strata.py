"""Strata: calls of both versions from one period of time."""

import math
from typing import Final

from bluebellslip._internal.moves.outcome_counts import OutcomeCounts

TARGET_WEIGHT: Final = 3.0  # half the harmonic mean of both versions' calls
MAX_WINDOWS: Final = 600
INITIAL_WINDOWS: Final = 4
MAX_GROWTH: Final = 4  # of the length, from one stratum to the next


class OpenStratum:
    """A stratum of one route that still collects calls.

    Its length in windows is fixed when it begins. If its end depended on the
    calls that it collects, the test would be biased whenever an overload
    begins, in favour of the version whose calls are awaited.

    Parameters
    ----------
    length
        Number of windows in the stratum; windows in which the route has no
        outcome do not count.
    """

    __slots__ = ('_length', '_windows', 'new', 'old')

    def __init__(self, length: int = INITIAL_WINDOWS) -> None:
        self.old = OutcomeCounts()
        self.new = OutcomeCounts()
        self._length = length
        self._windows = 0

    @property
    def is_complete(self) -> bool:
        """Whether the stratum is ready to be evaluated."""
        return self._windows >= self._length

    def add(self, old: OutcomeCounts | None, new: OutcomeCounts | None) -> None:
        """Add one window."""
        self._windows += 1
        if old is not None:
            self.old.add(old)
        if new is not None:
            self.new.add(new)

    def make_next(self) -> 'OpenStratum':
        """Return the next stratum, sized to reach the target weight."""
        old = self.old.calls + self.old.refused
        new = self.new.calls + self.new.refused
        weight = old * new / max(old + new, 1)
        growth: float = MAX_GROWTH
        if weight > 0:
            growth = min(MAX_GROWTH, TARGET_WEIGHT / weight)
        length = math.ceil(max(self._windows, 1) * growth)
        return OpenStratum(min(length, MAX_WINDOWS))
