"""Where a roll-out stands is said once, whatever happens to the store."""

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


class FakeStore:
    """One status row; answers are lost, and calls refused, by chance."""

    def __init__(self, random: Random, lost: float, refused: float) -> None:
        self._random = random
        self._lost = lost
        self._refused = refused
        self._revision = 7
        self.row: RolloutStatus | None = None
        self.said: list[RolloutState] = []

    async def read_statuses(self) -> tuple[RolloutStatus, ...]:
        self._fail()
        return () if self.row is None else (self.row,)

    async def store_status(self, change: StatusChange) -> RolloutStatus:
        self._fail()
        standing = 0 if self.row is None else self.row.revision
        if change.revision != standing:
            assert self.row is not None
            return self.row
        self._revision += 1
        self.row = RolloutStatus(
            ORDERS, change.order.target, change.state, self._revision
        )
        self.said.append(change.state)
        if self._random.random() < self._lost:
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

    def _fail(self) -> None:
        if self._random.random() < self._refused:
            raise PlatformDownError('refused')


class Member:
    """One node's part: its book and its steward."""

    def __init__(self, rank: int, clock: ManualClock, store: FakeStore) -> None:
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
            clock, self.tracker, store, lambda: rank, lambda: None
        )

    async def step(self) -> None:
        if self.is_down:
            return
        self.tracker.refresh()
        try:
            await self.coordinator._reconcile(self.rollout)
        except (PlatformDownError, PlatformOutcomeUnknownError):
            return


def play(
    clock: ManualClock, members: list[Member], random: Random, steps: int = 80
) -> None:
    async def run() -> None:
        for _ in range(steps):
            clock.advance(250 * MS)
            for member in random.sample(members, len(members)):
                await member.step()

    asyncio.run(run())


def make_members(
    seed: int, *, lost: float = 0, refused: float = 0, count: int = 3
) -> tuple[ManualClock, FakeStore, list[Member], Random]:
    clock, random = ManualClock(), Random(seed)
    store = FakeStore(random, lost, refused)
    members = [Member(rank, clock, store) for rank in range(count)]
    return clock, store, members, random


@pytest.mark.parametrize('seed', range(20))
def test_done_and_rolled_back_are_never_both_said(seed: int) -> None:
    """One node finds the version bad while the others hold it for good."""
    clock, store, members, random = make_members(seed, lost=0.3, refused=0.3)
    members[seed % 3].rollout.is_bad = True
    play(clock, members, random)
    assert len([state for state in store.said if state.is_final]) == 1
    assert store.said[-1].is_final
    assert store.said.count(RolloutState.RUNNING) <= 1


@pytest.mark.parametrize('seed', range(5))
def test_first_living_node_says_it_and_the_others_leave_it_alone(
    seed: int,
) -> None:
    clock, store, members, random = make_members(seed)
    play(clock, members[:1], random, steps=1)
    play(clock, members[:1], random, steps=1)
    assert store.said == [RolloutState.RUNNING]


@pytest.mark.parametrize('seed', range(5))
def test_next_node_takes_over_from_a_dead_one(seed: int) -> None:
    clock, store, members, random = make_members(seed)
    members[0].is_down = True
    play(clock, members, random)
    assert store.said[0] is RolloutState.RUNNING
    assert store.said[-1].is_final


def test_next_node_waits_for_its_turn() -> None:
    clock, store, members, random = make_members(1)
    members[0].is_down = True
    play(clock, members[:2], random, steps=3)
    assert not store.said
    play(clock, members[:2], random, steps=int(TAKEOVER_DELAY / (250 * MS)) + 1)
    assert store.said == [RolloutState.RUNNING]


def test_without_a_server_of_the_version_it_is_rolled_back_in_time() -> None:
    clock, store, members, random = make_members(1)
    for member in members:
        del member.endpoints[1]
    play(clock, members, random, steps=40)
    assert store.said == [RolloutState.RUNNING, RolloutState.ROLLED_BACK]
