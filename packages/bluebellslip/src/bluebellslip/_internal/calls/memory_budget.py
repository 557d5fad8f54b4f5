"""One account of all that requests and connections cost the process.

Each request is bounded by itself, but the number of requests is not. So what
they cost is counted here, by what holds it, and in a shortage the node gives up
what is needed least: first copies of bodies that are kept for a retry and
requests that are read ahead, then bodies of new requests, then new requests,
and at last the connections whose input or output has stalled for the longest.
The level of the shortage follows the account and the resident memory of the
process, whichever is higher.

Designed for a few thousand connections. A change of the account is a few
integer operations; connections are looked at only on a change of the level.
"""

import contextlib
import enum
import logging
import operator
import sys
from collections.abc import Callable, Iterable
from functools import partial
from typing import Final, Protocol

from bluebellslip._internal.calls.memory_levels import (
    LEVEL_LIMITS,
    Level,
    find_bounds,
    find_level,
    find_start,
)
from bluebellslip._internal.calls.resident_memory import (
    ResidentMonitor,
    UnlimitedMonitor,
)
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
# So many requests are served however short memory is.
MIN_REQUESTS: Final = 16
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
    REQUESTS = 7


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

    ``level`` is how short memory is, and ``limits`` are the limits at that
    level. ``keeps_copies`` and ``accepts_bodies`` say whether bodies are kept
    for a retry, and whether those of new requests are read. ``used`` are the
    bytes that requests and connections cost now, and ``admitted`` is the number
    of requests in service.

    Parameters
    ----------
    limit
        Bytes that requests and connections may cost.
    counters
        Counts refusals and closures.
    monitor
        Watches the resident memory of the process.
    """

    def __init__(
        self,
        limit: int = sys.maxsize,
        counters: Counters | None = None,
        monitor: ResidentMonitor | None = None,
    ) -> None:
        self._counters = counters or InMemoryCounters()
        self.members: set[Member] = set()
        self.admitted = 0
        self._limit = limit
        self._monitor = monitor or UnlimitedMonitor()
        self._held = [0 for _ in Holder]
        self.used = 0
        self._account_level = Level.NORMAL
        self._bounds = find_bounds(Level.NORMAL, limit)
        self._is_updating = False
        self._set_level(Level.NORMAL)

    @classmethod
    def from_memory(
        cls,
        memory_mb: int | None,
        counters: Counters,
        make_monitor: Callable[[int], ResidentMonitor] | None = None,
    ) -> 'MemoryBudget':
        """Build the budget of an instance, and register its gauges.

        Parameters
        ----------
        memory_mb
            Memory of the instance in megabytes; none if unknown.
        counters
            Counts refusals and closures, and shows the gauges.
        make_monitor
            Returns the monitor of a process with a number of bytes. It is not
            used if the memory is unknown: a guess would refuse requests that
            there is memory for.
        """
        size = (memory_mb or DEFAULT_MEMORY_MB) * MEGABYTE
        limit = max(_MIN_LIMIT, (size - _PROCESS_BYTES) // _COPIES)
        monitor: ResidentMonitor = UnlimitedMonitor()
        if make_monitor is not None and memory_mb is not None:
            monitor = make_monitor(size)
        budget = cls(limit, counters, monitor)
        for name, read in _make_gauges(budget, limit, monitor).items():
            counters.gauge(name, read)
        return budget

    @property
    def admits_requests(self) -> bool:
        """Whether a new request may be served."""
        is_short = self.level >= Level.NO_NEW_REQUESTS
        return not is_short or self.admitted < MIN_REQUESTS

    def count_refusal(self, reason: str) -> None:
        """Count a request that is refused."""
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
        self.used += size
        lower, upper = self._bounds
        if not lower <= self.used < upper:
            self._update()

    def record_input(self, size: int) -> None:
        """Record bytes that arrived or were allocated for a request.

        The resident memory is read again after a number of them.
        """
        if self._monitor.record_input(size):
            self.check_resident()

    def check_resident(self) -> None:
        """Adapt to the resident memory of the process."""
        if not self._is_updating:
            self._monitor.update(self.used * _COPIES)
            self._update()

    def _update(self) -> None:
        # Freeing memory changes the account again.
        if self._is_updating:
            return
        self._is_updating = True
        with contextlib.ExitStack() as stack:
            stack.callback(setattr, self, '_is_updating', False)
            self._find_level()
            if self.level >= Level.CLOSING:
                self._close_stalled()
                self._find_level()

    def _find_level(self) -> None:
        """Find the level, and tell the connections of a change."""
        account_level = find_level(self._account_level, self.used, self._limit)
        if account_level != self._account_level:
            self._account_level = account_level
            self._bounds = find_bounds(account_level, self._limit)
        earlier = self.level
        level = max(account_level, self._monitor.level)
        if level == earlier:
            return
        self._set_level(level)
        for member in tuple(self.members):
            member.adapt_to_memory()
        is_short = level >= Level.NO_NEW_BODIES
        if is_short != (earlier >= Level.NO_NEW_BODIES):
            self._log_shortage(is_short=is_short)

    def _set_level(self, level: Level) -> None:
        self.level = level
        self.limits = LEVEL_LIMITS[level]
        self.keeps_copies = level < Level.NO_COPIES
        self.accepts_bodies = level < Level.NO_NEW_BODIES

    def _log_shortage(self, *, is_short: bool) -> None:
        logger.info(
            'memory_short' if is_short else 'memory_regained',
            extra={
                'used': self.used,
                'limit': self._limit,
                'resident': self._monitor.resident,
                'held': {
                    holder.name.lower(): self._held[holder] for holder in Holder
                },
            },
        )

    def _close_stalled(self) -> None:
        """Close connections until new bodies are accepted again."""
        goal = self.used - self._monitor.find_excess()
        if self._account_level >= Level.CLOSING:
            goal = min(goal, find_start(Level.NO_NEW_BODIES, self._limit))
        for stall, _, member in rank_stalled(self.members):
            if self.used < goal:
                break
            # An idle connection holds next to nothing.
            if stall is not Stall.IDLE:
                member.close_stalled('memory')
        if self._account_level >= Level.CLOSING:
            lower, _ = self._bounds
            next_search = self.used + self._limit // _SEARCH_STEPS
            self._bounds = (lower, next_search)


def _make_gauges(
    budget: MemoryBudget, limit: int, monitor: ResidentMonitor
) -> dict[str, Callable[[], float]]:
    """Return the gauges of an account by name."""
    gauges: dict[str, Callable[[], float]] = {
        f'memory_held_{holder.name.lower()}_bytes': partial(budget.read, holder)
        for holder in Holder
    }
    gauges['memory_level'] = lambda: budget.level
    gauges['memory_limit_bytes'] = lambda: limit
    gauges['memory_resident_bytes'] = lambda: monitor.resident
    return gauges


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


UNLIMITED: Final = MemoryBudget()
