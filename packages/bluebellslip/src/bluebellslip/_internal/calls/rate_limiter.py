"""Paces requests to a server that limits how many it takes a second.

Handles a server in need that names a lower and lower limit, or none again: the
limit counts from the moment at which it is known, without a burst.
"""

import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

# Requests that may start at once after a pause, as the time in which the limit
# allows as many; at least one.
BURST_TIME: Final = dt.timedelta(milliseconds=100)
# A server whose limit is lower still gets a request now and then, since only
# its responses tell that the limit has ended. In requests a second.
MIN_RATE: Final = 0.5


class RateLimiter:
    """A token bucket that is empty when a limit begins.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate: float | None = None
        self._tokens: float = 0
        self._updated_at = clock.elapsed()

    @property
    def rate(self) -> float | None:
        """Requests that may start a second; none without a limit."""
        return self._rate

    @property
    def allows_start(self) -> bool:
        """Whether a request may start now."""
        return not self.estimate_wait(0)

    @property
    def _burst(self) -> float:
        if self._rate is None:
            return 0
        return max(1, self._rate * BURST_TIME.total_seconds())

    def apply(self, rate: float | None) -> None:
        """Set the limit in requests a second; none removes it."""
        self._refill()
        if rate is None or self._rate is None:
            self._tokens = 0
        self._rate = None if rate is None else max(rate, MIN_RATE)
        self._tokens = min(self._tokens, self._burst)

    def start(self) -> None:
        """Count a request that starts now."""
        self._refill()
        self._tokens -= 1

    def estimate_wait(self, ahead: int) -> dt.timedelta:
        """Return the time until a request may start.

        Parameters
        ----------
        ahead
            Number of requests that start before it.
        """
        if self._rate is None:
            return dt.timedelta()
        self._refill()
        missing = max(0, ahead + 1 - self._tokens)
        return dt.timedelta(seconds=missing / self._rate)

    def _refill(self) -> None:
        now = self._clock.elapsed()
        if self._rate is not None:
            elapsed = (now - self._updated_at).total_seconds()
            self._tokens = min(self._burst, self._tokens + elapsed * self._rate)
        self._updated_at = now
