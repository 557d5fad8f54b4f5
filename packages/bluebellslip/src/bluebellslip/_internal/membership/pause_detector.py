"""Detection of pauses of this node itself."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock


class PauseDetector:
    """Detects pauses by the time that passes between two ticks.

    Both the monotonic and the wall clock are read, since one of them may stop
    while the instance is suspended.

    Parameters
    ----------
    clock
        The node's clock.
    threshold
        Longest time between two ticks that does not count as a pause.
    """

    def __init__(self, clock: Clock, threshold: dt.timedelta) -> None:
        self._clock = clock
        self._threshold = threshold
        self._last_elapsed = clock.elapsed()
        self._last_wall = clock.now()

    def check(self) -> bool:
        """Return whether the node was paused since the last check."""
        elapsed = self._clock.elapsed()
        wall = self._clock.now()
        gap = max(elapsed - self._last_elapsed, wall - self._last_wall)
        self._last_elapsed = elapsed
        self._last_wall = wall
        return gap > self._threshold
