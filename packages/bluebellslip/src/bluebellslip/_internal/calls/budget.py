"""Retry budget: a fraction of the first attempts, with a small reserve."""

from typing import Final

RETRY_RATIO: Final = 0.1
RETRY_RESERVE: Final = 10.0


class RetryBudget:
    """Token bucket, filled by first attempts and drained by retries.

    Parameters
    ----------
    ratio
        Retries earned by one first attempt.
    reserve
        Capacity of the bucket in tokens; it starts full.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Number of retries available now."""
        return self._tokens

    def record_request(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def try_spend(self) -> bool:
        """Take a token for a retry and return whether there was one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
