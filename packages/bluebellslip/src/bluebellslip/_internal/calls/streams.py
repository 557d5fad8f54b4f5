"""Bounded buffers between a transport and the coroutines that use it."""

import asyncio
from collections import deque
from typing import Final

from bluebellslip._internal.calls.memory_budget import (
    Holder,
    MemoryBudget,
)
from bluebellslip._internal.calls.memory_shares import (
    RequestMemory,
    make_unlimited,
)
from bluebellslip._internal.calls.read_pauses import Pausable
from bluebellslip._internal.exceptions import BluebellError, TooLargeError

HIGH_WATER_BYTES: Final = 64 * 1024
# Bytes that are read and dropped behind a refusal, so that its sender can read
# the refusal, before the connection is closed.
MAX_DISCARDED_BYTES: Final = 1 << 23
# Chunks below this size are joined: an object for each of them would take many
# times its size.
_MIN_CHUNK_BYTES: Final = 4096


class ChunkQueue:
    """Chunks of a body, and the account of their bytes.

    Parameters
    ----------
    memory
        Counts the bytes.
    holder
        What they are counted as.
    """

    __slots__ = ('_chunks', '_holder', '_memory', '_small', 'size')

    def __init__(self, memory: RequestMemory, holder: Holder) -> None:
        self.size = 0
        self._memory = memory
        self._holder = holder
        self._chunks: deque[bytes] = deque()
        self._small = bytearray()

    @property
    def budget(self) -> MemoryBudget:
        """The account of the process."""
        return self._memory.budget

    def append(self, chunk: bytes) -> None:
        """Append a chunk; small ones are joined."""
        if len(chunk) < _MIN_CHUNK_BYTES and self.size:
            self._small += chunk
        else:
            self._flush_small()
            self._chunks.append(chunk)
        self.size += len(chunk)
        self._memory.add(self._holder, len(chunk))

    def take(self) -> bytes:
        """Return and remove all bytes."""
        size = self.size
        if size == 0:
            return b''
        self._flush_small()
        taken = b''.join(self._chunks)
        self._chunks.clear()
        self.size = 0
        self._memory.add(self._holder, -size)
        return taken

    def count_for(self, memory: RequestMemory) -> None:
        """Count the bytes for a request from now on."""
        self._memory.add(self._holder, -self.size)
        self._memory = memory
        self._memory.add(self._holder, self.size)

    def _flush_small(self) -> None:
        if self._small:
            self._chunks.append(bytes(self._small))
            self._small = bytearray()


class ReadBuffer:
    """Received bytes that have not been read yet.

    The source is paused while the buffer is above its high-water mark, so
    that a slow reader applies backpressure to the sender. ``chunks`` holds the
    bytes and counts them. ``discarded_bytes``
    counts the bytes received after ``drop`` or ``discard``.

    Parameters
    ----------
    source
        Where the bytes come from.
    high_water
        Number of buffered bytes above which the source is paused.
    limit_error
        Error raised for a body over its limit.
    memory
        Counts the buffered bytes.
    holder
        What they are counted as.
    """

    __slots__ = (
        '_discards',
        '_error',
        '_high_water',
        '_limit',
        '_limit_error',
        '_paused',
        '_source',
        '_total',
        '_waiter',
        'chunks',
        'complete',
        'discarded_bytes',
    )

    def __init__(
        self,
        source: Pausable,
        high_water: int = HIGH_WATER_BYTES,
        limit_error: type[BluebellError] = TooLargeError,
        memory: RequestMemory | None = None,
        holder: Holder = Holder.BODIES,
    ) -> None:
        self._source = source
        self._limit_error = limit_error
        self._high_water = high_water
        self._discards = False
        self.discarded_bytes = 0
        self.chunks = ChunkQueue(memory or make_unlimited(), holder)
        self._total = 0
        self._limit: int | None = None
        self._paused = False
        self._error: BluebellError | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.complete = False

    @property
    def size(self) -> int:
        """Number of buffered bytes."""
        return self.chunks.size

    def limit_to(self, limit: int) -> None:
        """Limit the total size of the body, in bytes."""
        self._limit = limit
        self._check_limit()

    def feed(self, chunk: bytes) -> None:
        """Append received bytes."""
        if self._error is not None:
            return
        if self._discards:
            self.discarded_bytes += len(chunk)
            if self.discarded_bytes > MAX_DISCARDED_BYTES:
                self.fail(_make_discarded_error())
            return
        self.chunks.append(chunk)
        self._total += len(chunk)
        self._check_limit()
        self.pause_if_full()
        self._wake()

    def pause_if_full(self) -> None:
        """Pause reading above the high-water mark, which may have changed."""
        limits = self.chunks.budget.limits
        high_water = min(self._high_water, limits.buffered_bytes)
        if self.chunks.size > high_water and not self._paused:
            self._paused = True
            self._source.pause_reading()

    def finish(self) -> None:
        """Mark the end of the body."""
        self.complete = True
        self._wake()

    def fail(self, error: BluebellError) -> None:
        """Raise an error in readers, unless the body is complete."""
        if not self.complete and self._error is None:
            self._error = error
            self._wake()

    def take(self) -> bytes:
        """Return and remove all buffered bytes, without waiting."""
        taken = self.chunks.take()
        if self._paused:
            self._paused = False
            self._source.resume_reading()
        return taken

    def drop(self) -> None:
        """Discard what is buffered and all that follows."""
        self._discards = True
        self.take()

    async def discard(self) -> None:
        """Read to the end and discard everything, up to a limit.

        Raises
        ------
        BluebellError
            When the body ends early or has exceeded a limit.
        """
        self.drop()
        await self.read()

    async def read(self) -> bytes:
        """Return the next bytes, or empty bytes at the end.

        Raises
        ------
        BluebellError
            When the body ends early or is too large.
        """
        while not self.chunks.size or self._error is not None:
            if self._error is not None:
                raise self._error
            if self.complete:
                return b''
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
            self._waiter = None
        return self.take()

    async def read_all(self) -> bytes:
        """Return the complete body; its size is limited by ``limit_to``."""
        parts = []
        while chunk := await self.read():
            parts.append(chunk)
        return b''.join(parts)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _check_limit(self) -> None:
        if self._limit is not None and self._total > self._limit:
            self._error = self._limit_error(
                'The body is larger than its limit.',
                context={'limit': f'{self._limit} bytes'},
                hint='Send less; for calls, max_body_bytes sets the limit.',
            )
            self._wake()


def _make_discarded_error() -> TooLargeError:
    return TooLargeError(
        'The body behind a refusal is too large to be discarded.',
        context={'limit': f'{MAX_DISCARDED_BYTES} bytes'},
    )


class WriteGate:
    """Pauses writers while the transport's buffer is full."""

    __slots__ = ('_open', '_waiters')

    def __init__(self) -> None:
        self._open = True
        self._waiters: list[asyncio.Future[None]] = []

    @property
    def is_open(self) -> bool:
        """Whether writers may continue."""
        return self._open

    def close(self) -> None:
        """Pause writers."""
        self._open = False

    def open(self) -> None:
        """Resume writers."""
        self._open = True
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)
        self._waiters.clear()

    async def wait(self) -> None:
        """Wait until writers may continue."""
        while not self._open:
            waiter = asyncio.get_running_loop().create_future()
            self._waiters.append(waiter)
            await waiter
