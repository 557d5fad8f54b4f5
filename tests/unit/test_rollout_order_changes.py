"""Orders that change while a status, or a beacon, of an earlier one is late.

Guards against a state of one order that acts on another: a late "completed" of
a replaced order hands all requests to a version that was never tried, and a
late "rolled back" takes back a version that is good.
"""

import asyncio
import contextlib
import dataclasses
import datetime as dt
from collections.abc import Callable
from random import Random

import msgspec
import pytest

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.fleet.beacons import Beacon
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.models.store_revisions import get_version
from bluebellslip._internal.rollouts.coordinator import RolloutCoordinator
from bluebellslip._internal.rollouts.plan import DECISION_DEADLINE
from bluebellslip._internal.rollouts.rollout import Rollout
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip_platform.store import PlatformStore
from lib.fleet import ORDERS, SECOND, make_beacon, make_endpoint
from lib.table_store import TableStore

_DURATION_S = 10
_NODES = 3
_ROW = ('op', 'rollout/orders')
_STATUS_ROW = ('status', 'rollout/orders')
_SECOND_ORDERS = {
    'another version': ('v3',),
    'the same version': ('v2',),
    'back and forth': ('v3', 'v2'),
    'withdrawn and given again': (None, 'v2'),
}


@dataclasses.dataclass
class Node:
    """One node's tracker and coordinator."""

    tracker: RolloutTracker
    coordinator: RolloutCoordinator
    store: PlatformStore

    async def read_orders(self) -> None:
        update = await self.store.read_desired_state()
        if not update.rollouts:
            self.tracker.withdraw(ORDERS)
        for order in update.rollouts:
            self.tracker.add_order(order, dt.timedelta())

    async def step(self) -> None:
        self.tracker.refresh()
        for rollout in tuple(self.tracker.rollouts):
            with contextlib.suppress(BluebellError):
                await self.coordinator._reconcile(rollout)

    def make_beacon(self, sequence: int) -> Beacon:
        return msgspec.structs.replace(
            make_beacon(self.tracker.node, sequence),
            rollouts=self.tracker.make_beacons(None),
        )


class World:
    """Three nodes, the store, and what is under way between them."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.clock = ManualClock()
        self.table = TableStore()
        self.beacons: list[Beacon] = []
        self.sequence = 0
        self.replacements = 0
        self.nodes = [self._make_node(f'n{rank}') for rank in range(_NODES)]

    def order(self, target: str | None) -> None:
        if target is None:
            self.table.delete(*_ROW)
            return
        self.table.put(
            *_ROW,
            {
                'service': ORDERS,
                'target': target,
                'duration_s': _DURATION_S,
            },
        )

    async def read_all(self) -> None:
        for node in self.nodes:
            await node.read_orders()

    async def step_all(self) -> None:
        for node in self.nodes:
            await node.step()

    async def read_orders(self) -> None:
        await self.random.choice(self.nodes).read_orders()

    async def step(self) -> None:
        await self.random.choice(self.nodes).step()

    async def send_beacon(self) -> None:
        self.sequence += 1
        node = self.random.choice(self.nodes)
        self.beacons.append(node.make_beacon(self.sequence))

    async def deliver_beacon(self) -> None:
        if self.beacons:
            beacon = self.random.choice(self.beacons)
            self.random.choice(self.nodes).tracker.apply_beacon(beacon)

    async def perform_late_write(self) -> None:
        if self.table.lost_writes:
            self.table.lost_writes.pop(0)()

    def list_current(self) -> list[Rollout]:
        """Return the roll-outs of the order that the store has now."""
        version = self.table.find_version(*_ROW)
        return [
            rollout
            for node in self.nodes
            for rollout in node.tracker.rollouts
            if get_version(rollout.order.revision) == version
        ]

    def _count_replacement(self) -> None:
        self.replacements += 1

    def _make_node(self, name: str) -> Node:
        endpoints = [
            make_endpoint('a'),
            make_endpoint('b', version='v2'),
            make_endpoint('c', version='v3'),
        ]
        tracker = RolloutTracker(
            self.clock, NodeId(name), 1, 0.1, lambda service: endpoints
        )
        store = PlatformStore(self.table)
        coordinator = RolloutCoordinator(
            self.clock,
            tracker,
            store,
            int,
            lambda: None,
            self._count_replacement,
        )
        return Node(tracker, coordinator, store)


async def explore(
    seed: int, state: RolloutState, targets: tuple[str | None, ...]
) -> None:
    """End the first order late, replace it, and do the rest in any order."""
    world = World(seed)
    world.order('v2')
    await world.read_all()
    await world.step_all()
    await world.step_all()
    for _ in range(world.random.randrange(3)):
        await world.send_beacon()
    if state is RolloutState.COMPLETED:
        world.clock.advance(_DURATION_S * DECISION_DEADLINE * SECOND)
    else:
        for node in world.nodes:
            node.tracker.find(ORDERS).is_bad = True
    world.table.loses_writes = True
    for _ in range(world.random.randrange(1, 3)):
        await world.step()
        await world.send_beacon()
    world.table.loses_writes = bool(world.random.getrandbits(1))
    for target in targets:
        world.order(target)
        await _act(world, world.random.randrange(6))
    world.table.loses_writes = False
    await _act(world, 12)
    while world.table.lost_writes:
        await world.perform_late_write()
    await world.read_all()
    for _ in range(3):
        await world.step_all()
    check(world)


async def _act(world: World, count: int) -> None:
    actions: list[Callable] = [
        world.read_orders,
        world.step,
        world.send_beacon,
        world.deliver_beacon,
        world.perform_late_write,
    ]
    for _ in range(count):
        await world.random.choice(actions)()
        check(world)


def check(world: World) -> None:
    """The latest order has just been given, so nothing can have ended it."""
    for rollout in world.list_current():
        assert rollout.is_running, rollout
        assert not rollout.is_bad, rollout


@pytest.mark.parametrize('name', _SECOND_ORDERS)
@pytest.mark.parametrize(
    'state', [RolloutState.COMPLETED, RolloutState.ROLLED_BACK]
)
def test_end_of_an_earlier_order_never_ends_a_later_one(
    name: str, state: RolloutState
) -> None:
    async def run() -> None:
        for seed in range(150):
            await explore(seed, state, _SECOND_ORDERS[name])

    asyncio.run(run())


async def _run_world(world: World, steps: int = 3) -> None:
    await world.read_all()
    for _ in range(steps):
        await world.step_all()


@pytest.mark.parametrize('target', [None, 'v3'])
def test_write_for_a_replaced_order_is_not_repeated(target: str | None) -> None:
    """The node asks for the new order instead, once."""
    world = World(1)
    world.order('v2')
    asyncio.run(_run_world(world))
    world.clock.advance(_DURATION_S * DECISION_DEADLINE * SECOND)
    world.order(target)
    version = world.table.version
    for _ in range(5):
        asyncio.run(world.step_all())
    assert world.table.version == version
    assert world.replacements == _NODES


@pytest.mark.parametrize(
    'body', [b'', b'\xff', b'{"state": 5}', b'{"target":"v2","state":"odd"}']
)
def test_status_that_cannot_be_read_is_replaced(body: bytes) -> None:
    world = World(1)
    world.order('v2')
    asyncio.run(_run_world(world))
    world.table.put_bytes(*_STATUS_ROW, body)
    world.clock.advance(_DURATION_S * DECISION_DEADLINE * SECOND)
    asyncio.run(_run_world(world))
    status = world.table.read(*_STATUS_ROW)
    assert status is not None
    assert status['state'] == 'completed'


def test_status_that_another_program_removed_is_written_again() -> None:
    world = World(1)
    world.order('v2')
    asyncio.run(_run_world(world))
    world.table.delete(*_STATUS_ROW)
    world.clock.advance(_DURATION_S * DECISION_DEADLINE * SECOND)
    asyncio.run(_run_world(world))
    status = world.table.read(*_STATUS_ROW)
    assert status is not None
    assert status['state'] == 'completed'


@pytest.mark.parametrize('order_ver', [None, 0, 10**9])
def test_status_of_another_writer_does_not_end_a_rollout(
    order_ver: int | None,
) -> None:
    world = World(1)
    world.order('v2')
    asyncio.run(world.read_all())
    status = {'target': 'v9', 'state': 'completed', 'service': ORDERS}
    if order_ver is not None:
        status |= {'target': 'v2', 'order_ver': order_ver}
    world.table.put(*_STATUS_ROW, status)
    asyncio.run(_run_world(world))
    check(world)
    found = world.table.read(*_STATUS_ROW)
    assert found is not None
    assert (found['target'], found['state']) == ('v2', 'running')
