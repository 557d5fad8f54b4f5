"""A budget of retries: a share of first attempts, with a small reserve."""

from typing import Final

RETRY_RATIO: Final = 0.1
RETRY_RESERVE: Final = 10.0


class RetryBudget:
    """Tokens that first attempts earn and retries spend.

    Parameters
    ----------
    share
        Retries earned by one first attempt.
    reserve
        Most tokens that are kept, and those at the start.
    """

    def __init__(
        self, ratio: float = RETRY_RATIO, reserve: float = RETRY_RESERVE
    ) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._tokens = reserve

    @property
    def tokens(self) -> float:
        """Retries that may be made now."""
        return self._tokens

    def earn(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def spend(self) -> bool:
        """Take a retry, if one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
