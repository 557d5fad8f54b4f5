"""Retries of all nodes together stay within the deployment's limit.

Guards against retry storms: nodes don't coordinate their retries, and a retry
may cause further calls, whose own retries count towards the limit too.
"""

import datetime as dt
import itertools
from random import Random

import msgspec
import pytest

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.proxy.call_reservations import CallReservations
from bluebellslip._internal.proxy.retry_budget import (
    CALL_SHARE,
    RetryPurpose,
    SharedRetryBudget,
)
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets
from lib.fleet import MS, SECOND

_WINDOW = dt.timedelta(seconds=10)
_RATIO = 0.2  # retries per request
_RESERVE = 60  # additional retries of all nodes together within the window
_NODES = 12
_ACCEPTED_SHARE = 0.17


_STORE = ServiceName('store')
_BOUNDS = Bounds(
    retry_ratio=_RATIO,
    retry_reserve=_RESERVE,
    retry_window=_WINDOW.total_seconds(),
)


def count_nodes() -> int:
    return _NODES


def make_budget(clock: ManualClock) -> SharedRetryBudget:
    return SharedRetryBudget(clock, _RATIO, _RESERVE, _WINDOW)


def try_spend(budget: SharedRetryBudget, nodes: int = 1) -> bool:
    """Make a retry that arrives at once, if the budget allows it."""
    reservation = budget.reserve(1 / nodes, RetryPurpose.RETRY)
    return reservation is not None and reservation.record_arrival()


def count(times: list[dt.timedelta], end: dt.timedelta) -> int:
    return sum(end - _WINDOW < at <= end for at in times)


def find_limit(requests: list[dt.timedelta], end: dt.timedelta) -> float:
    """Return the deployment's limit on the retries in a window.

    It counts the requests of this window, of the window before it, or of the
    window that ended half a window earlier, whichever has most.
    """
    request_count = max(
        count(requests, end - offset)
        for offset in (dt.timedelta(), _WINDOW / 2, _WINDOW)
    )
    return _RATIO * request_count + _RESERVE


class RefusingStore:
    """Calls to servers of which most refuse all requests after a time."""

    def __init__(
        self, clock: ManualClock, random: Random, healthy_for: dt.timedelta
    ) -> None:
        self._clock = clock
        self._random = random
        self._healthy_for = healthy_for
        self.budgets = [
            RetryBudgets(clock, _BOUNDS, count_nodes, may_have_run=False)
            for _ in range(_NODES)
        ]
        self.requests: list[dt.timedelta] = []
        self.retries: list[dt.timedelta] = []

    def call(self, node: int, retried: CallReservations | None) -> bool:
        """Call the store from a node and return whether it succeeded.

        ``retried`` are the calls reserved for the run that makes this one; none
        if it isn't a retry.
        """
        budgets = self.budgets[node]
        if retried is None:
            budgets.record_request(_STORE)
            self.requests.append(self._clock.elapsed())
        elif retried.spend(_STORE):
            self.retries.append(self._clock.elapsed())
        else:
            return False
        if self._is_accepted():
            return True
        reservation = budgets.reserve(_STORE, RetryPurpose.RETRY)
        if reservation is None:
            return False
        reservation.record_arrival()
        self.retries.append(self._clock.elapsed())
        return self._is_accepted()

    def _is_accepted(self) -> bool:
        is_healthy = self._clock.elapsed() < self._healthy_for
        return is_healthy or self._random.random() < _ACCEPTED_SHARE


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
        if try_spend(budget, nodes):
            retries.append(clock.elapsed())
    for end in retries:
        assert count(retries, end) <= find_limit(requests, end)


@pytest.mark.parametrize(
    'healthy_for', [dt.timedelta(), _WINDOW], ids=['cold', 'warm']
)
@pytest.mark.parametrize('calls', [2, 3])
@pytest.mark.parametrize('seed', range(3))
def test_calls_of_retried_requests_stay_within_the_bound(
    healthy_for: dt.timedelta, calls: int, seed: int
) -> None:
    """Each run of a request makes calls, and fails if one of them fails."""
    clock, random = ManualClock(), Random(seed)
    budgets = [make_budget(clock) for _ in range(_NODES)]
    store = RefusingStore(clock, random, healthy_for)

    def succeeds(*, is_retry: bool) -> bool:
        node = random.randrange(_NODES)
        retried = CallReservations(store.budgets[node]) if is_retry else None
        if retried is not None and retried.reserve({_STORE: calls}):
            return False
        results = [store.call(node, retried) for _ in range(calls)]
        if retried is not None:
            retried.release()
        return all(results)

    for _ in range(1200):
        clock.advance(20 * MS)
        budget = random.choice(budgets)
        budget.record_request()
        if not succeeds(is_retry=False) and try_spend(budget, _NODES):
            succeeds(is_retry=True)
    for end in store.retries:
        assert count(store.retries, end) <= find_limit(store.requests, end)


@pytest.mark.parametrize('seed', range(5))
def test_retries_that_wait_for_their_server_stay_within_the_bound(
    seed: int,
) -> None:
    """They arrive up to two seconds after they were allowed."""
    clock, random = ManualClock(), Random(seed)
    budget = make_budget(clock)
    requests: list[dt.timedelta] = []
    arrivals: list[dt.timedelta] = []
    waiting = []
    for _ in range(4000):
        clock.advance(10 * MS)
        budget.record_request()
        requests.append(clock.elapsed())
        allowed = budget.reserve(1, RetryPurpose.RETRY)
        if allowed is not None:
            delay = random.choice([0, 1, 2]) * SECOND
            waiting.append((clock.elapsed() + delay, allowed))
        for due, reservation in tuple(waiting):
            if due <= clock.elapsed():
                waiting.remove((due, reservation))
                arrivals.append(clock.elapsed())
                assert reservation.record_arrival()
    assert len(arrivals) > 300
    for end in arrivals:
        assert count(arrivals, end) <= find_limit(requests, end)


def test_retry_that_no_server_received_is_returned() -> None:
    budget = make_budget(ManualClock())
    reservations = []
    while None not in reservations:
        reservations.append(budget.reserve(1 / 12, RetryPurpose.RETRY))
    first = reservations[0]
    assert first is not None
    first.release()
    assert try_spend(budget, 12)
    assert not try_spend(budget, 12)


def test_calls_of_retried_requests_leave_retries_to_other_calls() -> None:
    budget = make_budget(ManualClock())
    calls = 0
    while budget.reserve(1, RetryPurpose.CALL):
        calls += 1
    allowed = budget.read_state(1).allowed
    assert calls == int(allowed * CALL_SHARE)
    assert try_spend(budget, 1)


def test_idle_node_has_its_share_of_the_reserve() -> None:
    budget = make_budget(ManualClock())
    assert [try_spend(budget, 12) for _ in range(5)] == [
        True,
        True,
        True,
        True,
        False,
    ]


def test_budget_is_restored_after_the_window() -> None:
    clock = ManualClock()
    budget = make_budget(clock)
    while try_spend(budget, 12):
        pass
    clock.advance(_WINDOW * 1.2)
    assert try_spend(budget, 12)


def spend_all(budgets: RetryBudgets) -> int:
    """Make as many retries as the budget allows and return their number."""
    for spent in itertools.count():
        reservation = budgets.reserve(_STORE, RetryPurpose.RETRY)
        if reservation is None:
            return spent
        reservation.record_arrival()
    raise AssertionError


def test_node_that_starts_again_gets_no_reserve_within_a_window() -> None:
    """It has forgotten the retries that it made before."""
    clock = ManualClock()
    clock.advance(100 * SECOND)
    budgets = RetryBudgets(clock, _BOUNDS, count_nodes, may_have_run=True)
    clock.advance(_WINDOW - MS)
    assert not spend_all(budgets)
    clock.advance(MS)
    assert spend_all(budgets) == 4


def test_retries_are_remembered_when_limits_change() -> None:
    clock = ManualClock()
    budgets = RetryBudgets(clock, _BOUNDS, count_nodes, may_have_run=False)
    assert spend_all(budgets) == 4
    budgets.apply(msgspec.structs.replace(_BOUNDS, grace=9))
    assert not spend_all(budgets)
    budgets.apply(msgspec.structs.replace(_BOUNDS, retry_reserve=120))
    assert spend_all(budgets) == 4
    budgets.apply(msgspec.structs.replace(_BOUNDS, retry_window=5))
    assert not spend_all(budgets)
