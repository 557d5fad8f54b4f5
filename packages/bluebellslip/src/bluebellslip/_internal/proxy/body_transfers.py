"""Limits the request bodies that are in transit to this node at a time.

Handles uploads over narrow links. If all uploads that the server has slots for
were sent at once, they would fill the link's queue for a second or more and
delay all other traffic of this node: readiness probes, beacons, configurations,
responses. So only as many bytes are requested as the link carries in
TRANSFER_WINDOW, or one larger body; other bodies stay at their senders until
their turn. A request takes a slot of the server only after its body was
received, up to half of the replay buffer, so that no slot is held meanwhile.
A body is refused as soon as it would be received too late, by the rate at which
others are received meanwhile.
"""

import asyncio
import datetime as dt
from collections import deque
from typing import Final

from bluebellslip._internal.exceptions import OverloadedError
from bluebellslip._internal.proxy.drain_rate import DrainRate

# Bodies in transit together have at most as many bytes as the link carries in
# this time. The time is a small part of the shortest latency objectives.
TRANSFER_WINDOW: Final = dt.timedelta(milliseconds=200)
# A body that takes longer than MIN_SLOW_AFTER plus SLOW_FACTOR times the
# transmission time of all bytes in transit is delayed by its caller, not by the
# link. It then no longer counts as in transit, so that other bodies need not
# wait for it.
SLOW_FACTOR: Final = 4
MIN_SLOW_AFTER: Final = dt.timedelta(milliseconds=200)
_BITS_PER_MEGABIT: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


class BodyTransferLimiter:
    """Limits the bodies in transit over the link to this node.

    Parameters
    ----------
    link_mbps
        Rate of the link in megabits per second.
    """

    def __init__(self, link_mbps: float) -> None:
        self._rate = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        self._drain_rate = DrainRate(self._rate)
        self._in_transit = 0
        self._waiting: deque[_QueuedTransfer] = deque()

    @property
    def in_transit(self) -> int:
        """Bytes of the bodies that now take up capacity of the link."""
        return self._in_transit

    def set_link_rate(self, link_mbps: float) -> None:
        """Apply a new rate of the link in megabits per second."""
        self._rate = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        self._drain_rate.link_rate = self._rate

    def estimate_arrival(self, size: int) -> dt.timedelta:
        """Return the time until a body of this many bytes would be received."""
        ahead = self._in_transit + sum(
            transfer.size for transfer in self._waiting
        )
        rate = self._drain_rate.bytes_per_second
        return dt.timedelta(seconds=(ahead + size) / rate)

    def compute_slow_after(self) -> dt.timedelta:
        """Return the time after which a body that has just started is slow."""
        needed = dt.timedelta(seconds=self._in_transit / self._rate)
        return MIN_SLOW_AFTER + needed * SLOW_FACTOR

    def make_transfer(
        self, size: int, max_wait: dt.timedelta, time_left: dt.timedelta
    ) -> 'BodyTransfer':
        """Return the transfer of a body, to be used as a context manager.

        Parameters
        ----------
        size
            Size of the body in bytes.
        max_wait
            Longest time until the body is received, if it must wait for others.
        time_left
            Time after which the body is received in vain. While it waits, it
            is refused as soon as the rest of that time is too short for it.

        Raises
        ------
        OverloadedError
            When the body would not be received in time.
        """
        expected = self.estimate_arrival(size)
        is_too_late = self._in_transit and expected > max_wait
        if is_too_late or expected > time_left:
            raise _make_refusal(size)
        return BodyTransfer(self, size, time_left)

    async def acquire(self, transfer: '_QueuedTransfer') -> None:
        """Wait until the link has capacity for a body and reserve it.

        Raises
        ------
        BluebellError
            When the body would be received too late or the server accepts no
            more work.
        """
        if not self._waiting and self._has_capacity(transfer.size):
            self._in_transit += transfer.size
            return
        self._waiting.append(transfer)
        self._drain_rate.begin(asyncio.get_running_loop().time())
        latest_start = transfer.latest_arrival - transfer.size / self._rate
        try:
            async with asyncio.timeout_at(latest_start):
                await transfer.granted
        except TimeoutError:
            self._cancel(transfer)
            raise _make_refusal(transfer.size) from None
        except asyncio.CancelledError:
            self._cancel(transfer)
            raise

    def release(self, size: int) -> None:
        """Free the capacity of a body that was received, abandoned or slow."""
        self._in_transit -= size
        self._drain_rate.record(size, asyncio.get_running_loop().time())
        self._refuse_late()
        self._grant()

    def _has_capacity(self, size: int) -> bool:
        window = self._rate * TRANSFER_WINDOW.total_seconds()
        return not self._in_transit or self._in_transit + size <= window

    def _refuse_late(self) -> None:
        """Refuse the waiting bodies that are expected too late."""
        rate = self._drain_rate.bytes_per_second
        expected = asyncio.get_running_loop().time() + self._in_transit / rate
        for transfer in tuple(self._waiting):
            duration = transfer.size / rate
            if expected + duration <= transfer.latest_arrival:
                expected += duration
            elif not transfer.granted.done():
                self._waiting.remove(transfer)
                transfer.granted.set_exception(_make_refusal(transfer.size))

    def _grant(self) -> None:
        while self._waiting and self._has_capacity(self._waiting[0].size):
            transfer = self._waiting.popleft()
            if not transfer.granted.done():
                self._in_transit += transfer.size
                transfer.granted.set_result(None)
        if not self._waiting:
            self._drain_rate.end()

    def _cancel(self, transfer: '_QueuedTransfer') -> None:
        if transfer.was_granted:
            self.release(transfer.size)
        elif transfer in self._waiting:
            self._waiting.remove(transfer)
            self._grant()


class _QueuedTransfer:
    """A body that waits for its transfer.

    ``latest_arrival`` is the loop time in seconds after which it is received in
    vain.
    """

    def __init__(self, size: int, time_left: dt.timedelta) -> None:
        loop = asyncio.get_running_loop()
        self.size = size
        self.latest_arrival = loop.time() + time_left.total_seconds()
        self.granted: asyncio.Future[None] = loop.create_future()

    @property
    def was_granted(self) -> bool:
        """Whether the body takes up capacity of the link."""
        granted = self.granted
        return (
            granted.done()
            and not granted.cancelled()
            and granted.exception() is None
        )


class BodyTransfer:
    """The transfer of one body over the link.

    Parameters
    ----------
    limiter
        The limiter whose capacity the transfer takes up.
    size
        Size of the body in bytes.
    time_left
        Time after which the body is received in vain.
    """

    def __init__(
        self, limiter: BodyTransferLimiter, size: int, time_left: dt.timedelta
    ) -> None:
        self._limiter = limiter
        self._size = size
        self._time_left = time_left
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        transfer = _QueuedTransfer(self._size, self._time_left)
        await self._limiter.acquire(transfer)
        loop = asyncio.get_running_loop()
        slow_after = self._limiter.compute_slow_after().total_seconds()
        self._timer = loop.call_later(slow_after, self._release)

    async def __aexit__(self, *raised: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._release()

    def _release(self) -> None:
        """Free the capacity of the body, once only."""
        size = self._size
        self._size = 0
        if size:
            self._limiter.release(size)


def _make_refusal(size: int) -> OverloadedError:
    return OverloadedError(
        'The link to the server has no capacity in time for this body.',
        context={'bytes': str(size)},
    )
