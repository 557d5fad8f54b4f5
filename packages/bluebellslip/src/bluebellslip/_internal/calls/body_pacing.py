"""Paces the request bodies that a node sends over its own link.

Handles uploads on narrow links. Several bodies that were sent as fast as the
sockets take them would fill the queue of the link, and all other traffic of the
node, such as refusals, other responses and beacons, would wait behind them. So
pieces of the bodies are sent in turn, together a little slower than the link.
A body whose receiver is slow doesn't take its turn.
"""

import asyncio
import datetime as dt
from collections.abc import Iterator
from typing import Final

# Bodies are sent ahead of the rate by at most as many bytes as the link carries
# in this time.
MAX_BURST: Final = dt.timedelta(milliseconds=50)
# Time that the link takes for one piece of a body.
PIECE_TIME: Final = dt.timedelta(milliseconds=25)
# Share of the link that bodies take up; the rest is left to other traffic.
LINK_SHARE: Final = 0.9
_BITS_PER_MEGABIT: Final = 1_000_000
_BITS_PER_BYTE: Final = 8


class BodyPacer:
    """Paces the bodies of one node.

    Parameters
    ----------
    link_mbps
        Rate of the link in megabits per second.
    """

    def __init__(self, link_mbps: float) -> None:
        self.set_link_rate(link_mbps)
        self._turn = asyncio.Lock()
        self._free_at: float = 0

    def set_link_rate(self, link_mbps: float) -> None:
        """Apply a new rate of the link in megabits per second."""
        self._rate = link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE

    def split(self, chunk: bytes) -> Iterator[bytes]:
        """Yield the pieces of a chunk that are to be sent in turn."""
        size = max(1, int(self._rate * PIECE_TIME.total_seconds()))
        for start in range(0, len(chunk), size):
            yield chunk[start : start + size]

    async def wait_turn(self, size: int) -> None:
        """Wait until a piece of this many bytes may be sent."""
        duration = size / (self._rate * LINK_SHARE)
        loop = asyncio.get_running_loop()
        async with self._turn:
            end = max(self._free_at, loop.time()) + duration
            delay = end - loop.time() - MAX_BURST.total_seconds()
            if delay > 0:
                await asyncio.sleep(delay)
            self._free_at = end
