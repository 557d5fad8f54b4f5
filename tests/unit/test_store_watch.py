"""Requests of a node that watches the store while changes come.

Guards against a change that waits for a pause after the one before, and against
a request for each of many changes.
"""

import asyncio
import datetime as dt
from random import Random

from bluebellslip._internal.control.desired_state import (
    MIN_REQUEST_INTERVAL,
    DesiredStateWatcher,
)
from bluebellslip._internal.control.ports import DesiredStateUpdate
from bluebellslip._internal.control.store_health import StoreHealth
from lib.fleet import MS, SECOND
from lib.virtual_time import run_in_virtual_time


class BurstStore:
    """Has a change every ``gap``, and responds to a watch with the next one."""

    def __init__(self, gap: dt.timedelta, count: int) -> None:
        self.gap = gap.total_seconds()
        self.count = count
        self.requests = 0

    @property
    def newest(self) -> int:
        elapsed = asyncio.get_running_loop().time()
        return min(self.count, int(elapsed / self.gap))

    async def read_desired_state(self) -> DesiredStateUpdate:
        self.requests += 1
        return DesiredStateUpdate(None, (), (), self.newest)

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        self.requests += 1
        while position >= self.newest:
            await asyncio.sleep(self.gap / 10)
        return DesiredStateUpdate(None, (), (), self.newest)


def watch_burst(store: BurstStore, seconds: float) -> list[float]:
    """Return when the changes of a store were applied."""
    applied: list[float] = []
    positions = [0]

    def apply(update: DesiredStateUpdate) -> bool:
        is_new = update.position > positions[-1]
        if is_new:
            positions.append(update.position)
            applied.append(asyncio.get_running_loop().time())
        return is_new

    async def run() -> None:
        watcher = DesiredStateWatcher(
            store,  # type: ignore[arg-type]
            Random(1),
            StoreHealth(),
            lambda: True,
            apply,
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(seconds)
        task.cancel()

    run_in_virtual_time(run)
    assert positions[-1] == store.count
    return applied


def test_requests_are_bounded_while_changes_come_in_quick_succession() -> None:
    store = BurstStore(40 * MS, count=100)
    watch_burst(store, 5)
    assert store.requests <= 4 * SECOND / MIN_REQUEST_INTERVAL + 4


def test_a_change_is_not_delayed_by_the_one_before() -> None:
    gap = 600 * MS
    store = BurstStore(gap, count=8)
    applied = watch_burst(store, 6)
    assert len(applied) == 8
    for number, time in enumerate(applied, start=1):
        assert dt.timedelta(seconds=time) - number * gap < 100 * MS
    # One for each change, the first read and the pending watch.
    assert store.requests == 10
