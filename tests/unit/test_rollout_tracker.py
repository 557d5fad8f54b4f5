"""A node's view of roll-outs: which version gets a request, which status wins.

Guards against requests to a version that is rolled back or whose roll-out order
or status is unknown, against outdated orders and statuses, against a final
status that another one replaces, and against a completion that ends requests at
the old version.
"""

import dataclasses
import datetime as dt
from collections.abc import Sequence

import pytest

from bluebellslip._internal.fleet.beacons import Beacon
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.identity import (
    NodeId,
    RouteName,
    VersionName,
)
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.rollouts.outcome_recorder import (
    VersionOutcomeRecorder,
)
from bluebellslip._internal.rollouts.plan import (
    COMPLETE_AT,
    DECISION_DEADLINE,
    HAND_OVER_LIMIT,
    LATE_HAND_OVER_AT,
    MIN_TARGET_CALLS,
    RAMP_END,
    RolloutAction,
    RolloutSnapshot,
)
from bluebellslip._internal.rollouts.retired_versions import RETENTION
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip._internal.rollouts.version_selector import VersionSelector
from lib.fleet import MS, ORDERS, SECOND, make_beacon, make_endpoint

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
        | {
            'rollouts': tracker.make_beacons(version),
            'retired_versions': tracker.retired.make_reports(),
        }
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


_CANARY_SHARE = 0.1


class HandOver:
    """A roll-out of 15 s, seen by a node beside neither version's server."""

    def __init__(self, target_calls: int = MIN_TARGET_CALLS) -> None:
        self.clock = ManualClock()
        self.old = make_endpoint('a')
        endpoints = [self.old, make_endpoint('b', version=_NEW)]
        self.tracker = RolloutTracker(
            self.clock,
            NodeId('me'),
            1,
            _CANARY_SHARE,
            lambda service: endpoints,
        )
        self.tracker.is_loaded = True
        self.rollout = self.tracker.add_order(make_order(), dt.timedelta())
        self.tracker.apply_status(make_status(RolloutState.RUNNING))
        for _ in range(target_calls):
            VersionOutcomeRecorder(self.tracker).record(
                ORDERS,
                _NEW,
                RouteName('r'),
                RequestStatus.SUCCEEDED,
                10 * MS,
                is_warm=True,
            )

    def advance(
        self,
        fraction: float,
        in_use: int = 0,
        waiting: int = 0,
        *,
        reports: bool = True,
    ) -> None:
        """Advance to a fraction of the duration."""
        while self.snapshot.elapsed_fraction < fraction:
            self.clock.advance(50 * MS)
            if reports:
                self.report(in_use, waiting)
            self.tracker.refresh()

    def report(self, in_use: int, waiting: int = 0) -> None:
        """Apply a load report of the old server."""
        self.old.load = dataclasses.replace(
            self.old.load,
            in_use=in_use,
            waiting=waiting,
            received_at=self.clock.elapsed(),
        )

    @property
    def snapshot(self) -> RolloutSnapshot:
        return self.tracker.snapshot(self.rollout)

    @property
    def action(self) -> RolloutAction:
        return self.tracker.decide(self.rollout)


def test_rollout_is_completed_once_the_old_version_is_idle() -> None:
    hand_over = HandOver()
    hand_over.advance(COMPLETE_AT)
    assert hand_over.action is RolloutAction.COMPLETE


@pytest.mark.parametrize(('in_use', 'waiting'), [(1, 0), (0, 1)])
def test_rollout_is_not_completed_over_requests_at_the_old_version(
    in_use: int, waiting: int
) -> None:
    """The platform stops the old servers as soon as it is completed."""
    hand_over = HandOver()
    hand_over.advance(COMPLETE_AT, in_use, waiting)
    assert hand_over.action is RolloutAction.HOLD
    hand_over.report(0)
    assert hand_over.action is RolloutAction.COMPLETE


def test_rollout_is_not_completed_on_reports_from_before_the_hand_over() -> (
    None
):
    hand_over = HandOver()
    hand_over.advance(RAMP_END)
    hand_over.advance(COMPLETE_AT, reports=False)
    assert hand_over.action is RolloutAction.HOLD


def test_requests_without_end_do_not_keep_a_rollout_from_completing() -> None:
    hand_over = HandOver()
    hand_over.advance(COMPLETE_AT + HAND_OVER_LIMIT, in_use=1)
    assert hand_over.action is RolloutAction.COMPLETE


def test_late_rollout_leaves_the_old_version_before_it_is_completed() -> None:
    """A service with few requests is completed at the decision deadline."""
    hand_over = HandOver(target_calls=0)
    hand_over.advance(LATE_HAND_OVER_AT - 0.01)
    assert hand_over.rollout.share < 1
    hand_over.advance(LATE_HAND_OVER_AT)
    assert hand_over.rollout.share == 1
    assert hand_over.action is RolloutAction.HOLD
    hand_over.advance(DECISION_DEADLINE, in_use=1)
    assert hand_over.action is RolloutAction.COMPLETE


def test_version_that_never_proves_good_gets_its_canary_share_at_most() -> None:
    """All requests of the roll-out count, also those it has not handled."""
    hand_over = HandOver(target_calls=0)
    steps = 1000
    shares = []
    for step in range(steps):
        hand_over.advance(step / steps)
        shares.append(hand_over.rollout.share)
    assert sum(shares) / steps <= _CANARY_SHARE


def test_bad_version_gets_no_late_hand_over() -> None:
    hand_over = HandOver(target_calls=0)
    hand_over.rollout.is_bad = True
    hand_over.advance(LATE_HAND_OVER_AT)
    assert hand_over.rollout.share == 0
    assert hand_over.action is RolloutAction.ROLL_BACK


_V3 = VersionName('v3')
_THREE_VERSIONS = [
    make_endpoint('a'),
    make_endpoint('b', version='v2'),
    make_endpoint('c', version='v3'),
]


def select_from_three(tracker: RolloutTracker) -> list[str]:
    chosen = VersionSelector(tracker).select(
        ORDERS, _THREE_VERSIONS, for_target=False
    )
    return [endpoint.node for endpoint in chosen]


def make_rolled_back(node: str = 'me') -> RolloutTracker:
    tracker = make_tracker(node=node)
    tracker.add_order(make_order(7), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.ROLLED_BACK, 8))
    return tracker


def test_version_rolled_back_gets_nothing_after_the_next_order() -> None:
    """Its servers drain only seconds after the roll-back."""
    tracker = make_rolled_back()
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.RUNNING, 10, _V3))
    assert select_from_three(tracker) == ['a']
    assert not VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)


def test_version_rolled_back_gets_nothing_once_its_order_is_deleted() -> None:
    tracker = make_rolled_back()
    tracker.withdraw(ORDERS)
    assert select_from_three(tracker) == ['a', 'c']
    assert not VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)


def test_version_found_bad_gets_nothing_if_its_order_is_replaced_at_once() -> (
    None
):
    tracker = make_tracker()
    tracker.add_order(make_order(7), dt.timedelta()).is_bad = True
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    assert select_from_three(tracker) == ['a']


def test_version_not_proved_good_is_the_last_choice_after_the_next_order() -> (
    None
):
    tracker = make_tracker()
    tracker.add_order(make_order(7), dt.timedelta())
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    assert select_from_three(tracker) == ['a']
    chosen = VersionSelector(tracker).select(
        ORDERS, _THREE_VERSIONS[1:], for_target=False
    )
    assert [endpoint.node for endpoint in chosen] == ['b']


def test_version_that_replaced_the_others_keeps_its_requests() -> None:
    tracker = make_tracker()
    tracker.add_order(make_order(7), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.COMPLETED, 8))
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    assert select_from_three(tracker) == ['a', 'b']


def test_version_that_is_ordered_again_is_tried_again() -> None:
    tracker = make_rolled_back()
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    tracker.add_order(make_order(11), dt.timedelta())
    tracker.apply_status(make_status(RolloutState.COMPLETED, 12))
    assert VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)
    tracker.withdraw(ORDERS)
    assert 'b' in select_from_three(tracker)


def test_restarted_node_learns_which_version_was_rolled_back_before() -> None:
    """From a peer that knows, at once and through a further node."""
    first = make_rolled_back('first')
    first.add_order(make_order(9, _V3), dt.timedelta())
    second, third = make_tracker(node='second'), make_tracker(node='third')
    second.apply_beacon(make_rollout_beacon(first, 'first', _OLD))
    third.apply_beacon(make_rollout_beacon(second, 'second', _OLD))
    for tracker in (second, third):
        assert select_from_three(tracker) == ['a']


def test_node_that_has_the_next_order_learns_of_a_late_roll_back() -> None:
    """The peer that found the version bad has not heard of the new order."""
    late = make_rolled_back('late')
    tracker = make_tracker()
    tracker.add_order(make_order(7), dt.timedelta())
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    tracker.apply_beacon(make_rollout_beacon(late, 'late', _OLD))
    assert not VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)


def test_stored_roll_back_of_an_earlier_order_is_heeded() -> None:
    """A node that has started again, without peers, reads it."""
    tracker = make_tracker()
    tracker.add_order(make_order(9, _V3), dt.timedelta())
    tracker.apply_status(
        RolloutStatus(ORDERS, _NEW, RolloutState.ROLLED_BACK, 8, 7)
    )
    assert select_from_three(tracker) == ['a']


def test_version_is_not_avoided_for_ever() -> None:
    clock = ManualClock()
    tracker = RolloutTracker(clock, NodeId('me'), 1, 0.1, lambda service: ())
    peer = RolloutTracker(clock, NodeId('peer'), 1, 0.1, lambda service: ())
    for each in (tracker, peer):
        each.add_order(make_order(7), dt.timedelta())
        each.apply_status(make_status(RolloutState.ROLLED_BACK, 8))
        each.withdraw(ORDERS)
    for _ in range(4):
        clock.advance(RETENTION / 3)
        tracker.refresh()
        peer.refresh()
        tracker.apply_beacon(make_rollout_beacon(peer, 'peer', _OLD))
        peer.apply_beacon(make_rollout_beacon(tracker, 'me', _OLD))
    assert VersionSelector(tracker).admits(ORDERS, _NEW, for_target=False)
