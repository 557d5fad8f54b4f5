"""A node's view of roll-outs: which version gets a request, which status wins.

Guards against requests to a version that is rolled back or whose roll-out order
or status is unknown, against outdated orders and statuses, and against a final
status that another one replaces.
"""

import datetime as dt
from collections.abc import Sequence

from bluebellslip._internal.fleet.beacons import Beacon
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import NodeId, VersionName
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip._internal.rollouts.version_selector import VersionSelector
from lib.fleet import ORDERS, SECOND, make_beacon, make_endpoint

_OLD = VersionName('v1')
_NEW = VersionName('v2')
_ENDPOINTS = [make_endpoint('a'), make_endpoint('b', version='v2')]


def make_tracker(
    endpoints: Sequence[Endpoint] = (), *, node: str = 'me'
) -> RolloutTracker:
    tracker = RolloutTracker(
        ManualClock(), NodeId(node), 1, 0.1, lambda service: endpoints
    )
    tracker.is_loaded = True
    return tracker


def make_order(revision: int = 7, target: VersionName = _NEW) -> RolloutOrder:
    return RolloutOrder(ORDERS, target, 15 * SECOND, revision)


def make_status(
    state: RolloutState, revision: int = 8, target: VersionName = _NEW
) -> RolloutStatus:
    return RolloutStatus(ORDERS, target, state, revision)


def make_rollout_beacon(
    tracker: RolloutTracker, node: str, version: VersionName
) -> Beacon:
    beacon = make_beacon(node)
    return Beacon(
        **{name: getattr(beacon, name) for name in beacon.__struct_fields__}
        | {'rollouts': tracker.make_beacons(version)}
    )


def select(tracker: RolloutTracker, *, for_target: bool) -> list[str]:
    chosen = VersionSelector(tracker).select(
        ORDERS, _ENDPOINTS, for_target=for_target
    )
    return [endpoint.node for endpoint in chosen]


def test_without_an_order_versions_are_treated_alike() -> None:
    tracker = make_tracker()
    assert select(tracker, for_target=False) == ['a', 'b']
    assert VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)


def test_node_admits_nothing_before_orders_are_loaded() -> None:
    tracker = make_tracker()
    tracker.is_loaded = False
    assert not VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)


def test_target_gets_only_requests_assigned_to_it() -> None:
    tracker = make_tracker()
    tracker.add_order(make_order(), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.RUNNING))
    assert select(tracker, for_target=False) == ['a']
    assert select(tracker, for_target=True) == ['b']
    assert not VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)
    assert VersionSelector(tracker).admits(ORDERS, _NEW, for_target=True)
    assert VersionSelector(tracker).admits(ORDERS, _OLD, for_target=False)


def test_target_gets_nothing_before_the_statuses_are_read() -> None:
    tracker = make_tracker()
    tracker.add_order(make_order(), dt.timedelta())
    assert select(tracker, for_target=True) == ['a']


def test_completed_rollout_sends_requests_to_the_target() -> None:
    tracker = make_tracker()
    tracker.add_order(make_order(), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.COMPLETED))
    assert VersionSelector(tracker).choose_target(ORDERS)
    assert select(tracker, for_target=True) == ['b']
    assert VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)


def test_rolled_back_target_gets_nothing() -> None:
    tracker = make_tracker()
    tracker.add_order(make_order(), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.ROLLED_BACK))
    assert not VersionSelector(tracker).choose_target(ORDERS)
    assert select(tracker, for_target=True) == ['a']
    assert not VersionSelector(tracker).admits(ORDERS, _NEW, for_target=True)


def test_first_final_status_is_kept() -> None:
    tracker = make_tracker()
    rollout = tracker.add_order(make_order(), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.COMPLETED, 9))
    tracker.apply_status(make_status(RolloutState.ROLLED_BACK, 10))
    assert rollout.state is RolloutState.COMPLETED


def test_status_of_an_earlier_order_does_not_end_the_rollout() -> None:
    tracker = make_tracker()
    rollout = tracker.add_order(make_order(7), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.COMPLETED, 5))
    assert rollout.is_running
    assert rollout.status_revision == 5


def test_new_order_starts_a_new_rollout() -> None:
    tracker = make_tracker()
    tracker.add_order(make_order(7), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.ROLLED_BACK, 8))
    later = tracker.add_order(make_order(9, VersionName('v3')), dt.timedelta())
    assert later.is_running
    assert tracker.add_order(make_order(7), dt.timedelta()) is later


def test_restarted_node_learns_its_rollouts_from_a_peer() -> None:
    first = make_tracker(node='first')
    rollout = first.add_order(make_order(), 4 * SECOND)
    first.apply_status(make_status(RolloutState.RUNNING))
    rollout.is_bad = True
    restarted = make_tracker(node='reborn')
    restarted.is_loaded = False
    restarted.apply_beacon(make_rollout_beacon(first, 'first', _OLD))
    assert not VersionSelector(restarted).admits(ORDERS, _NEW, for_target=True)
    assert VersionSelector(restarted).admits(ORDERS, _OLD, for_target=False)
    [learned] = restarted.rollouts
    assert learned.is_bad
    assert restarted.snapshot(learned).age >= 4 * SECOND
