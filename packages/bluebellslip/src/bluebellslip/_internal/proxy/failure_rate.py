"""The share of a server's latest responses that were failures or refusals.

Handles servers that refuse requests although they have free slots: such a
server's load falls, so it would be chosen again and again. A server that other
nodes avoid for its failures gets too few requests to show that it has
recovered, so the rate also falls with time.
"""

import datetime as dt
import math
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

# Weight of the newest outcome; averages about the last thirty outcomes.
_SMOOTHING: Final = 0.06
_HALF_LIFE: Final = dt.timedelta(seconds=4)


class FailureRate:
    """Smoothed share of failures among the latest outcomes.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float = 0
        self._recorded_at = clock.elapsed()

    @property
    def value(self) -> float:
        """The rate, from 0 to 1."""
        idle = self._clock.elapsed() - self._recorded_at
        return self._rate * math.pow(0.5, idle / _HALF_LIFE)

    def record(self, *, failed: bool) -> None:
        """Record one outcome."""
        rate = self.value
        self._rate = rate + (failed - rate) * _SMOOTHING
        self._recorded_at = self._clock.elapsed()

    def clear(self) -> None:
        """Forget all outcomes when the server restarts or is replaced."""
        self._rate = 0
