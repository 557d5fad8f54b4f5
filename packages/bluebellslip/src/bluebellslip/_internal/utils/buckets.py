"""Token buckets."""

import datetime as dt

from bluebellslip._internal.kernel.clock import Clock


class TokenBucket:
    """A token bucket: limits a rate and allows bursts.

    Parameters
    ----------
    clock
        Source of time.
    rate
        Tokens that are added per second.
    burst
        Capacity of the bucket in tokens; it starts full.
    """

    def __init__(self, clock: Clock, rate: float, burst: float) -> None:
        self._clock = clock
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = clock.elapsed()

    def take(self, amount: float = 1) -> bool:
        """Take tokens if enough are available, and return whether they were."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    def compute_wait(self, amount: float = 1) -> dt.timedelta:
        """Return the time until enough tokens are available."""
        self._refill()
        missing = max(0, amount - self._tokens)
        return dt.timedelta(seconds=missing / self._rate)

    def _refill(self) -> None:
        now = self._clock.elapsed()
        added = (now - self._refilled_at).total_seconds() * self._rate
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now
