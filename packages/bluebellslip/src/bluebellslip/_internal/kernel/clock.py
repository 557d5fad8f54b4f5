"""Sources of time, injected through an interface."""

import datetime as dt
import time
from typing import Final, Protocol

_EPOCH: Final = dt.datetime(2026, 1, 1, tzinfo=dt.UTC)


class Clock(Protocol):
    """Source of time."""

    def now(self) -> dt.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""

    def elapsed(self) -> dt.timedelta:
        """Return the monotonic time since an arbitrary start."""


class SuspendAwareClock(Protocol):
    """Steady time that goes on while the instance is suspended."""

    def since_boot(self) -> dt.timedelta:
        """Return the time since an arbitrary start, suspension included."""


class SystemClock:
    """The clocks of the operating system."""

    def now(self) -> dt.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return dt.datetime.now(dt.UTC)

    def elapsed(self) -> dt.timedelta:
        """Return the monotonic time since an arbitrary start."""
        return dt.timedelta(microseconds=time.monotonic_ns() // 1000)

    def since_boot(self) -> dt.timedelta:
        """Return the time since an arbitrary start, suspension included."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return dt.timedelta(microseconds=nanoseconds // 1000)


class ManualClock:
    """A clock that advances only by calls of ``advance`` and ``suspend``."""

    def __init__(self, start: dt.datetime = _EPOCH) -> None:
        self._start = start
        self._elapsed = dt.timedelta()
        self._suspended = dt.timedelta()

    def now(self) -> dt.datetime:
        """Return the wall-clock time as an aware datetime in UTC."""
        return self._start + self.since_boot()

    def elapsed(self) -> dt.timedelta:
        """Return the time by which the clock was advanced."""
        return self._elapsed

    def since_boot(self) -> dt.timedelta:
        """Return the time by which the clock was advanced or suspended."""
        return self._elapsed + self._suspended

    def advance(self, step: dt.timedelta) -> None:
        """Advance the clock by a step."""
        self._elapsed += step

    def suspend(self, step: dt.timedelta) -> None:
        """Suspend the instance for a time."""
        self._suspended += step
