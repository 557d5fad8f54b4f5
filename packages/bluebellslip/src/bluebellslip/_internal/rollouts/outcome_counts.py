"""Outcomes of a roll-out's versions, from all nodes, by stretches of time."""

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

# Length of a stretch of time in which the versions are compared: about what
# beacons take to bring the outcomes of all servers together.
WINDOW_LENGTH: Final = dt.timedelta(milliseconds=500)
# Name under which requests that go out from beside a server are counted.
OUTGOING: Final = ''


@dataclasses.dataclass(frozen=True, slots=True)
class CountSource:
    """A server in one life of the node beside it."""

    node: str
    started: int
    is_target: bool


@dataclasses.dataclass(frozen=True, slots=True)
class CountWindow:
    """What came to pass in one stretch of time.

    Parameters
    ----------
    others
        Counts of the other versions.
    targets
        Counts of each of the target's servers.
    outgoing
        Requests that went out from beside the target's servers.
    """

    baseline: CountsByRoute
    target_servers: dict[CountSource, CountsByRoute]
    outgoing: RouteCounts


class RolloutOutcomeCounts:
    """Counts of one roll-out by server; they only rise."""

    def __init__(self) -> None:
        self._counts: dict[CountSource, CountsByRoute] = {}
        self._window_start_counts: dict[CountSource, CountsByRoute] = {}
        self._windows: deque[CountWindow] = deque()
        self._window_start: dt.timedelta | None = None

    @property
    def target_calls(self) -> int:
        """Answers of the target's servers."""
        return sum(
            counts.calls
            for source, server in self._counts.items()
            for route, counts in server.items()
            if source.is_target and route != OUTGOING
        )

    def record(
        self, source: CountSource, route: str, counts: RouteCounts
    ) -> None:
        """Add outcomes of a server beside this node."""
        server = self._counts.setdefault(source, {})
        server.setdefault(route, RouteCounts()).add(counts)

    def read(self, source: CountSource) -> tuple[RouteCountsBeacon, ...]:
        """Return a server's counts as other nodes are told."""
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
        """Take in the counts that another node told."""
        self._counts[source] = {
            reported.route: RouteCounts(
                reported.calls, reported.failures, dict(reported.latencies)
            )
            for reported in beacon.routes
        }

    def list_windows(self, now: dt.timedelta) -> list[CountWindow]:
        """Return all stretches, the open one at the end."""
        if self._window_start is None:
            self._window_start = now
        current = self._count_open_window()
        if now - self._window_start >= WINDOW_LENGTH:
            self._windows.append(current)
            self._window_start_counts = {
                source: sum_by_route((server,))
                for source, server in self._counts.items()
            }
            self._window_start = now
            return list(self._windows)
        return [*self._windows, current]

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
