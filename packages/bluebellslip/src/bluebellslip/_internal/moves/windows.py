"""Outcomes by window of time: recorded locally, and collected from peers."""

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
from bluebellslip._internal.moves.outcome_counts import (
    OutcomeCounts,
    WindowCounts,
    find_bucket,
)

WINDOW: Final = dt.timedelta(seconds=1)
LATE_WINDOWS: Final = 2  # closed windows that still accept late counts
WINDOWS_PER_MESSAGE: Final = 3  # closed windows that a message contains
KEPT_WINDOWS: Final = 8
WARM_UP_CALLS: Final = 20
MAX_WARM_UP: Final = dt.timedelta(minutes=15)

_UNIX_EPOCH: Final = dt.datetime(1970, 1, 1, tzinfo=dt.UTC)
_FAILED: Final = frozenset((RequestStatus.FAILED, RequestStatus.CANCELLED))

Window = dict[RouteName, OutcomeCounts]


def find_window_index(now: dt.datetime) -> int:
    """Return the index since 1970 of the window that a time falls into."""
    return (now - _UNIX_EPOCH) // WINDOW


class OutcomeRecorder:
    """Records the outcomes at the local server, by window.

    A server is warming up until it has run ``WARM_UP_CALLS`` or
    ``MAX_WARM_UP`` has passed since its first outcome. Latencies are not
    recorded until then, but failures are.

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
        self._started = dt.timedelta()

    @property
    def source(self) -> tuple[ServiceName, VersionName] | None:
        """Service and version of the recorded outcomes."""
        return self._source

    def record(self, outcome: Outcome) -> None:
        """Count one outcome."""
        self._reset_on_new_source(outcome)
        route_counts = self._get_or_create_counts(outcome.route)
        if outcome.status is RequestStatus.NOT_RUN:
            route_counts.refused += 1
            return
        route_counts.calls += 1
        if outcome.status in _FAILED:
            route_counts.failures += 1
        if self._is_warm():
            bucket = find_bucket(outcome.latency.total_seconds())
            route_counts.buckets[bucket] = (
                route_counts.buckets.get(bucket, 0) + 1
            )
        self._calls += 1

    def collect(self) -> tuple[WindowCounts, ...]:
        """Return the counts of the newest closed windows."""
        newest = find_window_index(self._clock.now()) - 1
        return tuple(
            WindowCounts.from_counts(window, route, route_counts)
            for window in range(newest - WINDOWS_PER_MESSAGE + 1, newest + 1)
            for route, route_counts in self._windows.get(window, {}).items()
        )

    def _reset_on_new_source(self, outcome: Outcome) -> None:
        source = (outcome.service, outcome.version)
        if source == self._source:
            return
        self._source = source
        self._windows.clear()
        self._calls = 0
        self._started = self._clock.elapsed()

    def _is_warm(self) -> bool:
        if self._calls >= WARM_UP_CALLS:
            return True
        return self._clock.elapsed() - self._started >= MAX_WARM_UP

    def _get_or_create_counts(self, route: RouteName) -> OutcomeCounts:
        window = find_window_index(self._clock.now())
        if window not in self._windows:
            self._windows[window] = {}
            self._drop_before(window - KEPT_WINDOWS)
        return self._windows[window].setdefault(route, OutcomeCounts())

    def _drop_before(self, window: int) -> None:
        expired = tuple(index for index in self._windows if index < window)
        for index in expired:
            self._windows.pop(index)


class GroupWindows:
    """Windows of all nodes of one service, by version.

    Repeated counts of a sender's window are ignored.
    """

    def __init__(self) -> None:
        self._windows: dict[int, dict[VersionName, Window]] = {}
        self._seen: dict[int, set[tuple[str, int, str]]] = defaultdict(set)
        self._first_open = 0

    def add(
        self,
        sender: tuple[str, int],
        version: VersionName,
        counts: Iterable[WindowCounts],
    ) -> None:
        """Add counts; ``sender`` is a node and its start in ms since 1970."""
        for count in counts:
            identity = (*sender, count.route)
            if count.window < self._first_open:
                continue
            if identity in self._seen[count.window]:
                continue
            self._seen[count.window].add(identity)
            window = self._windows.setdefault(count.window, {})
            routes = window.setdefault(version, {})
            route_counts = routes.setdefault(
                RouteName(count.route), OutcomeCounts()
            )
            route_counts.add(count.to_counts())

    def pop_complete(self, now: dt.datetime) -> list[dict[VersionName, Window]]:
        """Remove and return the complete windows in their order."""
        limit = find_window_index(now) - LATE_WINDOWS
        ready = sorted(index for index in self._windows if index < limit)
        complete = [self._windows.pop(index) for index in ready]
        expired = tuple(index for index in self._seen if index < limit)
        for index in expired:
            self._seen.pop(index)
        self._first_open = max(self._first_open, limit)
        return complete
