"""Noticing that this node itself stood still."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock


class PauseDetector:
    """Compares the clocks from one tick to the next.

    Both clocks are watched, since one of them may stand still while the
    instance does.

    Parameters
    ----------
    clock
        Time.
    threshold
        Time between two ticks that counts as a pause.
    """

    def __init__(self, clock: Clock, threshold: dt.timedelta) -> None:
        self._clock = clock
        self._threshold = threshold
        self._last_elapsed = clock.elapsed()
        self._last_wall = clock.now()

    def check(self) -> bool:
        """Tell whether the node stood still since the last check."""
        elapsed = self._clock.elapsed()
        wall = self._clock.now()
        gap = max(elapsed - self._last_elapsed, wall - self._last_wall)
        self._last_elapsed = elapsed
        self._last_wall = wall
        return gap > self._threshold
