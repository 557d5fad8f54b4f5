"""Ages and deadlines on a node whose time of day is set meanwhile.

Guards against a roll-out that ends early or never, a cold server that gets a
full load, and requests that are cut off or kept too long.
"""

import asyncio
import datetime as dt

import pytest

from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.models.identity import NodeId, VersionName
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.models.rollouts import RolloutOrder
from bluebellslip._internal.proxy.request_cutoffs import RequestCutoffs
from bluebellslip._internal.proxy.retry_budget import RetryPurpose
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets
from bluebellslip._internal.rollouts.outcome_counts import WINDOW_LENGTH
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from lib.fleet import (
    ORDERS,
    SECOND,
    SERVER_ADDRESS,
    make_beacon,
    make_heartbeat,
    make_server_beacon,
)
from lib.proxy_requests import make_routed_request
from lib.stepped_clock import SteppedClock

_STEPS = pytest.mark.parametrize(
    'step',
    [-3600 * SECOND, -2 * SECOND, 2 * SECOND, 3600 * SECOND],
    ids=lambda step: f'{step.total_seconds():+.0f} s',
)


def pass_time(clock: SteppedClock, step: dt.timedelta, seconds: float) -> None:
    """Set the time of day halfway through."""
    clock.advance(SECOND * seconds / 2)
    clock.step += step
    clock.advance(SECOND * seconds / 2)


@_STEPS
def test_age_of_an_order_is_the_time_that_has_passed(
    step: dt.timedelta,
) -> None:
    clock = SteppedClock()
    tracker = RolloutTracker(clock, NodeId('me'), 1, 0.1, lambda service: ())
    order = RolloutOrder(ORDERS, VersionName('v2'), 15 * SECOND, 7)
    rollout = tracker.add_order(order, 3 * SECOND)
    pass_time(clock, step, 4)
    assert tracker.snapshot(rollout).age == 7 * SECOND


@_STEPS
def test_windows_of_a_canary_keep_their_length(step: dt.timedelta) -> None:
    clock = SteppedClock()
    tracker = RolloutTracker(clock, NodeId('me'), 1, 0.1, lambda service: ())
    order = RolloutOrder(ORDERS, VersionName('v2'), 15 * SECOND, 7)
    counts = tracker.add_order(order, dt.timedelta()).counts
    counts.list_windows(clock.elapsed())
    before = len(counts.list_windows(clock.elapsed()))
    pass_time(clock, step, 2 * WINDOW_LENGTH.total_seconds())
    windows = counts.list_windows(clock.elapsed())
    assert before <= len(windows) <= before + 2


@_STEPS
def test_warm_up_of_the_local_server_ends_in_time(step: dt.timedelta) -> None:
    clock = SteppedClock()
    server = LocalServer(clock, ORDERS, SERVER_ADDRESS, SECOND)
    server.apply_heartbeat(make_heartbeat(warmup_remaining=5 * SECOND))
    pass_time(clock, step, 4)
    info = server.info
    assert info is not None
    assert info.warmup_ends_at - clock.elapsed() == SECOND
    assert server.is_usable


@_STEPS
def test_peer_is_not_silent_before_its_time(step: dt.timedelta) -> None:
    clock = SteppedClock()
    peer_table = PeerTable(clock, NodeId('me'))
    peer_table.apply_beacon(make_beacon('one', server=make_server_beacon()))
    pass_time(clock, step, 1)
    peer_table.expire()
    assert peer_table.count_alive() == 1
    pass_time(clock, step, 1)
    peer_table.expire()
    assert not peer_table.count_alive()


@_STEPS
def test_retries_count_for_the_length_of_their_window(
    step: dt.timedelta,
) -> None:
    clock = SteppedClock()
    bounds = Bounds(retry_ratio=0, retry_reserve=2, retry_window=10)
    budgets = RetryBudgets(clock, bounds, lambda: 1, may_have_run=False)
    reservation = budgets.reserve(ORDERS, RetryPurpose.RETRY)
    assert reservation is not None
    reservation.record_arrival()
    pass_time(clock, step, 8)
    assert budgets.read_state(ORDERS).retries == 1
    pass_time(clock, step, 8)
    assert not budgets.read_state(ORDERS).retries


@_STEPS
def test_deadline_passes_when_its_time_is_over(step: dt.timedelta) -> None:
    async def scenario() -> None:
        clock = SteppedClock()
        cutoffs = RequestCutoffs(clock)
        routed = make_routed_request(clock, 5 * SECOND)
        pass_time(clock, step, 4)
        async with cutoffs.enforce(routed):
            assert routed.cutoff - clock.elapsed() == SECOND
        pass_time(clock, step, 2)
        with pytest.raises(TimeoutError):
            async with cutoffs.enforce(routed):
                pytest.fail('The deadline has passed.')

    asyncio.run(scenario())
