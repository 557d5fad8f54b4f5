"""The memory of the process as the operating system counts it.

The account of bytes is an estimate, and the process is ended by its resident
memory. So the level of the shortage follows both: memory that no holder counts
is bounded as well.
"""

import contextlib
import datetime as dt
import gc
import logging
import os
from typing import Final, Protocol, Self

from bluebellslip._internal.calls.memory_levels import (
    Level,
    find_level,
    find_start,
)
from bluebellslip._internal.kernel.clock import Clock

logger = logging.getLogger(__name__)

_STATM_PATH: Final = '/proc/self/statm'
_STATM_BYTES: Final = 128
_RESIDENT_FIELD: Final = 1
# The rest of the instance's memory is for what arrives between two readings.
_USABLE_PERCENT: Final = 90
_PERCENT: Final = 100
# Most of the memory that counts as the process's own. Otherwise memory of
# callers that no holder counts would pass for it without a bound.
_MAX_BASE_PERCENT: Final = 60
# Input after which the memory is read again.
_READING_BYTES: Final = 1 << 20
# Freeing memory costs tens of milliseconds with many connections, so it waits
# longer after a time that freed little.
_RECLAIM_INTERVAL: Final = dt.timedelta(seconds=1)
_FRUITLESS_INTERVAL: Final = dt.timedelta(seconds=10)
_LITTLE_BYTES: Final = 1 << 20
# Connections that are closed release their memory in the next turns of the
# event loop, so the effect shows later.
_CLOSING_INTERVAL: Final = dt.timedelta(milliseconds=100)


class ProcessMemory(Protocol):
    """Resident memory of this process."""

    def read(self) -> int | None:
        """Return the bytes, or None if the system doesn't tell."""

    def reclaim(self) -> None:
        """Return freed memory to the system."""


class LinuxProcessMemory:
    """Resident memory as ``/proc`` shows it."""

    def __init__(self) -> None:
        self._descriptor: int | None = None
        self._page_bytes = os.sysconf('SC_PAGE_SIZE')
        try:
            self._descriptor = os.open(_STATM_PATH, os.O_RDONLY)
        except OSError as error:
            logger.warning(
                'resident_memory_unknown', extra={'reason': str(error)}
            )

    def read(self) -> int | None:
        """Return the bytes, or None if the system doesn't tell."""
        if self._descriptor is None:
            return None
        try:
            text = os.pread(self._descriptor, _STATM_BYTES, 0)
            return int(text.split()[_RESIDENT_FIELD]) * self._page_bytes
        except (OSError, ValueError, IndexError):
            return None

    def reclaim(self) -> None:
        """Return freed memory to the system, as far as its library can."""
        gc.collect()
        with contextlib.suppress(ImportError, OSError, AttributeError):
            # Few nodes ever get here, and the module takes a megabyte.
            import ctypes

            ctypes.CDLL(None).malloc_trim(0)


class ResidentMonitor(Protocol):
    """How short memory is by the resident memory of the process."""

    level: Level

    @property
    def resident(self) -> int:
        """Resident memory at the latest reading, in bytes."""

    def record_input(self, size: int) -> bool:
        """Count bytes that arrived; return whether to read the memory again."""

    def update(self, explained: int) -> None:
        """Read the memory and find the level.

        Parameters
        ----------
        explained
            Most bytes that what callers hold can take.
        """

    def find_excess(self) -> int:
        """Return the bytes that connections are to be closed for now."""


class UnlimitedMonitor:
    """Finds no shortage."""

    level = Level.NORMAL
    resident = 0

    def record_input(self, size: int) -> bool:
        """Return that there is no need to read the memory."""
        return False

    def update(self, explained: int) -> None:
        """Do nothing."""

    def find_excess(self) -> int:
        """Return that none are to be closed."""
        return 0


class ProcessMonitor:
    """Finds how short memory is by the resident memory of the process.

    What the process takes without callers is not counted: it is the least
    memory that was read, or later what is left, after freed memory was
    returned, beyond all that callers can explain, up to a part of the
    instance's memory. So memory that stays high for another reason refuses
    nobody for ever.

    Parameters
    ----------
    process
        The process.
    size
        Memory of the instance in bytes.
    clock
        Clock of the intervals.
    """

    def __init__(self, process: ProcessMemory, size: int, clock: Clock) -> None:
        self._process = process
        self._size = size
        self._clock = clock
        self._max_base = size * _MAX_BASE_PERCENT // _PERCENT
        self._base = self._max_base
        self._unread_bytes = 0
        self._resident = 0
        self._next_reclaim = dt.timedelta()
        self._closed_at = -_CLOSING_INTERVAL
        self.level = Level.NORMAL

    @classmethod
    def from_system(cls, size: int, clock: Clock) -> Self:
        """Build the monitor of this process."""
        return cls(LinuxProcessMemory(), size, clock)

    @property
    def resident(self) -> int:
        """Resident memory at the latest reading, in bytes."""
        return self._resident

    def record_input(self, size: int) -> bool:
        """Count bytes that arrived; return whether to read the memory again."""
        self._unread_bytes += size
        return self._unread_bytes >= _READING_BYTES

    def update(self, explained: int) -> None:
        """Read the memory and find the level.

        Parameters
        ----------
        explained
            Most bytes that what callers hold can take.
        """
        self._unread_bytes = 0
        self._read()
        now = self._clock.elapsed()
        if self.level > Level.NORMAL and now >= self._next_reclaim:
            self._reclaim(now)
            self._raise_base(self._resident - explained)
            self._find_level()

    def find_excess(self) -> int:
        """Return the bytes that connections are to be closed for now.

        These are the bytes above the level at which bodies are accepted again;
        0 until the effect of earlier closures shows.
        """
        now = self._clock.elapsed()
        is_early = now - self._closed_at < _CLOSING_INTERVAL
        if is_early or self.level < Level.CLOSING:
            return 0
        self._closed_at = now
        used = self._resident - self._base
        return used - find_start(Level.NO_NEW_BODIES, self._room)

    @property
    def _room(self) -> int:
        return self._size * _USABLE_PERCENT // _PERCENT - self._base

    def _raise_base(self, unexplained: int) -> None:
        self._base = max(self._base, min(unexplained, self._max_base))

    def _read(self) -> None:
        resident = self._process.read()
        if resident is None:
            return
        self._resident = resident
        self._base = min(self._base, resident)
        self._find_level()

    def _find_level(self) -> None:
        used = self._resident - self._base
        self.level = find_level(self.level, used, self._room)

    def _reclaim(self, now: dt.timedelta) -> None:
        before = self._resident
        self._process.reclaim()
        self._read()
        interval = _RECLAIM_INTERVAL
        if before - self._resident < _LITTLE_BYTES:
            interval = _FRUITLESS_INTERVAL
        self._next_reclaim = now + interval
