"""One account of all bytes that wait in the process for callers.

Each request is bounded by itself, but the number of requests is not. So what
waits is counted here, by what holds it, and in a shortage the node gives up
what is needed least: first copies of bodies that are kept for a retry, then
buffering ahead, then bodies of new requests, and at last the connections whose
input or output has stalled for the longest.

Designed for a few thousand connections. A change of the account is a few
integer operations; connections are looked at only on a change of the level.
"""

import contextlib
import enum
import logging
import operator
import sys
from collections.abc import Callable, Iterable
from typing import Final, Protocol

from bluebellslip._internal.kernel.counters import Counters, InMemoryCounters

logger = logging.getLogger(__name__)

MEGABYTE: Final = 1 << 20
# The smallest instance of a deployment.
DEFAULT_MEMORY_MB: Final = 200
# A node that has read its configuration takes 32 MB; the rest is for tables
# that grow with the deployment.
_PROCESS_BYTES: Final = 40 * MEGABYTE
# Bytes that wait are copied while they are joined, framed and written, and
# freed memory is not all returned to the system. With 3, a crowd took 4.5 times
# the limit once.
_COPIES: Final = 5
_MIN_LIMIT: Final = 4 * MEGABYTE
# Approximate cost of a connection's own objects and its small buffers.
CONNECTION_BYTES: Final = 8 * 1024
# Buffered bytes of a body above which reading pauses, by level.
_HIGH_WATERS: Final = (sys.maxsize, 64 * 1024, 16 * 1024, 16 * 1024)
# Bytes read from a socket at a time, by level; first the default of asyncio.
_READ_BYTES: Final = (256 * 1024, 64 * 1024, 16 * 1024, 16 * 1024)
# Largest response that is buffered before it is passed on, by level.
_RESPONSE_BYTES: Final = (sys.maxsize, 64 * 1024, 16 * 1024, 16 * 1024)
# Percentage of the limit at which each level begins.
_LEVEL_STARTS: Final = (0, 50, 70, 85)
# A level ends only this far below its start, so that it doesn't change with
# every request.
_HYSTERESIS: Final = 10
_PERCENT: Final = 100
# After a search that found nothing to close, the next one waits for this part
# of the limit.
_SEARCH_STEPS: Final = 64


class Holder(enum.IntEnum):
    """What holds bytes."""

    CONNECTIONS = 0
    HEADS = 1
    BODIES = 2
    REPLAYS = 3
    UPLOADS = 4
    RESPONSES = 5
    OUTPUT = 6


class Level(enum.IntEnum):
    """How short memory is; each level includes the earlier ones."""

    NORMAL = 0
    NO_COPIES = 1
    NO_NEW_BODIES = 2
    CLOSING = 3


class Stall(enum.IntEnum):
    """What a connection waits for that its caller has to do.

    In the order in which connections are closed: ``PAUSED`` is a caller whose
    body this node does not read on at the moment.
    """

    IDLE = 0
    INPUT = 1
    OUTPUT = 2
    PAUSED = 3


class Member(Protocol):
    """A connection that holds bytes."""

    @property
    def stall(self) -> tuple[Stall, float] | None:
        """What it waits for and since when, in loop time; None if nothing."""

    def adapt_to_memory(self) -> None:
        """Give up copies and pause reading, as far as the level says."""

    def close_stalled(self, reason: str) -> None:
        """Close the connection and release what it holds."""


class MemoryBudget:
    """The account of a process.

    ``level`` is how short memory is. ``keeps_copies`` and ``accepts_bodies``
    say whether bodies are kept for a retry, and whether those of new requests
    are read. ``high_water``, ``read_bytes`` and ``response_bytes`` limit what
    is buffered of a body, read at a time, and buffered of a response.

    Parameters
    ----------
    limit
        Bytes that may wait.
    counters
        Counts refusals and closures.
    """

    def __init__(
        self, limit: int = sys.maxsize, counters: Counters | None = None
    ) -> None:
        self._counters = counters or InMemoryCounters()
        self.members: set[Member] = set()
        self._limit = limit
        self._held = [0 for _ in Holder]
        self._used = 0
        self._lower = 0
        self._upper = 0
        self._is_updating = False
        self._set_level(Level.NORMAL)

    @classmethod
    def from_memory(
        cls, memory_mb: int | None, counters: Counters
    ) -> 'MemoryBudget':
        """Build the budget of an instance, and register its gauges."""
        size = (memory_mb or DEFAULT_MEMORY_MB) * MEGABYTE
        limit = max(_MIN_LIMIT, (size - _PROCESS_BYTES) // _COPIES)
        budget = cls(limit, counters)
        for holder in Holder:
            name = f'memory_held_{holder.name.lower()}_bytes'
            counters.gauge(name, budget._make_gauge(holder))
        counters.gauge('memory_level', lambda: float(budget.level))
        counters.gauge('memory_limit_bytes', lambda: float(limit))
        return budget

    @property
    def used(self) -> int:
        """Bytes that wait now."""
        return self._used

    def count_refusal(self, reason: str) -> None:
        """Count a body that is refused."""
        self._counters.add('memory_refusals', reason=reason)

    def count_closure(self, reason: str) -> None:
        """Count a connection that is closed before its end."""
        self._counters.add('memory_closures', reason=reason)

    def read(self, holder: Holder) -> int:
        """Return the bytes that one holder has."""
        return self._held[holder]

    def add(self, holder: Holder, size: int) -> None:
        """Add bytes, or remove them if negative."""
        self._held[holder] += size
        self._used += size
        if not self._lower <= self._used < self._upper:
            self._update()

    def _make_gauge(self, holder: Holder) -> Callable[[], float]:
        return lambda: float(self._held[holder])

    def _update(self) -> None:
        # Freeing memory changes the account again.
        if self._is_updating:
            return
        self._is_updating = True
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, self, '_is_updating', False)
            self._adapt()

    def _adapt(self) -> None:
        level = self._find_level()
        if level != self.level:
            self._change_level(level)
        if self.level >= Level.CLOSING:
            self._close_stalled()
            level = self._find_level()
            if level != self.level:
                self._change_level(level)

    def _find_level(self) -> Level:
        level = Level.NORMAL
        for candidate in Level:
            start = _LEVEL_STARTS[candidate]
            if candidate <= self.level:
                start -= _HYSTERESIS
            if self._used * _PERCENT >= start * self._limit:
                level = candidate
        return level

    def _change_level(self, level: Level) -> None:
        earlier = self.level
        self._set_level(level)
        for member in tuple(self.members):
            member.adapt_to_memory()
        is_short = level >= Level.NO_NEW_BODIES
        if is_short != (earlier >= Level.NO_NEW_BODIES):
            logger.info(
                'memory_short' if is_short else 'memory_regained',
                extra={
                    'used': self._used,
                    'limit': self._limit,
                    'held': {
                        holder.name.lower(): self._held[holder]
                        for holder in Holder
                    },
                },
            )

    def _set_level(self, level: Level) -> None:
        self.level = level
        self.keeps_copies = level < Level.NO_COPIES
        self.accepts_bodies = level < Level.NO_NEW_BODIES
        self.high_water = _HIGH_WATERS[level]
        self.response_bytes = _RESPONSE_BYTES[level]
        self.read_bytes = _READ_BYTES[level]
        self._lower = -sys.maxsize
        if level > Level.NORMAL:
            end = _LEVEL_STARTS[level] - _HYSTERESIS
            self._lower = self._limit * end // _PERCENT
        self._upper = sys.maxsize
        if level < Level.CLOSING:
            start = _LEVEL_STARTS[level + 1]
            self._upper = -(-self._limit * start // _PERCENT)

    def _close_stalled(self) -> None:
        """Close connections until new bodies are accepted again."""
        goal = self._limit * _LEVEL_STARTS[Level.NO_NEW_BODIES] // _PERCENT
        for stall, _, member in rank_stalled(self.members):
            if self._used < goal:
                break
            # An idle connection holds next to nothing.
            if stall is not Stall.IDLE:
                member.close_stalled('memory')
        self._upper = self._used + self._limit // _SEARCH_STEPS


def rank_stalled(
    members: Iterable[Member],
) -> list[tuple[Stall, float, Member]]:
    """Return the connections that may be closed, the first one first."""
    ranked = [
        (*stall, member)
        for member in members
        if (stall := member.stall) is not None
    ]
    return sorted(ranked, key=operator.itemgetter(0, 1))


class RequestMemory:
    """The bytes of one request.

    ``drop_copies`` is called when copies for a retry are given up.

    Parameters
    ----------
    budget
        The account of the process.
    """

    __slots__ = ('_held', '_is_closed', 'budget', 'drop_copies')

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.drop_copies: Callable[[], None] | None = None
        self._held: dict[Holder, int] | None = None
        self._is_closed = False

    def add(self, holder: Holder, size: int) -> None:
        """Add bytes, or remove them if negative."""
        if self._is_closed:
            return
        if self._held is None:
            self._held = {}
        self._held[holder] = self._held.get(holder, 0) + size
        self.budget.add(holder, size)

    def clear(self, holder: Holder) -> None:
        """Remove all bytes of one holder."""
        if self._held:
            size = self._held.pop(holder, 0)
            if size:
                self.budget.add(holder, -size)

    def release(self) -> None:
        """Remove all bytes, and count none from now on."""
        self._is_closed = True
        self.drop_copies = None
        held = self._held
        self._held = None
        if held:
            for holder, size in held.items():
                self.budget.add(holder, -size)


class ConnectionMemory:
    """The bytes of one connection that belong to none of its requests.

    Parameters
    ----------
    budget
        The account of the process.
    member
        The connection.
    """

    __slots__ = ('_budget', '_heads', '_member', '_output')

    def __init__(self, budget: MemoryBudget, member: Member) -> None:
        self._budget = budget
        self._member: Member | None = member
        self._heads = 0
        self._output = 0
        budget.members.add(member)
        budget.add(Holder.CONNECTIONS, CONNECTION_BYTES)

    def update_heads(self, size: int) -> None:
        """Set the bytes of input that are not a request yet."""
        if size != self._heads and self._member is not None:
            change = size - self._heads
            self._heads = size
            self._budget.add(Holder.HEADS, change)

    def update_output(self, size: int) -> None:
        """Set the bytes that the caller has not taken yet."""
        if size != self._output and self._member is not None:
            change = size - self._output
            self._output = size
            self._budget.add(Holder.OUTPUT, change)

    def release(self) -> None:
        """Remove the connection from the account."""
        if self._member is not None:
            self._budget.members.discard(self._member)
            self.update_heads(0)
            self.update_output(0)
            # Updates may still come while the connection ends.
            self._member = None
            self._budget.add(Holder.CONNECTIONS, -CONNECTION_BYTES)


UNLIMITED: Final = MemoryBudget()


def make_unlimited() -> RequestMemory:
    """Return an account without a limit."""
    return RequestMemory(UNLIMITED)
