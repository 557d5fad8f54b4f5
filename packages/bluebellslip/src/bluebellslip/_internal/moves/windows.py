"""Outcomes by window of time: recorded here, and gathered from the group."""

import datetime as dt
from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.ports import Outcome, RequestStatus
from bluebellslip._internal.models.identity import (
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.moves.tallies import (
    RouteCounts,
    Tally,
    find_bucket,
)

WINDOW: Final = dt.timedelta(seconds=1)
SETTLING_WINDOWS: Final = 2  # closed windows that late counts are awaited for
REPEATED_WINDOWS: Final = 3  # closed windows that a message carries
KEPT_WINDOWS: Final = 8
WARM_UP_CALLS: Final = 20
WARM_UP: Final = dt.timedelta(minutes=15)

_EPOCH: Final = dt.datetime(1970, 1, 1, tzinfo=dt.UTC)
_FAILED: Final = frozenset((RequestStatus.FAILED, RequestStatus.CANCELLED))

Window = dict[RouteName, Tally]


def find_window(now: dt.datetime) -> int:
    """Return the window that a time falls into."""
    return (now - _EPOCH) // WINDOW


class OutcomeRecorder:
    """Outcomes at the server beside this node, in windows.

    A server is cold until it has run some calls or some time has passed
    since the first of them; latencies until then are left out. Failures
    count from the first call on.

    Parameters
    ----------
    clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._source: tuple[ServiceName, VersionName] | None = None
        self._windows: dict[int, Window] = {}
        self._calls = 0
        self._first = dt.timedelta()

    @property
    def source(self) -> tuple[ServiceName, VersionName] | None:
        """Service and version that the windows speak of."""
        return self._source

    def record(self, outcome: Outcome) -> None:
        """Count one outcome."""
        self._follow(outcome)
        tally = self._find_tally(outcome.route)
        if outcome.status is RequestStatus.NOT_RUN:
            tally.refused += 1
            return
        tally.calls += 1
        if outcome.status in _FAILED:
            tally.failures += 1
        if self._is_warm():
            bucket = find_bucket(outcome.latency.total_seconds())
            tally.buckets[bucket] = tally.buckets.get(bucket, 0) + 1
        self._calls += 1

    def collect(self) -> tuple[RouteCounts, ...]:
        """Return the counts of the last closed windows."""
        newest = find_window(self._clock.now()) - 1
        return tuple(
            RouteCounts.from_tally(window, route, tally)
            for window in range(newest - REPEATED_WINDOWS + 1, newest + 1)
            for route, tally in self._windows.get(window, {}).items()
        )

    def _follow(self, outcome: Outcome) -> None:
        source = (outcome.service, outcome.version)
        if source == self._source:
            return
        self._source = source
        self._windows.clear()
        self._calls = 0
        self._first = self._clock.elapsed()

    def _is_warm(self) -> bool:
        if self._calls >= WARM_UP_CALLS:
            return True
        return self._clock.elapsed() - self._first >= WARM_UP

    def _find_tally(self, route: RouteName) -> Tally:
        window = find_window(self._clock.now())
        if window not in self._windows:
            self._windows[window] = {}
            self._drop_before(window - KEPT_WINDOWS)
        return self._windows[window].setdefault(route, Tally())

    def _drop_before(self, window: int) -> None:
        old = tuple(index for index in self._windows if index < window)
        for index in old:
            self._windows.pop(index)


class GroupWindows:
    """Windows of all nodes of one service, by version.

    Every sender's window is counted once, however often it arrives.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[VersionName, Window]] = {}
        self._seen: dict[int, set[tuple[str, int, str]]] = defaultdict(set)
        self._settled = 0

    def take(
        self,
        sender: tuple[str, int],
        version: VersionName,
        counts: Iterable[RouteCounts],
    ) -> None:
        """Take in what a sender, named with its start, has counted."""
        for count in counts:
            mark = (*sender, count.route)
            if count.window < self._settled:
                continue
            if mark in self._seen[count.window]:
                continue
            self._seen[count.window].add(mark)
            window = self._windows.setdefault(count.window, {})
            routes = window.setdefault(version, {})
            tally = routes.setdefault(RouteName(count.route), Tally())
            tally.add(count.to_tally())

    def settle(self, now: dt.datetime) -> list[dict[VersionName, Window]]:
        """Return, in order and once, the windows that are complete."""
        limit = find_window(now) - SETTLING_WINDOWS
        ready = sorted(index for index in self._windows if index < limit)
        settled = [self._windows.pop(index) for index in ready]
        past = tuple(index for index in self._seen if index < limit)
        for index in past:
            self._seen.pop(index)
        self._settled = max(self._settled, limit)
        return settled
