"""Runs a node of a soak whose time of day is set at planned moments.

Run as ``python -m bench.soak_clock`` with the steps in ``SOAK_CLOCK_STEPS``:
pairs of seconds since the start and offset in seconds, such as ``0:-60,4:5``.
The steady clock is not changed.
"""

import datetime as dt
import os
import time
from collections.abc import Sequence
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip_platform.entry import main

STEPS_VARIABLE: Final = 'SOAK_CLOCK_STEPS'
# Offsets of the time of day, in seconds.
_OFFSETS: Final = (-3600, -60, -2, 0, 2, 60)
_MAX_STEPS: Final = 4
_LATEST_STEP_S: Final = 20
_NS_PER_S: Final = 1_000_000_000

Steps = Sequence[tuple[float, float]]


def choose_steps(random_source: Random) -> str:
    """Return random steps of one process, the first at its start."""
    steps: list[tuple[float, int]] = [(0, random_source.choice(_OFFSETS))]
    for _ in range(random_source.randrange(_MAX_STEPS)):
        at_s = round(random_source.uniform(0, _LATEST_STEP_S), 1)
        steps.append((at_s, random_source.choice(_OFFSETS)))
    return ','.join(f'{at_s}:{offset_s}' for at_s, offset_s in sorted(steps))


def parse_steps(text: str) -> Steps:
    """Parse the text of ``choose_steps``."""
    pairs = (step.partition(':') for step in text.split(','))
    return [(float(at_s), float(offset_s)) for at_s, _, offset_s in pairs]


class SteppedTime:
    """The time of day with an offset that changes at planned moments."""

    def __init__(self, steps: Steps) -> None:
        self._steps = steps
        self._begun = time.monotonic()
        self._read_ns = time.time_ns

    def read_ns(self) -> int:
        """Return the time of day in nanoseconds since 1970."""
        age_s = time.monotonic() - self._begun
        offset_s = [offset for at_s, offset in self._steps if at_s <= age_s][-1]
        return self._read_ns() + int(offset_s * _NS_PER_S)

    def install(self) -> None:
        """Replace the time of day of this process."""
        time.time_ns = self.read_ns
        time.time = lambda: self.read_ns() / _NS_PER_S
        SystemClock.now = _read_time_of_day  # type: ignore[assignment,method-assign]


def _read_time_of_day(clock: SystemClock) -> dt.datetime:
    return dt.datetime.fromtimestamp(time.time(), dt.UTC)


if __name__ == '__main__':
    SteppedTime(parse_steps(os.environ[STEPS_VARIABLE])).install()
    main()
