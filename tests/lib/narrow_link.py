"""A link that all connections of a node share, in virtual time."""

import asyncio
import dataclasses
from collections import deque


@dataclasses.dataclass
class _Segment:
    sender: 'LinkTransport'
    size: int


class NarrowLink:
    """Carries the bytes of its transports one after the other, as they came.

    ``queued`` is the number of bytes that wait or are being carried; what is
    sent next waits for all of them.

    Parameters
    ----------
    rate
        Bytes per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._segments: deque[_Segment] = deque()
        self._carrying: asyncio.Task[None] | None = None
        self.queued = 0
        self.max_queued = 0

    def put(self, segment: _Segment) -> None:
        self._segments.append(segment)
        self.queued += segment.size
        self.max_queued = max(self.max_queued, self.queued)
        if self._carrying is None or self._carrying.done():
            self._carrying = asyncio.create_task(self._carry())

    async def _carry(self) -> None:
        while self._segments:
            segment = self._segments.popleft()
            await asyncio.sleep(segment.size / self._rate)
            self.queued -= segment.size
            segment.sender.carried += segment.size


class LinkTransport(asyncio.Transport):
    """Transport of one connection; its receiver takes all that is carried.

    ``carried`` is the number of bytes that have arrived.
    """

    def __init__(self, link: NarrowLink) -> None:
        super().__init__()
        self._link = link
        self.carried = 0

    def write(self, data: bytes) -> None:
        if data:
            self._link.put(_Segment(self, len(data)))

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Do nothing: the link takes everything."""

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        """Do nothing: what was written is still carried."""
