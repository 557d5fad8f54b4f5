"""Retries of all nodes together stay within the deployment's limit.

Guards against retry storms: nodes don't coordinate their retries, and a retry
may cause further calls, whose own retries count towards the limit too.
"""

import datetime as dt
from random import Random

import pytest

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.proxy.retry_budget import SharedRetryBudget
from lib.fleet import MS

_WINDOW = dt.timedelta(seconds=10)
_RATIO = 0.2  # retries per request
_RESERVE = 60  # additional retries of all nodes together within the window


def make_budget(clock: ManualClock) -> SharedRetryBudget:
    return SharedRetryBudget(clock, _RATIO, _RESERVE, _WINDOW)


@pytest.mark.parametrize('nodes', [1, 3, 12])
@pytest.mark.parametrize('seed', range(5))
def test_sum_over_nodes_stays_within_the_bound(nodes: int, seed: int) -> None:
    """Every request fails and is retried if the budget allows it."""
    clock, random = ManualClock(), Random(seed)
    budgets = [make_budget(clock) for _ in range(nodes)]
    requests: list[dt.timedelta] = []
    retries: list[dt.timedelta] = []
    for step in range(4000):
        is_busy = 1000 < step < 2500
        clock.advance((2 if is_busy else 8) * MS)
        budget = random.choice(budgets)
        budget.record_request()
        requests.append(clock.elapsed())
        if budget.try_spend(nodes):
            retries.append(clock.elapsed())
    for end in retries:
        begin = end - _WINDOW
        retry_count = sum(begin < at <= end for at in retries)
        # The deployment counts the requests of this window, of the window
        # before it, or of the window that ended half a window earlier,
        # whichever has most.
        request_count = max(
            sum(begin - offset < at <= end - offset for at in requests)
            for offset in (dt.timedelta(), _WINDOW / 2, _WINDOW)
        )
        # Each retry may cause one more at a service that the request calls.
        assert 2 * retry_count <= _RATIO * request_count + _RESERVE


def test_idle_node_has_its_share_of_the_reserve() -> None:
    budget = make_budget(ManualClock())
    assert [budget.try_spend(12) for _ in range(4)] == [
        True,
        True,
        False,
        False,
    ]


def test_budget_is_restored_after_the_window() -> None:
    clock = ManualClock()
    budget = make_budget(clock)
    while budget.try_spend(12):
        pass
    clock.advance(_WINDOW * 1.2)
    assert budget.try_spend(12)
