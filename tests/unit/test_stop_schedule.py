"""The steps of a stop, for any grace period.

The tests guard against a node with a short grace period that answers its last
requests too early, or accepts requests after that.
"""

import datetime as dt

import pytest

from bluebellslip._internal.nodes.stop_schedule import (
    STOP_MARGIN,
    StopSchedule,
)

_SECOND = dt.timedelta(seconds=1)
_ROUNDING = dt.timedelta(microseconds=1)
_grace_periods = pytest.mark.parametrize(
    'seconds', [0.5, 2, 3, 4, 5, 5.4, 6, 10, 60]
)


@_grace_periods
def test_cutoff_is_within_the_last_sixth_of_the_grace_period(
    seconds: float,
) -> None:
    grace_period = seconds * _SECOND
    schedule = StopSchedule.from_grace_period(grace_period)
    assert schedule.cutoff >= grace_period * 5 / 6 - _ROUNDING


@_grace_periods
def test_steps_of_a_stop_keep_their_order(seconds: float) -> None:
    schedule = StopSchedule.from_grace_period(seconds * _SECOND)
    steps = [
        dt.timedelta(),
        schedule.peers_refused,
        schedule.callers_refused,
        schedule.withdrawal,
        schedule.cutoff,
        schedule.end,
        schedule.end + schedule.linger,
        seconds * _SECOND,
    ]
    assert steps == sorted(set(steps))


def test_longer_grace_period_leaves_more_time_to_requests() -> None:
    schedule = StopSchedule.from_grace_period(20 * _SECOND)
    assert schedule.end == 20 * _SECOND - STOP_MARGIN
