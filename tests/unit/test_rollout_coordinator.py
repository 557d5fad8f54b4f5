"""Each status of a roll-out is written once, whatever faults the store has.

Several nodes may write a status, and a write whose response is lost may have
taken effect. Guards against a roll-out that is recorded as both completed and
rolled back, or that stops when the node that writes its statuses dies.
"""

import asyncio
import datetime as dt
from random import Random

import pytest

from bluebellslip._internal.control.ports import (
    DesiredStateUpdate,
    NodeRegistration,
    StatusChange,
)
from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import NodeId, VersionName
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.rollouts.coordinator import (
    TAKEOVER_DELAY,
    RolloutCoordinator,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from lib.fleet import MS, ORDERS, SECOND, make_endpoint

_ORDER = RolloutOrder(ORDERS, VersionName('v2'), 10 * SECOND, 7)


class FakeStatusStore:
    """Holds one status row; randomly loses responses and refuses calls."""

    def __init__(
        self, random: Random, loss_rate: float, failure_rate: float
    ) -> None:
        self._random = random
        self._loss_rate = loss_rate
        self._failure_rate = failure_rate
        self._revision = 7
        self.row: RolloutStatus | None = None
        self.written_states: list[RolloutState] = []

    async def read_statuses(self) -> tuple[RolloutStatus, ...]:
        self._fail_randomly()
        return () if self.row is None else (self.row,)

    async def store_status(self, change: StatusChange) -> RolloutStatus:
        self._fail_randomly()
        current_revision = 0 if self.row is None else self.row.revision
        if change.revision != current_revision:
            assert self.row is not None
            return self.row
        self._revision += 1
        self.row = RolloutStatus(
            ORDERS, change.order.target, change.state, self._revision
        )
        self.written_states.append(change.state)
        if self._random.random() < self._loss_rate:
            raise PlatformOutcomeUnknownError('lost')
        return self.row

    async def read_desired_state(self) -> DesiredStateUpdate:
        raise NotImplementedError

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        raise NotImplementedError

    async def read_nodes(self) -> tuple[NodeRegistration, ...]:
        raise NotImplementedError

    async def register_node(self, entry: NodeRegistration) -> None:
        raise NotImplementedError

    async def deregister_node(self, node: NodeId) -> None:
        raise NotImplementedError

    def _fail_randomly(self) -> None:
        if self._random.random() < self._failure_rate:
            raise PlatformDownError('refused')


class CoordinatorNode:
    """One node's roll-out tracker and coordinator."""

    def __init__(
        self, rank: int, clock: ManualClock, store: FakeStatusStore
    ) -> None:
        self.endpoints: list[Endpoint] = [
            make_endpoint('a'),
            make_endpoint('b', version='v2'),
        ]
        self.tracker = RolloutTracker(
            clock, NodeId(f'n{rank}'), 1, 0.1, lambda service: self.endpoints
        )
        self.tracker.is_loaded = True
        self.rollout = self.tracker.add_order(_ORDER, dt.timedelta())
        self.is_down = False
        self.coordinator = RolloutCoordinator(
            clock, self.tracker, store, lambda: rank, lambda: None, lambda: None
        )

    async def step(self) -> None:
        if self.is_down:
            return
        self.tracker.refresh()
        try:
            await self.coordinator._reconcile(self.rollout)
        except (PlatformDownError, PlatformOutcomeUnknownError):
            return


def run_steps(
    clock: ManualClock,
    nodes: list[CoordinatorNode],
    random: Random,
    steps: int = 80,
) -> None:
    async def run() -> None:
        for _ in range(steps):
            clock.advance(250 * MS)
            for node in random.sample(nodes, len(nodes)):
                await node.step()

    asyncio.run(run())


def make_nodes(
    seed: int, *, loss_rate: float = 0, failure_rate: float = 0, count: int = 3
) -> tuple[ManualClock, FakeStatusStore, list[CoordinatorNode], Random]:
    clock, random = ManualClock(), Random(seed)
    store = FakeStatusStore(random, loss_rate, failure_rate)
    nodes = [CoordinatorNode(rank, clock, store) for rank in range(count)]
    return clock, store, nodes, random


@pytest.mark.parametrize('seed', range(20))
def test_completed_and_rolled_back_are_never_both_written(seed: int) -> None:
    """One node finds the version bad; others would complete the roll-out."""
    clock, store, nodes, random = make_nodes(
        seed, loss_rate=0.3, failure_rate=0.3
    )
    nodes[seed % 3].rollout.is_bad = True
    run_steps(clock, nodes, random)
    assert len([state for state in store.written_states if state.is_final]) == 1
    assert store.written_states[-1].is_final
    assert store.written_states.count(RolloutState.RUNNING) <= 1


@pytest.mark.parametrize('seed', range(5))
def test_first_live_node_writes_the_status_only_once(
    seed: int,
) -> None:
    clock, store, nodes, random = make_nodes(seed)
    run_steps(clock, nodes[:1], random, steps=1)
    run_steps(clock, nodes[:1], random, steps=1)
    assert store.written_states == [RolloutState.RUNNING]


@pytest.mark.parametrize('seed', range(5))
def test_next_node_takes_over_from_a_dead_one(seed: int) -> None:
    clock, store, nodes, random = make_nodes(seed)
    nodes[0].is_down = True
    run_steps(clock, nodes, random)
    assert store.written_states[0] is RolloutState.RUNNING
    assert store.written_states[-1].is_final


def test_next_node_waits_for_the_takeover_delay() -> None:
    clock, store, nodes, random = make_nodes(1)
    nodes[0].is_down = True
    run_steps(clock, nodes[:2], random, steps=3)
    assert not store.written_states
    run_steps(
        clock, nodes[:2], random, steps=int(TAKEOVER_DELAY / (250 * MS)) + 1
    )
    assert store.written_states == [RolloutState.RUNNING]


def test_rollout_without_a_server_of_the_version_is_rolled_back_in_time() -> (
    None
):
    clock, store, nodes, random = make_nodes(1)
    for node in nodes:
        del node.endpoints[1]
    run_steps(clock, nodes, random, steps=40)
    assert store.written_states == [
        RolloutState.RUNNING,
        RolloutState.ROLLED_BACK,
    ]
