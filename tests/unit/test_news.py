"""News of peers: when the store is asked anew, and when a peer is asked."""

import asyncio
import dataclasses
import datetime as dt
from random import Random

import msgspec

from bluebellslip._internal.control.desired_state import DesiredStateWatcher
from bluebellslip._internal.control.ports import DesiredStateUpdate
from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.beacons import Reach
from bluebellslip._internal.fleet.peer_table import (
    MAX_REMOTE_PEERS_PER_ROUND,
    SILENCE_TIMEOUT,
    PeerTable,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    VersionName,
)
from bluebellslip._internal.models.rollouts import RolloutOrder
from bluebellslip._internal.nodes.update_dispatcher import (
    STALE_WATCH_TIMEOUT,
    UpdateDispatcher,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from lib.fleet import MS, ORDERS, SECOND, make_beacon, make_config, make_rule

_SENDER = Address('10.0.0.9', 7620)


class CountingWatcher(DesiredStateWatcher):
    """Counts how often it is told to hurry."""

    def __init__(self) -> None:
        self.restarts = 0

    def restart_watch(self) -> None:
        self.restarts += 1


def make_dispatcher(
    clock: ManualClock,
) -> tuple[UpdateDispatcher, ConfigHolder, CountingWatcher]:
    peer_table = PeerTable(clock, NodeId('me'), 'a')
    holder = ConfigHolder(Random(1))
    beacon_protocol = BeaconProtocol(
        NodeId('me'),
        Locality('north', 'a'),
        _SENDER,
        _SENDER,
        peer_table,
        BeaconSource(),
        Random(1),
        InMemoryCounters(),
    )
    tracker = RolloutTracker(clock, NodeId('me'), 1, 0.1, peer_table.endpoints)
    dispatcher = UpdateDispatcher(clock, holder, tracker, beacon_protocol, bool)
    watcher = CountingWatcher()
    dispatcher.attach_watcher(watcher)
    return dispatcher, holder, watcher


def test_answer_on_its_way_is_not_cut_off_by_news() -> None:
    clock = ManualClock()
    dispatcher, holder, watcher = make_dispatcher(clock)
    for revision in range(1, 20):
        dispatcher.apply_beacon(make_beacon('one', revision, revision=revision))
        clock.advance(200 * MS)
        if revision % 4 == 0:
            record = make_config(make_rule(), revision=revision - 1)
            holder.offer(record, 'store')
    assert watcher.restarts == 0


def test_silent_question_is_asked_anew_when_peers_are_ahead() -> None:
    clock = ManualClock()
    dispatcher, _, watcher = make_dispatcher(clock)
    dispatcher.apply_beacon(make_beacon('one', 1, revision=5))
    clock.advance(STALE_WATCH_TIMEOUT)
    dispatcher.apply_beacon(make_beacon('one', 2, revision=5))
    assert watcher.restarts == 1


def test_hurry_asks_again_at_once() -> None:
    asked: list[int] = []

    class Store:
        async def read_desired_state(self) -> None:
            asked.append(1)
            await asyncio.sleep(60)

    async def run() -> None:
        watcher = DesiredStateWatcher(
            Store(),  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: True,
            lambda orders: False,
        )
        task = asyncio.create_task(watcher.run())
        for _ in range(3):
            await asyncio.sleep(0)
        watcher.restart_watch()
        for _ in range(6):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert len(asked) == 2


def test_far_peers_of_a_large_mesh_may_be_quiet_for_longer() -> None:
    clock = ManualClock()
    peer_table = PeerTable(clock, NodeId('me'), 'a')
    for number in range(3 * MAX_REMOTE_PEERS_PER_ROUND):
        domain = 'a' if number % 4 == 0 else 'b'
        beacon = make_beacon(f'n{number}', domain=domain)
        peer_table.apply_beacon(beacon)
    assert peer_table.remote_beacon_rounds == 3
    late_far = peer_table.apply_beacon(
        make_beacon('far', domain='b', reach=Reach.PASSED_ON)
    )
    late_near = peer_table.apply_beacon(make_beacon('near', domain='a'))
    assert late_far is not None
    assert late_near is not None
    assert late_near.silence_timeout == SILENCE_TIMEOUT
    assert late_far.silence_timeout > 5 * SILENCE_TIMEOUT


def test_order_that_is_missing_from_all_that_is_wanted_is_gone() -> None:
    dispatcher, _, _ = make_dispatcher(ManualClock())
    order = RolloutOrder(ORDERS, VersionName('v2'), 15 * SECOND, 7)
    assert dispatcher.apply_desired_state(
        DesiredStateUpdate(None, (order,), (), 8, is_snapshot=True)
    )
    assert not dispatcher.apply_desired_state(
        DesiredStateUpdate(None, (order,), (), 9, is_snapshot=True)
    )
    assert not dispatcher.apply_desired_state(
        DesiredStateUpdate(None, (), (), 10)
    )
    assert dispatcher.apply_desired_state(
        DesiredStateUpdate(None, (), (), 11, is_snapshot=True)
    )
    assert not dispatcher.apply_desired_state(
        DesiredStateUpdate(None, (), (), 12, is_snapshot=True)
    )


def test_an_order_taken_back_is_not_brought_back_by_peers() -> None:
    clock = ManualClock()
    order = RolloutOrder(ORDERS, VersionName('v2'), 15 * SECOND, 7)
    trackers = [
        RolloutTracker(clock, NodeId(node), 1, 0.1, lambda service: ())
        for node in ('me', 'one')
    ]
    for tracker in trackers:
        tracker.add_order(order, dt.timedelta())
    told = trackers[1].make_beacons(None)
    trackers[0].withdraw(ORDERS)
    beacon = make_beacon('one')
    trackers[0].apply_beacon(msgspec.structs.replace(beacon, rollouts=told))
    assert trackers[0].find(ORDERS) is None
    trackers[0].add_order(
        dataclasses.replace(order, revision=8), dt.timedelta()
    )
    assert trackers[0].find(ORDERS) is not None
