"""Noticing that this node itself stood still."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock


class PauseWatch:
    """Compares the clocks from one tick to the next.

    Both clocks are watched, since one of them may stand still while the
    instance does.

    Parameters
    ----------
    clock
        Time.
    limit
        Time between two ticks that counts as a pause.
    """

    def __init__(self, clock: Clock, limit: dt.timedelta) -> None:
        self._clock = clock
        self._limit = limit
        self._elapsed = clock.elapsed()
        self._wall = clock.now()

    def check(self) -> bool:
        """Tell whether the node stood still since the last check."""
        elapsed = self._clock.elapsed()
        wall = self._clock.now()
        gap = max(elapsed - self._elapsed, wall - self._wall)
        self._elapsed = elapsed
        self._wall = wall
        return gap > self._limit
