"""One move under a baseline, and what is recorded of every move."""

import dataclasses
import enum
import math
from typing import Final

from bench.moves_world import TICK_S, Information, World
from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.moves.windows import Window

DURATION_S: Final = 1800  # from a move's start to its deadline
AFTER_S: Final = 600  # watched beyond the deadline
SHOWS: Final = 4.6  # nats from which badness is detectable
SURE: Final = 19.0  # nats for both kinds of error at one in a hundred
GRACE_S: Final = 3  # from the decision until no call may reach the version


@enum.unique
class Driver(enum.Enum):
    """Who moves the calls."""

    POLICY = 'policy'
    RAMP = 'linear ramp'
    STEPS = 'fixed steps'


@dataclasses.dataclass(slots=True)
class Record:
    """What came of one move; times are seconds from the move's start.

    ``early`` is the part of the service's calls that the bad version got
    before its badness could be seen by an ideal observer.
    """

    service: str
    failing: float
    slower: float
    possible: bool
    done_s: float | None = None
    back_s: float | None = None
    decided_s: float | None = None
    shown_s: float | None = None
    bad_from_s: float | None = None
    bad_calls: int = 0
    calls: int = 0
    early: float = 0
    late_calls: int = 0
    broken: str = ''


class Meter:
    """Counts calls and information of one run."""

    def __init__(self, world: World, record: Record) -> None:
        self._world = world
        self._record = record
        self._information = Information(world)
        self._nats: float = 0

    def count(
        self, time_s: float, share: int, old: Window, new: Window
    ) -> None:
        """Take in one tick."""
        record = self._record
        new_calls = sum(counts.calls for counts in new.values())
        record.calls += new_calls
        record.calls += sum(counts.calls for counts in old.values())
        is_bad = any(
            self._world.badness.is_active(time_s, share, route) for route in new
        ) and (record.failing > 0 or record.slower > 1)
        if is_bad:
            record.bad_calls += new_calls
            if record.bad_from_s is None:
                record.bad_from_s = time_s
        if (
            record.decided_s is not None
            and time_s >= record.decided_s + GRACE_S
        ):
            record.late_calls += new_calls
        if record.shown_s is None and is_bad:
            self._nats += TICK_S * self._information.rate(time_s, share)
            if self._nats >= SHOWS or record.decided_s is not None:
                record.shown_s = time_s
                record.early = record.bad_calls / max(record.calls, 1)


def is_possible(world: World) -> bool:
    """Tell whether any test could take the version back by the deadline.

    A fixed count of calls whose log likelihood ratio has a mean of ``n`` nats
    has a variance of about ``2 n``; to reach ``log(100)``, one false alarm in
    a hundred, in 99 of 100 runs takes 19 nats. The share is taken to be the
    most telling one at all times.
    """
    information = Information(world)
    begin = math.ceil(world.badness.after_s)
    seconds = DURATION_S - begin
    if world.badness.above:
        seconds //= 2  # the share must have risen
    return seconds * information.best_rate(begin) >= SURE


def run_ramp(world: World, record: Record) -> None:
    """Raise the share evenly, whatever the calls show."""
    meter = Meter(world, record)
    finish = 0.9 * DURATION_S
    for time_s in range(0, DURATION_S, TICK_S):
        share = min(FULL_SHARE, int(FULL_SHARE * time_s / finish))
        if share == FULL_SHARE and record.done_s is None:
            record.done_s = time_s
        meter.count(time_s, share, *world.draw(time_s, share))


def run_steps(world: World, record: Record) -> None:
    """Raise the share by fixed steps while few calls fail."""
    shares = (500, 1000, 2500, 5000, 7500, FULL_SHARE)
    step_s = 0.9 * DURATION_S / (len(shares) - 1)
    meter = Meter(world, record)
    recent: list[tuple[int, int]] = []
    for time_s in range(0, DURATION_S, TICK_S):
        step = min(int(time_s / step_s), len(shares) - 1)
        share = shares[step] if record.back_s is None else 0
        if share == FULL_SHARE and record.done_s is None:
            record.done_s = time_s
        old, new = world.draw(time_s, share)
        meter.count(time_s, share, old, new)
        recent.append((
            sum(counts.calls for counts in new.values()),
            sum(counts.failures for counts in new.values()),
        ))
        recent = recent[-30:]
        calls = sum(pair[0] for pair in recent)
        failures = sum(pair[1] for pair in recent)
        if calls >= 20 and failures > 0.05 * calls and share:
            record.decided_s = time_s + TICK_S
            record.back_s = record.decided_s
