"""Tests of the account of the bytes that wait.

They guard against sums that drift, against giving up more than is needed, and
against a shortage that nothing ends.
"""

import datetime as dt

import pytest

from bluebellslip._internal.calls.memory_budget import (
    MEGABYTE,
    MIN_REQUESTS,
    Holder,
    MemoryBudget,
    Stall,
)
from bluebellslip._internal.calls.memory_levels import Level
from bluebellslip._internal.calls.memory_shares import (
    CONNECTION_BYTES,
    REQUEST_BYTES,
    ConnectionMemory,
    RequestMemory,
)
from bluebellslip._internal.calls.resident_memory import ProcessMonitor
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters

_LIMIT = 1000


class _Connection:
    """A connection that holds bytes of a body."""

    def __init__(
        self, budget: MemoryBudget, size: int, stall: Stall | None, since: float
    ) -> None:
        self.stall = None if stall is None else (stall, since)
        self.is_closed = False
        self.adapted = 0
        self._memory = RequestMemory(budget)
        budget.members.add(self)
        self._memory.add(Holder.BODIES, size)

    def adapt_to_memory(self) -> None:
        self.adapted += 1

    def close_stalled(self, reason: str) -> None:
        assert reason == 'memory'
        self.is_closed = True
        self.stall = None
        self._memory.release()


def test_level_follows_the_sum_with_hysteresis() -> None:
    budget = MemoryBudget(_LIMIT)
    memory = RequestMemory(budget)
    levels = []
    for change in (499, 1, 200, -50, -51, -200, 0, 10, -12):
        memory.add(Holder.BODIES, change)
        levels.append(budget.level)
    # 499, 500, 700, 650, 599, 399, 399, 409, 397
    assert levels == [
        Level.NORMAL,
        Level.NO_COPIES,
        Level.NO_NEW_BODIES,
        Level.NO_NEW_BODIES,
        Level.NO_COPIES,
        Level.NORMAL,
        Level.NORMAL,
        Level.NORMAL,
        Level.NORMAL,
    ]


def test_level_says_what_is_given_up() -> None:
    budget = MemoryBudget(_LIMIT)
    budget.add(Holder.BODIES, 500)
    assert not budget.keeps_copies
    assert budget.accepts_bodies
    budget.add(Holder.BODIES, 200)
    assert not budget.accepts_bodies
    earlier = MemoryBudget().limits
    assert budget.limits.buffered_bytes < earlier.buffered_bytes


def test_every_connection_adapts_to_a_change_of_the_level() -> None:
    budget = MemoryBudget(_LIMIT)
    first = _Connection(budget, 400, None, 0)
    second = _Connection(budget, 200, None, 0)
    assert first.adapted == 1
    second.close_stalled('memory')
    _Connection(budget, 300, None, 0)
    assert first.adapted == 2


def test_longest_stalls_are_closed_until_bodies_are_accepted() -> None:
    budget = MemoryBudget(_LIMIT)
    idle = _Connection(budget, 0, Stall.IDLE, 0)
    busy = _Connection(budget, 200, None, 0)
    paused = _Connection(budget, 200, Stall.PAUSED, 1)
    output = _Connection(budget, 200, Stall.OUTPUT, 2)
    late = _Connection(budget, 100, Stall.INPUT, 4)
    early = _Connection(budget, 140, Stall.INPUT, 3)
    last = _Connection(budget, 60, Stall.INPUT, 5)
    closed = [early, late]
    kept = [idle, busy, paused, output, last]
    assert all(connection.is_closed for connection in closed)
    assert not any(connection.is_closed for connection in kept)
    assert budget.used == 660


def test_shortage_without_stalls_closes_nothing_and_ends() -> None:
    budget = MemoryBudget(_LIMIT)
    busy = _Connection(budget, 2000, None, 0)
    memory = RequestMemory(budget)
    memory.add(Holder.BODIES, 100)
    assert budget.level is Level.CLOSING
    assert not busy.is_closed
    memory.release()
    busy.close_stalled('memory')
    assert budget.level is Level.NORMAL
    assert budget.used == 0


def test_request_releases_all_and_counts_nothing_afterwards() -> None:
    budget = MemoryBudget(_LIMIT)
    memory = RequestMemory(budget)
    memory.add(Holder.BODIES, 100)
    memory.add(Holder.REPLAYS, 50)
    memory.clear(Holder.REPLAYS)
    assert budget.used == 100
    memory.release()
    memory.add(Holder.BODIES, -100)
    assert budget.used == 0
    assert not any(budget.read(holder) for holder in Holder)


def test_connection_is_counted_once() -> None:
    budget = MemoryBudget(MEGABYTE)
    connection = _Connection(budget, 0, None, 0)
    memory = ConnectionMemory(budget, connection)
    memory.update_heads(300)
    memory.update_heads(200)
    memory.update_output(70)
    assert budget.used == CONNECTION_BYTES + 270
    memory.release()
    memory.release()
    assert budget.used == 0


@pytest.mark.parametrize(
    ('memory_mb', 'limit_mb'), [(None, 32), (200, 32), (555, 103), (41, 4)]
)
def test_limit_follows_the_memory_of_the_instance(
    memory_mb: int | None, limit_mb: int
) -> None:
    budget = MemoryBudget.from_memory(memory_mb, InMemoryCounters())
    levels = []
    for percent in (77, 7, 3):
        budget.add(Holder.BODIES, percent * limit_mb * MEGABYTE // 100)
        levels.append(budget.level)
    # 77, 84 and 87 percent
    assert levels == [
        Level.NO_NEW_BODIES,
        Level.NO_NEW_REQUESTS,
        Level.CLOSING,
    ]


def test_requests_are_refused_in_a_shortage_but_for_a_few() -> None:
    budget = MemoryBudget(_LIMIT)
    memories = [RequestMemory(budget) for _ in range(MIN_REQUESTS + 2)]
    assert memories.pop().admit()
    budget.add(Holder.BODIES, 780)
    admitted = [memory.admit() for memory in memories]
    assert admitted.count(True) == MIN_REQUESTS - 1
    assert admitted[-2:] == [False, False]
    memories[0].release()
    memories[0].release()
    assert RequestMemory(budget).admit()
    assert not budget.admits_requests


def test_request_without_a_body_is_counted() -> None:
    budget = MemoryBudget(MEGABYTE)
    small = RequestMemory.for_request(budget, 100)
    large = RequestMemory.for_request(budget, 20_000)
    assert budget.read(Holder.REQUESTS) == 2 * REQUEST_BYTES
    assert budget.read(Holder.HEADS) == 20_000
    small.release()
    large.release()
    assert budget.used == 0


class _Process:
    """A process whose resident memory the test sets."""

    def __init__(self, resident: int) -> None:
        self.resident: int | None = resident
        self.reclaimable = 0
        self.reclaimed = 0

    def read(self) -> int | None:
        return self.resident

    def reclaim(self) -> None:
        self.reclaimed += 1
        assert self.resident is not None
        self.resident -= self.reclaimable
        self.reclaimable = 0


_SIZE = 200


class _Instance:
    """An instance with 200 MB, whose process takes 30 MB at first."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.process = _Process(30 * MEGABYTE)
        monitor = ProcessMonitor(self.process, _SIZE * MEGABYTE, self.clock)
        self.budget = MemoryBudget(64 * MEGABYTE, monitor=monitor)
        self.budget.check_resident()

    def grow_to(self, megabytes: int) -> Level:
        """Set the resident memory; return the level that follows."""
        self.process.resident = megabytes * MEGABYTE
        self.clock.advance(dt.timedelta(seconds=2))
        self.budget.check_resident()
        return self.budget.level


def test_level_follows_the_resident_memory() -> None:
    """Memory that no holder counts would end the process."""
    instance = _Instance()
    # Enough to explain all of it, so nothing passes for the process's own.
    instance.budget.add(Holder.REQUESTS, 30 * MEGABYTE)
    # The process takes 30 MB, and 150 MB are left of what may be used.
    levels = [instance.grow_to(size) for size in (104, 106, 136, 148, 158)]
    assert levels == list(Level)
    assert instance.grow_to(60) is Level.NORMAL


def test_freed_memory_is_returned_before_anything_is_given_up() -> None:
    instance = _Instance()
    instance.budget.add(Holder.REQUESTS, 30 * MEGABYTE)
    instance.process.reclaimable = 100 * MEGABYTE
    assert instance.grow_to(150) is Level.NORMAL
    assert instance.process.reclaimed == 1


def test_freed_memory_is_not_returned_at_each_reading() -> None:
    instance = _Instance()
    instance.budget.add(Holder.REQUESTS, 30 * MEGABYTE)
    instance.grow_to(150)
    for _ in range(5):
        instance.clock.advance(dt.timedelta(milliseconds=100))
        instance.budget.check_resident()
    assert instance.process.reclaimed == 1


def test_memory_that_can_not_be_freed_is_seldom_tried() -> None:
    instance = _Instance()
    instance.budget.add(Holder.REQUESTS, 30 * MEGABYTE)
    for _ in range(8):
        assert instance.grow_to(150) > Level.NORMAL
    # 16 seconds
    assert instance.process.reclaimed == 2


def test_memory_that_stays_high_without_callers_refuses_nobody() -> None:
    instance = _Instance()
    assert instance.grow_to(140) is Level.NORMAL
    assert instance.budget.admits_requests


def test_memory_that_nobody_counts_is_limited() -> None:
    """It passes for the process's own only up to 120 MB."""
    instance = _Instance()
    levels = [instance.grow_to(size) for size in (140, 163, 168, 172)]
    assert levels == [
        Level.NORMAL,
        Level.NO_NEW_BODIES,
        Level.NO_NEW_REQUESTS,
        Level.CLOSING,
    ]


def test_resident_memory_is_read_again_after_input() -> None:
    instance = _Instance()
    instance.process.resident = 170 * MEGABYTE
    instance.budget.add(Holder.REQUESTS, 30 * MEGABYTE)
    instance.clock.advance(dt.timedelta(seconds=2))
    instance.budget.record_input(MEGABYTE - 1)
    assert instance.budget.level is Level.NORMAL
    instance.budget.record_input(1)
    assert instance.budget.level >= Level.NO_NEW_BODIES


def test_unknown_resident_memory_leaves_the_account() -> None:
    instance = _Instance()
    instance.process.resident = None
    instance.budget.check_resident()
    assert instance.budget.level is Level.NORMAL
    instance.budget.add(Holder.BODIES, 52 * MEGABYTE)
    assert instance.budget.level is Level.NO_NEW_REQUESTS


def test_connections_are_closed_for_the_resident_memory() -> None:
    """As many as hold what there is too much of."""
    instance = _Instance()
    budget = instance.budget
    members = [
        _Connection(budget, 8 * MEGABYTE, Stall.INPUT, since)
        for since in range(4)
    ]
    # Bodies are accepted again from 135 MB on.
    instance.grow_to(160)
    assert all(member.is_closed for member in members)


@pytest.mark.parametrize(
    ('memory_mb', 'level'), [(None, Level.NORMAL), (200, Level.CLOSING)]
)
def test_guess_of_the_memory_refuses_requests(
    memory_mb: int | None, level: Level
) -> None:
    """The process takes more than the memory that the account assumes."""
    process = _Process(30 * MEGABYTE)
    budget = MemoryBudget.from_memory(
        memory_mb,
        InMemoryCounters(),
        lambda size: ProcessMonitor(process, size, ManualClock()),
    )
    process.resident = 300 * MEGABYTE
    budget.check_resident()
    assert budget.level is level
