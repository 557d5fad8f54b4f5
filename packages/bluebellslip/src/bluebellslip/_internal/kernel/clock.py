"""Time, passed in as an interface."""

import datetime as dt
import time
from typing import Final, Protocol

_EPOCH: Final = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class Clock(Protocol):
    """Source of time."""

    def now(self) -> dt.datetime:
        """Return the wall clock, aware, in UTC."""

    def elapsed(self) -> dt.timedelta:
        """Return the time since an arbitrary start; it never goes back."""


class SystemClock:
    """The instance's own clocks."""

    def now(self) -> dt.datetime:
        """Return the wall clock, aware, in UTC."""
        return dt.datetime.now(dt.UTC)

    def elapsed(self) -> dt.timedelta:
        """Return the time since an arbitrary start; it never goes back."""
        return dt.timedelta(microseconds=time.monotonic_ns() // 1000)


class ManualClock:
    """A clock that stands still until it is moved."""

    def __init__(self, start: dt.datetime = _EPOCH) -> None:
        self._start = start
        self._elapsed = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall clock, aware, in UTC."""
        return self._start + self._elapsed

    def elapsed(self) -> dt.timedelta:
        """Return the time since the clock was made."""
        return self._elapsed

    def advance(self, step: dt.timedelta) -> None:
        """Move the clock on."""
        self._elapsed += step
