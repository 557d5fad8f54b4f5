"""Waiting times between retries."""

import datetime as dt
from random import Random
from typing import Final

_LEAST_JITTER: Final = 0.5


class FullJitter:
    """Waits between zero and a bound that doubles with every failure.

    Parameters
    ----------
    random
        Source of randomness.
    first
        Bound of the first wait.
    most
        Greatest bound.
    """

    def __init__(
        self, random: Random, first: dt.timedelta, most: dt.timedelta
    ) -> None:
        self._random = random
        self._first = first
        self._most = most
        self._bound = first

    def next_wait(self) -> dt.timedelta:
        """Return how long to wait after one more failure."""
        wait = self._bound * self._random.random()
        self._bound = min(self._most, self._bound * 2)
        return wait

    def reset(self) -> None:
        """Begin anew after a success."""
        self._bound = self._first


def jitter(period: dt.timedelta, random: Random) -> dt.timedelta:
    """Return a wait between half and one and a half of a period."""
    return period * (_LEAST_JITTER + random.random())
