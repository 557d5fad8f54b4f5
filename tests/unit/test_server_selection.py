"""Server selection; each test sets up the situation that one rule handles.

Guards against needless crossing of failure domains, late responses while
other servers have free slots, and use of slow, failing or unreachable servers.
"""

import datetime as dt
from collections import Counter
from collections.abc import Sequence
from random import Random

import pytest

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.proxy.estimates import estimate_wait
from bluebellslip._internal.proxy.server_selection import (
    Requirements,
    ServerChoice,
    ServerSelector,
    mark_reachable,
    mark_unreachable,
)
from lib.fleet import LOCAL_LOCALITY, MS, ROUTE, make_endpoint

_READ = Requirements(ROUTE, 2, 400 * MS, 1200 * MS)
_UPLOAD = Requirements(ROUTE, 60, 500 * MS, 1500 * MS)


def make_selector(clock: ManualClock | None = None) -> ServerSelector:
    return ServerSelector(
        clock or ManualClock(), Random(3), LOCAL_LOCALITY, 0.05
    )


def choose(
    endpoints: Sequence[Endpoint], requirements: Requirements = _READ
) -> ServerChoice:
    chosen = make_selector().choose(endpoints, requirements)
    assert chosen is not None
    return chosen


def pick_many(
    endpoints: Sequence[Endpoint],
    requirements: Requirements = _READ,
    times: int = 100,
) -> Counter[str]:
    """Select servers for a burst in which no request ends; count by node."""
    server_selector = make_selector()
    counts: Counter[str] = Counter()
    for _ in range(times):
        chosen = server_selector.choose(endpoints, requirements)
        assert chosen is not None
        chosen.endpoint.in_flight += 1
        counts[chosen.endpoint.node] += 1
    return counts


def test_local_server_is_preferred_to_a_faster_remote_one() -> None:
    near = make_endpoint('near', hold_time=120 * MS)
    far = make_endpoint('far', domain='b', hold_time=60 * MS)
    assert choose([near, far]).endpoint is near


def test_remote_server_is_used_before_responses_are_late() -> None:
    near = make_endpoint('near', in_use=45)
    far = make_endpoint('far', domain='b')
    assert choose([near, far]).endpoint is far


def test_upload_waits_long_for_a_local_server_before_it_crosses() -> None:
    near = make_endpoint('near', in_use=30)
    far = make_endpoint('far', domain='b')
    chosen = choose([near, far], _UPLOAD)
    assert chosen.endpoint is near
    assert chosen.max_wait >= 500 * MS


def test_burst_spreads_over_equal_servers() -> None:
    endpoints = [make_endpoint(name) for name in 'abcd']
    counts = pick_many(endpoints, times=80)
    assert max(counts.values()) - min(counts.values()) <= 8


def test_burst_crosses_only_when_local_servers_fill_up() -> None:
    endpoints = [
        make_endpoint('near'),
        make_endpoint('far-1', domain='b'),
        make_endpoint('far-2', domain='c'),
    ]
    assert pick_many(endpoints, times=12) == {'near': 12}
    assert pick_many(endpoints, times=60)['near'] < 45


def test_server_with_long_requests_does_not_count_as_slow() -> None:
    upload = RouteName('r-upload')
    near = make_endpoint(
        'near',
        hold_time=250 * MS,
        hold_times={ROUTE: 30 * MS, upload: 260 * MS},
    )
    far = make_endpoint('far', domain='b', hold_time=30 * MS)
    assert choose([near, far]).endpoint is near


def test_slow_server_is_avoided() -> None:
    slow = make_endpoint('slow', hold_time=500 * MS)
    good = make_endpoint('good')
    assert pick_many([slow, good], times=10)['slow'] == 0


def test_partially_failing_server_is_avoided() -> None:
    grey = make_endpoint('grey', failure_rate=0.4)
    good = make_endpoint('good', domain='b')
    assert choose([grey, good]).endpoint is good


def test_only_server_is_used_whatever_its_failure_rate() -> None:
    grey = make_endpoint('grey', failure_rate=0.9)
    assert choose([grey]).endpoint is grey


def test_nothing_is_chosen_without_servers() -> None:
    assert make_selector().choose([], _READ) is None


def test_own_requests_count_before_the_next_report() -> None:
    idle = make_endpoint('a')
    idle.in_flight = 24
    assert estimate_wait(idle, 100 * MS, dt.timedelta()) > 100 * MS


def test_report_counts_own_requests_once() -> None:
    busy = make_endpoint('a', in_use=10)
    busy.in_flight = 10
    busy.load.own_in_flight = 10
    assert estimate_wait(busy, 100 * MS, dt.timedelta()) == dt.timedelta()


def test_unreachable_node_is_avoided_for_a_while() -> None:
    clock = ManualClock()
    server_selector = make_selector(clock)
    near, far = make_endpoint('near'), make_endpoint('far', domain='b')
    mark_unreachable(near, clock.elapsed())
    chosen = server_selector.choose([near, far], _READ)
    assert chosen is not None
    assert chosen.endpoint is far
    clock.advance(dt.timedelta(seconds=5))
    chosen = server_selector.choose([near, far], _READ)
    assert chosen is not None
    assert chosen.endpoint is near


def test_backoff_of_an_unreachable_node_grows_and_is_reset() -> None:
    node = make_endpoint('a')
    backoff_ends = []
    for _ in range(5):
        mark_unreachable(node, dt.timedelta())
        backoff_ends.append(node.unreachable_until)
    assert backoff_ends == sorted(backoff_ends)
    mark_reachable(node)
    assert node.unreachable_until == dt.timedelta()


@pytest.mark.parametrize('slots_in_use', [20, 40])
def test_max_wait_is_shorter_beside_an_alternative(slots_in_use: int) -> None:
    near = make_endpoint('near')
    alone = choose([near])
    far = make_endpoint('far', domain='b', in_use=slots_in_use)
    with_alternative = choose([near, far])
    assert with_alternative.endpoint is near
    assert with_alternative.max_wait < alone.max_wait


def test_remote_server_without_a_free_slot_in_time_is_not_tried() -> None:
    far = make_endpoint('far', domain='b', in_use=12)
    far.load.waiting = 60
    assert make_selector().choose([far], _READ) is None


def test_local_server_is_tried_whatever_its_report_says() -> None:
    near = make_endpoint('near', in_use=12)
    near.load.waiting = 60
    assert choose([near]).endpoint is near


def test_outdated_report_excludes_no_server() -> None:
    clock = ManualClock()
    far = make_endpoint('far', domain='b', in_use=12)
    far.load.waiting = 60
    clock.advance(dt.timedelta(seconds=1))
    assert make_selector(clock).choose([far], _READ) is not None
