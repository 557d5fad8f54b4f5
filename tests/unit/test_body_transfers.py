"""Limits on request bodies in transit over a narrow link.

The tests guard against bursts of uploads that fill the link and so delay all
other traffic of the node, and against slow callers or cancelled transfers that
keep the link's capacity from others.
"""

import asyncio
import datetime as dt
from collections.abc import Coroutine
from typing import Any

import pytest

from bluebellslip._internal.exceptions import DrainingError, OverloadedError
from bluebellslip._internal.proxy.body_transfers import (
    TRANSFER_WINDOW,
    BodyTransfer,
    BodyTransferLimiter,
)
from bluebellslip._internal.proxy.server_waits import ServerWaits
from lib.fleet import MS, SECOND
from lib.virtual_time import run_in_virtual_time

_NARROW_LINK_MBPS = 5.0  # 625 kB per second
_BODY_BYTES = 60_000
_MINUTE = 60 * SECOND
_BYTES_IN_WINDOW = 625_000 * TRANSFER_WINDOW.total_seconds()


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


async def yield_to_tasks() -> None:
    """Let other tasks run until they wait for something."""
    for _ in range(5):
        await asyncio.sleep(0)


def make_transfer(
    limiter: BodyTransferLimiter,
    size: int,
    time_left: dt.timedelta = _MINUTE,
) -> BodyTransfer:
    return limiter.make_transfer(size, _MINUTE, time_left)


class HeldTransfers:
    """Transfers that each last until their end event is set."""

    def __init__(self, limiter: BodyTransferLimiter) -> None:
        self.limiter = limiter
        self.max_in_transit = 0
        self.tasks: list[asyncio.Task[None]] = []
        self.end_events: list[asyncio.Event] = []

    def send(self, size: int = _BODY_BYTES) -> None:
        end_event = asyncio.Event()
        self.end_events.append(end_event)
        self.tasks.append(asyncio.create_task(self._transfer(size, end_event)))

    async def _transfer(self, size: int, end_event: asyncio.Event) -> None:
        async with make_transfer(self.limiter, size):
            self.max_in_transit = max(
                self.max_in_transit, self.limiter.in_transit
            )
            await end_event.wait()


def test_burst_of_uploads_does_not_fill_the_link() -> None:
    async def scenario() -> None:
        transfers = HeldTransfers(BodyTransferLimiter(_NARROW_LINK_MBPS))
        for _ in range(9):
            transfers.send()
        await yield_to_tasks()
        assert transfers.limiter.in_transit <= _BYTES_IN_WINDOW
        for end_event in transfers.end_events:
            end_event.set()
            await yield_to_tasks()
        assert all(task.done() for task in transfers.tasks)
        assert transfers.max_in_transit <= _BYTES_IN_WINDOW
        assert transfers.limiter.in_transit == 0

    run(scenario())


def test_body_larger_than_the_window_is_transferred_alone() -> None:
    async def scenario() -> None:
        transfers = HeldTransfers(BodyTransferLimiter(_NARROW_LINK_MBPS))
        transfers.send(10 * _BODY_BYTES)
        transfers.send()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 10 * _BODY_BYTES
        transfers.end_events[0].set()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == _BODY_BYTES
        transfers.tasks[1].cancel()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 0

    run(scenario())


def test_body_that_would_be_late_is_refused_at_once() -> None:
    async def scenario() -> None:
        limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
        transfers = HeldTransfers(limiter)
        for _ in range(10):
            transfers.send()
        await yield_to_tasks()
        assert limiter.estimate_arrival(_BODY_BYTES) > SECOND
        with pytest.raises(OverloadedError):
            limiter.make_transfer(_BODY_BYTES, 500 * MS, 60 * SECOND)
        with pytest.raises(OverloadedError):
            limiter.make_transfer(_BODY_BYTES, 60 * SECOND, 500 * MS)
        limiter.make_transfer(_BODY_BYTES, 2 * SECOND, 2 * SECOND)
        for task in transfers.tasks:
            task.cancel()
        await yield_to_tasks()
        assert limiter.estimate_arrival(0) == dt.timedelta()

    run(scenario())


def test_body_too_large_for_its_time_is_refused_on_an_idle_link() -> None:
    limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
    with pytest.raises(OverloadedError):
        make_transfer(limiter, 625_000, time_left=900 * MS)
    make_transfer(limiter, 625_000, time_left=SECOND)


def test_waiting_body_is_refused_as_soon_as_it_would_be_late() -> None:
    """The bodies ahead of it take longer than the rate of the link promises."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
        async with make_transfer(limiter, 375_000):
            transfer = make_transfer(limiter, 62_500, time_left=SECOND)
            with pytest.raises(OverloadedError):
                async with transfer:
                    raise AssertionError('the body was granted')
            # It needs 100 ms itself.
            assert loop.time() == pytest.approx(0.9)
            assert limiter.in_transit == 375_000
            assert limiter.estimate_arrival(0) == 600 * MS

    run_in_virtual_time(scenario)


async def receive_slowly(limiter: BodyTransferLimiter, size: int) -> None:
    """Receive bodies one after the other at a quarter of the link's rate."""
    while True:
        async with make_transfer(limiter, size):
            await asyncio.sleep(4 * size / 625_000)


def test_body_is_refused_early_if_the_link_is_slower_than_its_rate() -> None:
    """Other traffic, or the links of the senders, may take up the rest."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
        size = int(_BYTES_IN_WINDOW)  # takes 0.8 s here
        slow = [
            asyncio.create_task(receive_slowly(limiter, size)) for _ in range(8)
        ]
        await yield_to_tasks()
        assert limiter.estimate_arrival(size) < 2 * SECOND
        waiting = make_transfer(limiter, size, time_left=4 * SECOND)
        with pytest.raises(OverloadedError):
            async with waiting:
                raise AssertionError('the body was granted')
        assert loop.time() < 2
        with pytest.raises(OverloadedError):
            make_transfer(limiter, size, time_left=4 * SECOND)
        for task in slow:
            task.cancel()
        await yield_to_tasks()
        assert limiter.estimate_arrival(size) == 200 * MS

    run_in_virtual_time(scenario)


def test_body_that_is_refused_and_cancelled_takes_up_no_capacity() -> None:
    async def scenario() -> None:
        limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
        size = int(_BYTES_IN_WINDOW)  # takes 0.2 s
        transfers = HeldTransfers(limiter)
        transfers.send(size)
        transfers.send(size)
        await yield_to_tasks()
        late = asyncio.create_task(
            _enter(make_transfer(limiter, size, 650 * MS))
        )
        await asyncio.sleep(0.3)
        transfers.end_events[0].set()
        while limiter._waiting:
            await asyncio.sleep(0)
        late.cancel()
        await yield_to_tasks()
        assert limiter.in_transit == size
        transfers.tasks[1].cancel()
        await yield_to_tasks()
        assert limiter.in_transit == 0

    run_in_virtual_time(scenario)


async def _enter(transfer: BodyTransfer) -> None:
    async with transfer:
        raise AssertionError('the body was granted')


def test_cancelled_transfers_hold_no_capacity() -> None:
    async def scenario() -> None:
        transfers = HeldTransfers(BodyTransferLimiter(_NARROW_LINK_MBPS))
        for _ in range(4):
            transfers.send()
        await yield_to_tasks()
        transfers.tasks[3].cancel()
        transfers.tasks[0].cancel()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 2 * _BODY_BYTES
        for task in transfers.tasks:
            task.cancel()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 0

    run(scenario())


def test_cancelled_transfer_does_not_hold_up_those_behind_it() -> None:
    async def scenario() -> None:
        transfers = HeldTransfers(BodyTransferLimiter(_NARROW_LINK_MBPS))
        for size in (_BODY_BYTES, 10 * _BODY_BYTES, _BODY_BYTES):
            transfers.send(size)
        await yield_to_tasks()
        assert transfers.limiter.in_transit == _BODY_BYTES
        transfers.tasks[1].cancel()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 2 * _BODY_BYTES
        for task in transfers.tasks:
            task.cancel()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 0

    run(scenario())


def test_slow_caller_does_not_delay_other_transfers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(
        'bluebellslip._internal.proxy.body_transfers.MIN_SLOW_AFTER',
        dt.timedelta(),
    )

    async def scenario() -> None:
        transfers = HeldTransfers(BodyTransferLimiter(1000 * _NARROW_LINK_MBPS))
        transfers.send(10 * _BODY_BYTES)
        transfers.send()
        await asyncio.sleep(0.01)
        assert not any(task.done() for task in transfers.tasks)
        assert transfers.limiter.in_transit == 0
        for end_event in transfers.end_events:
            end_event.set()
        await yield_to_tasks()
        assert transfers.limiter.in_transit == 0

    run(scenario())


def test_large_body_on_a_narrow_link_does_not_count_as_slow() -> None:
    async def scenario() -> None:
        limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
        transfers = HeldTransfers(limiter)
        # A body of this size occupies the link for over half a second.
        transfers.send(6 * _BODY_BYTES)
        await yield_to_tasks()
        assert limiter.compute_slow_after() >= 2 * limiter.estimate_arrival(0)
        for task in transfers.tasks:
            task.cancel()
        await yield_to_tasks()

    run(scenario())


def test_refused_body_leaves_the_capacity_of_the_link_to_others() -> None:
    async def scenario() -> None:
        limiter = BodyTransferLimiter(_NARROW_LINK_MBPS)
        size = int(_BYTES_IN_WINDOW)
        async with make_transfer(limiter, size):
            waits = ServerWaits()
            waiting = asyncio.create_task(_transfer(limiter, size, waits))
            await yield_to_tasks()
            waits.refuse_unservable(_refuse)
            with pytest.raises(DrainingError):
                await waiting
            assert limiter.in_transit == size
        assert limiter.in_transit == 0

    run(scenario())


async def _transfer(
    limiter: BodyTransferLimiter, size: int, waits: ServerWaits
) -> None:
    request: Any = None
    async with (
        waits.begin(request, request),
        make_transfer(limiter, size),
    ):
        raise AssertionError('the body was granted')


def _refuse(*_: object) -> None:
    raise DrainingError('The server accepts no new requests.')
