"""Limits on request bodies in transit over a narrow link."""

import asyncio
import datetime as dt
from collections.abc import Coroutine
from typing import Any

import pytest

from bluebellslip._internal.exceptions import OverloadedError
from bluebellslip._internal.proxy.body_transfers import (
    TRANSFER_WINDOW,
    BodyTransferLimiter,
)
from lib.fleet import MS, SECOND

_NARROW = 5.0  # megabits a second: 625 kB a second
_BODY = 60_000  # bytes
_BYTES_IN_WINDOW = 625_000 * TRANSFER_WINDOW.total_seconds()


def play(scene: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scene)


async def settle() -> None:
    for _ in range(5):
        await asyncio.sleep(0)


class Bodies:
    """Transfers that each last until their event is set."""

    def __init__(self, limiter: BodyTransferLimiter) -> None:
        self.limiter = limiter
        self.most = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.ends: list[asyncio.Event] = []

    def send(self, size: int = _BODY) -> None:
        end = asyncio.Event()
        self.ends.append(end)
        self.tasks.append(asyncio.create_task(self._cross(size, end)))

    async def _cross(self, size: int, end: asyncio.Event) -> None:
        async with self.limiter.reserve(size, 60 * SECOND):
            self.most = max(self.most, self.limiter.in_transit)
            await end.wait()


def test_burst_of_uploads_leaves_the_link_free_for_the_rest() -> None:
    async def scene() -> None:
        bodies = Bodies(BodyTransferLimiter(_NARROW))
        for _ in range(9):
            bodies.send()
        await settle()
        assert bodies.limiter.in_transit <= _BYTES_IN_WINDOW
        for end in bodies.ends:
            end.set()
            await settle()
        assert all(task.done() for task in bodies.tasks)
        assert bodies.most <= _BYTES_IN_WINDOW
        assert bodies.limiter.in_transit == 0

    play(scene())


def test_body_longer_than_the_window_crosses_alone() -> None:
    async def scene() -> None:
        bodies = Bodies(BodyTransferLimiter(_NARROW))
        bodies.send(10 * _BODY)
        bodies.send()
        await settle()
        assert bodies.limiter.in_transit == 10 * _BODY
        bodies.ends[0].set()
        await settle()
        assert bodies.limiter.in_transit == _BODY
        bodies.tasks[1].cancel()
        await settle()
        assert bodies.limiter.in_transit == 0

    play(scene())


def test_body_that_would_be_late_is_refused_at_once() -> None:
    async def scene() -> None:
        limiter = BodyTransferLimiter(_NARROW)
        bodies = Bodies(limiter)
        for _ in range(10):
            bodies.send()
        await settle()
        assert limiter.estimate_arrival(_BODY) > SECOND
        with pytest.raises(OverloadedError):
            limiter.reserve(_BODY, 500 * MS)
        limiter.reserve(_BODY, 2 * SECOND)
        for task in bodies.tasks:
            task.cancel()
        await settle()
        assert limiter.estimate_arrival(0) == dt.timedelta()

    play(scene())


def test_one_that_gave_up_waiting_takes_no_room() -> None:
    async def scene() -> None:
        bodies = Bodies(BodyTransferLimiter(_NARROW))
        for _ in range(4):
            bodies.send()
        await settle()
        bodies.tasks[3].cancel()
        bodies.tasks[0].cancel()
        await settle()
        assert bodies.limiter.in_transit == 2 * _BODY
        for task in bodies.tasks:
            task.cancel()
        await settle()
        assert bodies.limiter.in_transit == 0

    play(scene())


def test_slow_caller_holds_nobody_up(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(
        'bluebellslip._internal.proxy.body_transfers.MIN_SLOW_AFTER',
        dt.timedelta(),
    )

    async def scene() -> None:
        bodies = Bodies(BodyTransferLimiter(1000 * _NARROW))
        bodies.send(10 * _BODY)
        bodies.send()
        await asyncio.sleep(0.01)
        assert not any(task.done() for task in bodies.tasks)
        assert bodies.limiter.in_transit == 0
        for end in bodies.ends:
            end.set()
        await settle()
        assert bodies.limiter.in_transit == 0

    play(scene())


def test_long_body_on_a_narrow_link_is_no_slow_caller() -> None:
    async def scene() -> None:
        limiter = BodyTransferLimiter(_NARROW)
        bodies = Bodies(limiter)
        # The longest bodies take over half a second of the link.
        bodies.send(6 * _BODY)
        await settle()
        assert limiter.compute_slow_after() >= 2 * limiter.estimate_arrival(0)
        for task in bodies.tasks:
            task.cancel()
        await settle()

    play(scene())
