"""How much slower than usual the local server says that it is.

Handles machines that are some 2.5 times slower for about 600 ms at a time: the
mean of the measured hold times follows only after ten requests. The node beside
the server uses the latest report at once; other nodes get the mean, since their
reports are older than such a phase lasts.
"""

import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

_PERCENT: Final = 100
# Reports outside of these bounds, in percent, are no valid reports.
_VALID: Final = range(10, 2001)
# A report counts less and less until this age. Slow phases last some 600 ms,
# and a server without requests reports nothing.
MAX_AGE: Final = dt.timedelta(milliseconds=600)


class ServerSlowness:
    """The latest report of the local server's slowness.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported: float = 1
        self._reported_at = -MAX_AGE

    def read(self) -> float:
        """Return the factor by which requests take longer than usual now."""
        age = self._clock.elapsed() - self._reported_at
        if age >= MAX_AGE:
            return 1
        return 1 + (self._reported - 1) * (1 - age / MAX_AGE)

    def record(self, percent: int | None) -> None:
        """Take over a report; none or an invalid one changes nothing."""
        if percent in _VALID and percent is not None:
            self._reported = percent / _PERCENT
            self._reported_at = self._clock.elapsed()

    def begin_lifetime(self) -> None:
        """Forget what an earlier lifetime has reported."""
        self._reported_at = -MAX_AGE
