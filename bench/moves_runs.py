"""Simulation of a move under a baseline strategy, and the record of a move."""

import dataclasses
import enum
import math
from typing import Final

from bench.moves_simulator import TICK_S, CallSimulator, InformationRate
from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.moves.windows import Window

DURATION_S: Final = 1800  # from a move's start to its deadline
WATCHED_AFTER_DEADLINE_S: Final = 600
DETECTABLE_NATS: Final = 4.6  # log(100): one false alarm in a hundred
RELIABLE_NATS: Final = 19.0  # one false alarm, one miss in a hundred
# Calls may reach the new version for this long after the decision to withdraw.
STOP_GRACE_S: Final = 3


@enum.unique
class Strategy(enum.Enum):
    """What decides on the new version's share of the calls."""

    POLICY = 'policy'
    RAMP = 'linear ramp'
    STEPS = 'fixed steps'


@dataclasses.dataclass(slots=True)
class MoveRecord:
    """Results of one move; times are seconds from the move's start.

    The move is done at ``done_s``. The decision to withdraw it falls at
    ``decided_s``, and the new version's share is zero again at
    ``withdrawn_s``. The defect affects calls from ``first_bad_calls_s`` on.
    ``bad_calls`` counts the new version's calls in ticks in which the defect
    affects at least one of its routes. ``detectable_s`` is the time of the
    first tick with bad calls in which an ideal observer has detected the
    defect or the decision has been made. ``early_share`` is ``bad_calls`` as
    a fraction of the service's calls, both counted until ``detectable_s``.
    ``late_calls`` counts the calls that reached the new version
    ``STOP_GRACE_S`` or more after the decision.
    """

    service: str
    failure_rate: float
    latency_factor: float
    is_detectable: bool
    done_s: float | None = None
    withdrawn_s: float | None = None
    decided_s: float | None = None
    detectable_s: float | None = None
    first_bad_calls_s: float | None = None
    bad_calls: int = 0
    calls: int = 0
    early_share: float = 0
    late_calls: int = 0
    broken_invariant: str = ''


class RunRecorder:
    """Records the calls of one run and the information they give."""

    def __init__(self, simulator: CallSimulator, record: MoveRecord) -> None:
        self._simulator = simulator
        self._record = record
        self._information_rate = InformationRate(simulator)
        self._collected_nats: float = 0

    def record_tick(
        self, time_s: float, share: int, old: Window, new: Window
    ) -> None:
        """Add the calls of one tick to the record."""
        record = self._record
        new_calls = sum(counts.calls for counts in new.values())
        record.calls += new_calls
        record.calls += sum(counts.calls for counts in old.values())
        is_bad = any(
            self._simulator.defect.affects_route(time_s, share, route)
            for route in new
        ) and (record.failure_rate > 0 or record.latency_factor > 1)
        if is_bad:
            record.bad_calls += new_calls
            if record.first_bad_calls_s is None:
                record.first_bad_calls_s = time_s
        if (
            record.decided_s is not None
            and time_s >= record.decided_s + STOP_GRACE_S
        ):
            record.late_calls += new_calls
        if record.detectable_s is None and is_bad:
            self._collected_nats += TICK_S * self._information_rate.compute(
                time_s, share
            )
            if (
                self._collected_nats >= DETECTABLE_NATS
                or record.decided_s is not None
            ):
                record.detectable_s = time_s
                record.early_share = record.bad_calls / max(record.calls, 1)


def is_detectable_in_time(simulator: CallSimulator) -> bool:
    """Return whether an ideal test could withdraw the version by the deadline.

    If the log-likelihood ratio of a fixed count of calls has a mean of ``n``
    nats, its variance is about ``2 n``. The threshold ``log(100)`` allows one
    false alarm in a hundred; to reach it in 99 of 100 runs, the mean has to be
    19 nats. The share is assumed to be the most informative one at all times.
    """
    information_rate = InformationRate(simulator)
    begin_s = math.ceil(simulator.defect.onset_s)
    observed_s = DURATION_S - begin_s
    if simulator.defect.min_share:
        observed_s //= 2  # the share has to rise to min_share first
    return (
        observed_s * information_rate.compute_maximum(begin_s) >= RELIABLE_NATS
    )


def run_ramp(simulator: CallSimulator, record: MoveRecord) -> None:
    """Raise the share linearly, whatever the outcomes of the calls."""
    recorder = RunRecorder(simulator, record)
    full_share_s = 0.9 * DURATION_S
    for time_s in range(0, DURATION_S, TICK_S):
        share = min(FULL_SHARE, int(FULL_SHARE * time_s / full_share_s))
        if share == FULL_SHARE and record.done_s is None:
            record.done_s = time_s
        recorder.record_tick(
            time_s, share, *simulator.draw_windows(time_s, share)
        )


def run_steps(simulator: CallSimulator, record: MoveRecord) -> None:
    """Raise the share by fixed steps; withdraw if over 5 % of calls fail.

    The failure rate is taken over the new version's calls in the last 30
    ticks; nothing is withdrawn on fewer than 20 calls.
    """
    shares = (500, 1000, 2500, 5000, 7500, FULL_SHARE)
    step_s = 0.9 * DURATION_S / (len(shares) - 1)
    recorder = RunRecorder(simulator, record)
    recent_counts: list[tuple[int, int]] = []
    for time_s in range(0, DURATION_S, TICK_S):
        step = min(int(time_s / step_s), len(shares) - 1)
        share = shares[step] if record.withdrawn_s is None else 0
        if share == FULL_SHARE and record.done_s is None:
            record.done_s = time_s
        old, new = simulator.draw_windows(time_s, share)
        recorder.record_tick(time_s, share, old, new)
        recent_counts.append((
            sum(counts.calls for counts in new.values()),
            sum(counts.failures for counts in new.values()),
        ))
        recent_counts = recent_counts[-30:]
        calls = sum(pair[0] for pair in recent_counts)
        failures = sum(pair[1] for pair in recent_counts)
        if calls >= 20 and failures > 0.05 * calls and share:
            record.decided_s = time_s + TICK_S
            record.withdrawn_s = record.decided_s
