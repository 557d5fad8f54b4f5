"""Outcome counts of a roll-out's versions, from all nodes, by time window."""

import dataclasses
import datetime as dt
from collections import deque
from typing import Final

from bluebellslip._internal.fleet.beacons import (
    RolloutBeacon,
    RouteCountsBeacon,
)
from bluebellslip._internal.rollouts.route_counts import (
    CountsByRoute,
    RouteCounts,
    sum_by_route,
)

# Versions are compared within windows of this length: about the time in which
# beacons deliver the counts of all servers.
WINDOW_LENGTH: Final = dt.timedelta(milliseconds=500)
# Time in which the reports of all servers arrive.
REPORT_DELAY: Final = dt.timedelta(seconds=1)
# Time from the first check after which the rate of calls is known.
MIN_RATE_TIME: Final = dt.timedelta(seconds=2)
# The latest windows whose rate is compared with the mean.
RATE_WINDOWS: Final = 4
# Route name under which a server's outgoing requests are counted.
OUTGOING: Final = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CountSource:
    """A server during one run of the node beside it.

    Parameters
    ----------
    node
        The node's name.
    life_token
        Identifies the run of the node.
    is_target
        Whether the server runs the target version.
    """

    node: str
    life_token: int
    is_target: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CountWindow:
    """Outcomes in one time window.

    Parameters
    ----------
    baseline
        Counts of all versions except the target.
    target_servers
        Counts of each server of the target version.
    outgoing
        Counts of the target servers' outgoing requests.
    """

    baseline: CountsByRoute
    target_servers: dict[CountSource, CountsByRoute]
    outgoing: RouteCounts


class RolloutOutcomeCounts:
    """Cumulative outcome counts of one roll-out, by server."""

    def __init__(self) -> None:
        self._counts: dict[CountSource, CountsByRoute] = {}
        self._window_start_counts: dict[CountSource, CountsByRoute] = {}
        self._windows: deque[CountWindow] = deque()
        self._window_start: dt.timedelta | None = None
        self._started: dt.timedelta | None = None
        self._window_calls: deque[int] = deque(maxlen=RATE_WINDOWS)

    @property
    def baseline_calls(self) -> int:
        """Calls handled by the servers of the other versions."""
        return self._count_calls(is_target=False)

    @property
    def target_calls(self) -> int:
        """Calls handled by the servers of the target version."""
        return self._count_calls(is_target=True)

    def estimate_rate(self, now: dt.timedelta) -> float:
        """Return the calls a second to all versions; 0 if unknown.

        The larger of the mean and the rate of the last windows, so that a rise
        of the load isn't averaged away.
        """
        if self._started is None or now - self._started < MIN_RATE_TIME:
            return 0
        calls = self.baseline_calls + self.target_calls
        counted = now - self._started - REPORT_DELAY
        recent = sum(self._window_calls) / max(1, len(self._window_calls))
        return max(
            calls / counted.total_seconds(),
            recent / WINDOW_LENGTH.total_seconds(),
        )

    def record(
        self, source: CountSource, route: str, counts: RouteCounts
    ) -> None:
        """Add outcomes to the counts of a server."""
        server = self._counts.setdefault(source, {})
        server.setdefault(route, RouteCounts()).add(counts)

    def read(self, source: CountSource) -> tuple[RouteCountsBeacon, ...]:
        """Return a server's counts in the form used in beacons."""
        return tuple(
            RouteCountsBeacon(
                route,
                counts.calls,
                counts.failures,
                tuple(counts.latencies.items()),
            )
            for route, counts in self._counts.get(source, {}).items()
        )

    def replace(self, source: CountSource, beacon: RolloutBeacon) -> None:
        """Replace a server's counts by those in a peer's beacon."""
        self._counts[source] = {
            reported.route: RouteCounts(
                reported.calls, reported.failures, dict(reported.latencies)
            )
            for reported in beacon.routes
        }

    def list_windows(self, now: dt.timedelta) -> list[CountWindow]:
        """Return all windows, the latest one last.

        The latest window is closed once it has reached its full length.
        """
        if self._window_start is None:
            self._window_start = now
            self._started = now
        current = self._count_open_window()
        if now - self._window_start >= WINDOW_LENGTH:
            self._windows.append(current)
            self._window_calls.append(_count_window_calls(current))
            # The sum over a single server is a copy of its counts.
            self._window_start_counts = {
                source: sum_by_route((server,))
                for source, server in self._counts.items()
            }
            self._window_start = now
            return list(self._windows)
        return [*self._windows, current]

    def _count_calls(self, *, is_target: bool) -> int:
        return sum(
            counts.calls
            for source, server in self._counts.items()
            for route, counts in server.items()
            if source.is_target is is_target and route != OUTGOING
        )

    def _count_open_window(self) -> CountWindow:
        baseline: list[CountsByRoute] = []
        target_servers: dict[CountSource, CountsByRoute] = {}
        outgoing = RouteCounts()
        for source, server in self._counts.items():
            start_counts = self._window_start_counts.get(source, {})
            new_counts = {
                route: counts.subtract(start_counts.get(route, RouteCounts()))
                for route, counts in server.items()
            }
            outgoing_counts = new_counts.pop(OUTGOING, None)
            if not source.is_target:
                baseline.append(new_counts)
                continue
            target_servers[source] = new_counts
            if outgoing_counts is not None:
                outgoing.add(outgoing_counts)
        return CountWindow(sum_by_route(baseline), target_servers, outgoing)


def _count_window_calls(window: CountWindow) -> int:
    servers = (window.baseline, *window.target_servers.values())
    return sum(counts.calls for server in servers for counts in server.values())
