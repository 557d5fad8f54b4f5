"""Who follows the store, and how the others come by its news."""

import asyncio
import dataclasses
import datetime as dt
import zlib
from random import Random
from typing import Any

import msgspec
import pytest

from bluebellslip._internal.control import orders as orders_module
from bluebellslip._internal.control import relay as relay_module
from bluebellslip._internal.control.health import StoreHealth
from bluebellslip._internal.control.orders import OrdersWatcher
from bluebellslip._internal.control.ports import Orders
from bluebellslip._internal.control.relay import ConfigRelay
from bluebellslip._internal.control.watch_duty import FOLLOWERS, WatchDuty
from bluebellslip._internal.exceptions import (
    PeerGarbledError,
    PlatformDownError,
)
from bluebellslip._internal.fleet.beacons import NodeState
from bluebellslip._internal.fleet.roster import SILENT_AFTER, Roster
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import NodeId
from lib.fleet import MS, make_beacon, make_config, make_rule


def make_duty(clock: ManualClock) -> tuple[WatchDuty, Roster, StoreHealth]:
    roster = Roster(clock, NodeId('n5'), 'a')
    health = StoreHealth()
    health.recover(1)
    return WatchDuty(roster, health), roster, health


def hear(roster: Roster, node: str, sequence: int = 1, **told: Any) -> None:
    told = dict(told)
    hears_store = told.pop('hears_store', True)
    beacon = make_beacon(node, sequence, **told)
    roster.hear(msgspec.structs.replace(beacon, hears_store=hears_store))


def test_a_node_alone_follows_the_store() -> None:
    duty, _, _ = make_duty(ManualClock())
    assert duty.is_ours


def test_the_first_neighbours_by_name_follow_it_for_all() -> None:
    duty, roster, _ = make_duty(ManualClock())
    hear(roster, 'n1')
    hear(roster, 'n9')
    assert duty.is_ours
    hear(roster, 'n2')
    assert FOLLOWERS == 2
    assert not duty.is_ours


@pytest.mark.parametrize(
    'told',
    [{'hears_store': False}, {'domain': 'b'}, {'state': NodeState.LEAVING}],
)
def test_neighbours_that_can_not_follow_it_do_not_count(
    told: dict[str, Any],
) -> None:
    duty, roster, _ = make_duty(ManualClock())
    hear(roster, 'n1')
    hear(roster, 'n2', **told)
    assert duty.is_ours


def test_the_next_one_steps_in_for_a_silent_follower() -> None:
    clock = ManualClock()
    duty, roster, _ = make_duty(clock)
    hear(roster, 'n1')
    hear(roster, 'n2')
    clock.advance(SILENT_AFTER + MS)
    hear(roster, 'n1', 2)
    assert duty.is_ours


def test_a_node_that_lost_the_store_goes_on_asking() -> None:
    duty, roster, health = make_duty(ManualClock())
    hear(roster, 'n1')
    hear(roster, 'n2')
    health.fail(PlatformDownError('away'))
    assert duty.is_ours


class CountingStore:
    """Counts questions; each is answered at once, without news."""

    def __init__(self) -> None:
        self.waits: list[dt.timedelta] = []

    async def read_orders(self) -> Orders:
        return Orders(None, (), (), 1)

    async def watch_orders(self, position: int, wait: dt.timedelta) -> Orders:
        self.waits.append(wait)
        await asyncio.sleep(0)
        return Orders(None, (), (), position)


@pytest.mark.parametrize(('on_duty', 'asks'), [(True, True), (False, False)])
def test_only_a_node_on_duty_keeps_asking(on_duty: bool, asks: bool) -> None:
    store = CountingStore()

    async def run() -> None:
        watcher = OrdersWatcher(
            store,  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: on_duty,
            lambda orders: False,
        )
        task = asyncio.create_task(watcher.run())
        for _ in range(20):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert bool(store.waits) is asks


class ChangingStore(CountingStore):
    """Something new each time."""

    def __init__(self) -> None:
        super().__init__()
        self.reads = 0

    async def read_orders(self) -> Orders:
        self.reads += 1
        return Orders(None, (), (), self.reads)


def test_changes_in_quick_succession_are_read_as_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(orders_module, 'NEWS_PAUSE', dt.timedelta())
    store = ChangingStore()
    applied: list[Orders] = []

    def apply(orders: Orders) -> bool:
        applied.append(orders)
        return len(applied) < 5

    async def run() -> None:
        watcher = OrdersWatcher(
            store,  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: True,
            apply,
        )
        task = asyncio.create_task(watcher.run())
        while len(applied) < 6:
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    # Each change of a row stands in the history: only once nothing is new is
    # the store asked for what comes after.
    assert store.reads == 5
    assert len(store.waits) == 1


class TestRelay:
    """Which peer is asked for a configuration, and when."""

    def make(self, *, follows_store: bool) -> tuple[ConfigRelay, Roster]:
        roster = Roster(ManualClock(), NodeId('n5'), 'a')
        holder = ConfigHolder(Random(1))
        holder.offer(make_config(make_rule(), revision=3), 'store')
        relay = ConfigRelay(
            holder,
            roster,
            None,  # type: ignore[arg-type]
            lambda body: make_config(make_rule()),
            'a',
            Random(1),
            lambda: follows_store,
        )
        return relay, roster

    def test_a_neighbour_ahead_is_asked_at_once(self) -> None:
        relay, roster = self.make(follows_store=False)
        hear(roster, 'n1', revision=4)
        assert relay.choose(200 * MS) is not None

    def test_a_follower_waits_for_the_store(self) -> None:
        relay, roster = self.make(follows_store=True)
        hear(roster, 'n1', revision=4)
        assert relay.choose(200 * MS) is None
        assert relay.choose(relay_module.STORE_FIRST) is not None

    def test_a_far_peer_is_asked_when_no_neighbour_has_it(self) -> None:
        relay, roster = self.make(follows_store=False)
        hear(roster, 'f1', revision=4, domain='b')
        assert relay.choose(200 * MS) is None
        assert relay.choose(relay_module.STORE_FIRST) is not None

    def test_a_configuration_crosses_packed(self) -> None:
        relay, _ = self.make(follows_store=True)
        body = b'{"routes":[%s]}' % (b'[1,2,3],' * 5000)
        record = dataclasses.replace(make_config(make_rule()), body=body)
        packed = relay.pack(record)
        assert len(packed) < len(body) / 10
        assert relay.pack(record) is packed
        assert relay_module.unpack(packed) == body

    @pytest.mark.parametrize(
        'spoiled', [b'', b'no zlib', zlib.compress(b'x')[:-2]]
    )
    def test_a_spoiled_configuration_is_refused(self, spoiled: bytes) -> None:
        with pytest.raises(PeerGarbledError):
            relay_module.unpack(spoiled)
