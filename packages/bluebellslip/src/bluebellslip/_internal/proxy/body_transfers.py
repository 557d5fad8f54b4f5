"""Bodies of requests on their way over this node's link, a few at a time.

Answers uploads beside narrow links. Were all that find a slot sent at once,
they would fill the link's queue for a second and more, and everything else of
this node would stand behind them: readiness, beacons, configurations, answers.
So no more bytes are asked for than cross the link in a moment; other bodies
stay where they are until it is their turn. Slots are taken only when a body is
in, so that no server waits for bytes.
"""

import asyncio
import datetime as dt
from collections import deque
from typing import Final

from bluebellslip._internal.exceptions import OverloadedError

# What may be on its way at once, by the time that it takes the link; a small
# part of the quickest latency objectives.
TRANSFER_WINDOW: Final = dt.timedelta(milliseconds=200)
# A body that is not in after so many times the time that all that is on its
# way takes the link, and a moment more, comes from a slow caller and not
# through a full link: it holds nobody else up.
SLOW_FACTOR: Final = 4
MIN_SLOW_AFTER: Final = dt.timedelta(milliseconds=200)
_BITS_OF_MEGABIT: Final = 1_000_000
_BITS_OF_BYTE: Final = 8


class BodyTransferLimiter:
    """The bodies that cross the link to this node.

    Parameters
    ----------
    link_mbps
        What the link carries, in megabits a second.
    """

    def __init__(self, link_mbps: float) -> None:
        self._rate = link_mbps * _BITS_OF_MEGABIT / _BITS_OF_BYTE
        self._in_transit = 0
        self._waiting: deque[_QueuedTransfer] = deque()

    @property
    def in_transit(self) -> int:
        """Bytes that were asked for and are not in yet."""
        return self._in_transit

    def set_link_rate(self, link_mbps: float) -> None:
        """Follow another rate of the link from now on."""
        self._rate = link_mbps * _BITS_OF_MEGABIT / _BITS_OF_BYTE

    def estimate_arrival(self, size: int) -> dt.timedelta:
        """Return when a body of so many bytes that comes now would be in."""
        ahead = self._in_transit + sum(
            transfer.size for transfer in self._waiting
        )
        return dt.timedelta(seconds=(ahead + size) / self._rate)

    def compute_slow_after(self) -> dt.timedelta:
        """Return after what time a body that begins to cross counts as slow."""
        needed = dt.timedelta(seconds=self._in_transit / self._rate)
        return MIN_SLOW_AFTER + needed * SLOW_FACTOR

    def reserve(self, size: int, max_wait: dt.timedelta) -> 'BodyTransfer':
        """Return the crossing of a body; use it as context manager.

        Raises
        ------
        OverloadedError
            When the body would not be in soon enough.
        """
        expected = self.estimate_arrival(size)
        if self._in_transit and expected > max_wait:
            raise OverloadedError(
                'The link to the server has no room in time for this body.',
                context={'bytes': str(size)},
            )
        return BodyTransfer(self, size)

    async def acquire(self, transfer: '_QueuedTransfer') -> None:
        """Wait until it is a body's turn."""
        if not self._waiting and self._has_room(transfer.size):
            self._in_transit += transfer.size
            return
        self._waiting.append(transfer)
        try:
            await transfer.granted
        except asyncio.CancelledError:
            self._cancel(transfer)
            raise

    def release(self, size: int) -> None:
        """Take note that a body is in, or given up."""
        self._in_transit -= size
        self._grant()

    def _has_room(self, size: int) -> bool:
        window = self._rate * TRANSFER_WINDOW.total_seconds()
        return not self._in_transit or self._in_transit + size <= window

    def _grant(self) -> None:
        while self._waiting and self._has_room(self._waiting[0].size):
            transfer = self._waiting.popleft()
            if not transfer.granted.done():
                self._in_transit += transfer.size
                transfer.granted.set_result(None)

    def _cancel(self, transfer: '_QueuedTransfer') -> None:
        if not transfer.granted.cancelled():
            self.release(transfer.size)
        elif transfer in self._waiting:
            self._waiting.remove(transfer)


class _QueuedTransfer:
    """A body that waits."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.granted: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )


class BodyTransfer:
    """One body on its way over the link.

    Parameters
    ----------
    intake
        What it belongs to.
    size
        Its size in bytes.
    """

    def __init__(self, limiter: BodyTransferLimiter, size: int) -> None:
        self._limiter = limiter
        self._size = size
        self._timer: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> None:
        await self._limiter.acquire(_QueuedTransfer(self._size))
        loop = asyncio.get_running_loop()
        slow_after = self._limiter.compute_slow_after().total_seconds()
        self._timer = loop.call_later(slow_after, self._release)

    async def __aexit__(self, *raised: object) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._release()

    def _release(self) -> None:
        """Give the room back; only once."""
        size = self._size
        self._size = 0
        if size:
            self._limiter.release(size)
