"""Delays between retries."""

import datetime as dt
from random import Random
from typing import Final

_MIN_JITTER_FACTOR: Final = 0.5


class FullJitter:
    """Random delays up to a bound that doubles with every failure.

    Parameters
    ----------
    random
        Source of randomness.
    initial
        Bound of the first delay.
    maximum
        Largest bound.
    """

    def __init__(
        self, random: Random, initial: dt.timedelta, maximum: dt.timedelta
    ) -> None:
        self._random = random
        self._initial = initial
        self._maximum = maximum
        self._bound = initial

    def next_wait(self) -> dt.timedelta:
        """Return the next delay, and raise the bound of the one after it."""
        wait = self._bound * self._random.random()
        self._bound = min(self._maximum, self._bound * 2)
        return wait

    def reset(self) -> None:
        """Start again from the first bound after a success."""
        self._bound = self._initial


def jitter(period: dt.timedelta, random: Random) -> dt.timedelta:
    """Return a random delay of 0.5 to 1.5 times a period."""
    return period * (_MIN_JITTER_FACTOR + random.random())
