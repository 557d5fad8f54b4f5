"""News of peers: when the store is asked anew, and when a peer is asked."""

import asyncio
import dataclasses
import datetime as dt
from random import Random

import msgspec

from bluebellslip._internal.control.health import StoreHealth
from bluebellslip._internal.control.orders import OrdersWatcher
from bluebellslip._internal.control.ports import Orders
from bluebellslip._internal.fleet.beacons import Reach
from bluebellslip._internal.fleet.lighthouse import BeaconSource, Lighthouse
from bluebellslip._internal.fleet.roster import (
    FAR_PEERS_PER_TURN,
    SILENT_AFTER,
    Roster,
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
from bluebellslip._internal.nodes.news import QUIET_LIMIT, NewsDesk
from bluebellslip._internal.rollouts.book import RolloutBook
from lib.fleet import MS, ORDERS, SECOND, make_beacon, make_config, make_rule

_SENDER = Address('10.0.0.9', 7620)


class CountingWatcher(OrdersWatcher):
    """Counts how often it is told to hurry."""

    def __init__(self) -> None:
        self.hurries = 0

    def hurry(self) -> None:
        self.hurries += 1


def make_desk(
    clock: ManualClock,
) -> tuple[NewsDesk, ConfigHolder, CountingWatcher]:
    roster = Roster(clock, NodeId('me'), 'a')
    holder = ConfigHolder(Random(1))
    lighthouse = Lighthouse(
        NodeId('me'),
        Locality('north', 'a'),
        _SENDER,
        _SENDER,
        roster,
        BeaconSource(),
        Random(1),
        InMemoryCounters(),
    )
    book = RolloutBook(clock, NodeId('me'), 1, 0.1, roster.endpoints)
    desk = NewsDesk(clock, holder, book, lighthouse, bool)
    watcher = CountingWatcher()
    desk.follow(watcher)
    return desk, holder, watcher


def test_answer_on_its_way_is_not_cut_off_by_news() -> None:
    clock = ManualClock()
    desk, holder, watcher = make_desk(clock)
    for revision in range(1, 20):
        desk.hear(make_beacon('one', revision, revision=revision))
        clock.advance(200 * MS)
        if revision % 4 == 0:
            record = make_config(make_rule(), revision=revision - 1)
            holder.offer(record, 'store')
    assert watcher.hurries == 0


def test_silent_question_is_asked_anew_when_peers_are_ahead() -> None:
    clock = ManualClock()
    desk, _, watcher = make_desk(clock)
    desk.hear(make_beacon('one', 1, revision=5))
    clock.advance(QUIET_LIMIT)
    desk.hear(make_beacon('one', 2, revision=5))
    assert watcher.hurries == 1


def test_hurry_asks_again_at_once() -> None:
    asked: list[int] = []

    class Store:
        async def read_orders(self) -> None:
            asked.append(1)
            await asyncio.sleep(60)

    async def run() -> None:
        watcher = OrdersWatcher(
            Store(),  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: True,
            lambda orders: False,
        )
        task = asyncio.create_task(watcher.run())
        for _ in range(3):
            await asyncio.sleep(0)
        watcher.hurry()
        for _ in range(6):
            await asyncio.sleep(0)
        task.cancel()

    asyncio.run(run())
    assert len(asked) == 2


def test_far_peers_of_a_large_mesh_may_be_quiet_for_longer() -> None:
    clock = ManualClock()
    roster = Roster(clock, NodeId('me'), 'a')
    for number in range(3 * FAR_PEERS_PER_TURN):
        domain = 'a' if number % 4 == 0 else 'b'
        beacon = make_beacon(f'n{number}', domain=domain)
        roster.hear(beacon)
    assert roster.far_turns == 3
    late_far = roster.hear(
        make_beacon('far', domain='b', reach=Reach.PASSED_ON)
    )
    late_near = roster.hear(make_beacon('near', domain='a'))
    assert late_far is not None
    assert late_near is not None
    assert late_near.silent_after == SILENT_AFTER
    assert late_far.silent_after > 5 * SILENT_AFTER


def test_order_that_is_missing_from_all_that_is_wanted_is_gone() -> None:
    desk, _, _ = make_desk(ManualClock())
    order = RolloutOrder(ORDERS, VersionName('v2'), 15 * SECOND, 7)
    assert desk.take_orders(Orders(None, (order,), (), 8, is_whole=True))
    assert not desk.take_orders(Orders(None, (order,), (), 9, is_whole=True))
    assert not desk.take_orders(Orders(None, (), (), 10))
    assert desk.take_orders(Orders(None, (), (), 11, is_whole=True))
    assert not desk.take_orders(Orders(None, (), (), 12, is_whole=True))


def test_an_order_taken_back_is_not_brought_back_by_peers() -> None:
    clock = ManualClock()
    order = RolloutOrder(ORDERS, VersionName('v2'), 15 * SECOND, 7)
    books = [
        RolloutBook(clock, NodeId(node), 1, 0.1, lambda service: ())
        for node in ('me', 'one')
    ]
    for book in books:
        book.order(order, dt.timedelta())
    told = books[1].tell(None)
    books[0].withdraw(ORDERS)
    beacon = make_beacon('one')
    books[0].hear(msgspec.structs.replace(beacon, rollouts=told))
    assert books[0].find(ORDERS) is None
    books[0].order(dataclasses.replace(order, revision=8), dt.timedelta())
    assert books[0].find(ORDERS) is not None
