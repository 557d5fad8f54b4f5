"""Orders in a store that came back from an older copy.

Guards against a finished roll-out that runs again because its order has another
revision, and against an order that was replaced and comes back with the copy.
"""

import dataclasses
import datetime as dt

import msgspec
import pytest

from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import NodeId, VersionName
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.models.store_revisions import (
    get_era,
    get_version,
    make_revision,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from lib.fleet import MS, ORDERS, SECOND, make_beacon

_V2 = VersionName('v2')
_DURATION = 15 * SECOND + 0.4 * MS


def make_order(
    era: int, version: int, target: VersionName = _V2
) -> RolloutOrder:
    return RolloutOrder(ORDERS, target, _DURATION, make_revision(era, version))


def make_tracker(node: str = 'me') -> RolloutTracker:
    return RolloutTracker(
        ManualClock(), NodeId(node), 1, 0.1, lambda service: ()
    )


def make_finished(node: str = 'me') -> RolloutTracker:
    tracker = make_tracker(node)
    tracker.add_order(make_order(1, 7), dt.timedelta())
    tracker.apply_status(
        RolloutStatus(ORDERS, _V2, RolloutState.COMPLETED, make_revision(1, 9))
    )
    return tracker


def test_revision_of_a_later_era_is_greater() -> None:
    revision = make_revision(2, 5)
    assert revision > make_revision(1, 10**9)
    assert (get_era(revision), get_version(revision)) == (2, 5)


@pytest.mark.parametrize('version', [3, 7, 20])
def test_finished_rollout_stays_finished(version: int) -> None:
    tracker = make_finished()
    rollout = tracker.add_order(make_order(2, version), dt.timedelta())
    assert rollout.state is RolloutState.COMPLETED
    assert rollout.order.revision == make_revision(2, version)
    assert rollout.stored_state is None
    assert not rollout.is_status_known
    assert rollout.status_revision == 0


def test_repeated_order_of_the_same_era_starts_anew() -> None:
    tracker = make_finished()
    assert tracker.add_order(make_order(1, 20), dt.timedelta()).is_running


def test_order_learned_from_a_beacon_is_the_same() -> None:
    """Beacons have the duration in whole milliseconds."""
    tracker, peer = make_finished(), make_tracker('peer')
    peer.add_order(make_order(2, 8), dt.timedelta())
    tracker.apply_beacon(
        msgspec.structs.replace(
            make_beacon('peer'), rollouts=peer.make_beacons(None)
        )
    )
    found = tracker.find(ORDERS)
    assert found is not None
    assert found.state is RolloutState.COMPLETED
    assert found.order.revision == make_revision(2, 8)


def test_finished_state_of_a_peer_is_applied_at_the_same_status() -> None:
    """Both read the status that the store still has, but one knows more."""
    tracker, peer = make_tracker(), make_finished('peer')
    running = RolloutStatus(
        ORDERS, _V2, RolloutState.RUNNING, make_revision(2, 8)
    )
    for each in (tracker, peer):
        each.add_order(make_order(2, 7), dt.timedelta())
        each.apply_status(running)
    tracker.apply_beacon(
        msgspec.structs.replace(
            make_beacon('peer'), rollouts=peer.make_beacons(None)
        )
    )
    found = tracker.find(ORDERS)
    assert found is not None
    assert found.state is RolloutState.COMPLETED
    assert found.stored_state is RolloutState.RUNNING


def test_replaced_order_that_comes_back_is_outdated() -> None:
    tracker = make_tracker()
    first = make_order(1, 3, VersionName('v0'))
    tracker.add_order(first, dt.timedelta())
    tracker.add_order(make_order(1, 7), dt.timedelta())
    restored = dataclasses.replace(first, revision=make_revision(2, 3))
    ordered_again = dataclasses.replace(first, revision=make_revision(2, 9))
    assert tracker.is_outdated(restored)
    assert not tracker.is_outdated(ordered_again)


def test_status_of_a_later_era_than_the_order_is_not_applied() -> None:
    """It may be of an earlier order that the store still has."""
    tracker = make_tracker()
    rollout = tracker.add_order(make_order(1, 7), dt.timedelta())
    tracker.apply_status(
        RolloutStatus(
            ORDERS, _V2, RolloutState.ROLLED_BACK, make_revision(2, 3)
        )
    )
    assert rollout.is_running
