"""Outcome counts of requests by route, with coarse latency histograms."""

import datetime as dt
import math
from collections.abc import Iterable, Mapping
from typing import Final

# Three buckets per doubling are enough to detect latencies that are several
# times as long; a roll-out within seconds cannot detect smaller differences.
BUCKETS_PER_DOUBLING: Final = 3
MAX_BUCKET: Final = 60
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


def find_latency_bucket(latency: dt.timedelta) -> int:
    """Return the index of a latency's bucket.

    Buckets include their lower bounds; latencies up to 1 ms are in the first
    one, and the last one is unbounded.
    """
    doublings = math.log2(max(latency / _MILLISECOND, 1))
    return min(MAX_BUCKET, int(doublings * BUCKETS_PER_DOUBLING))


class RouteCounts:
    """Outcome counts of one route.

    ``calls`` counts the requests that succeeded or failed, ``failures`` those
    that failed, including any abandoned at the deadline, and ``latencies``
    calls by latency bucket.
    """

    __slots__ = ('calls', 'failures', 'latencies')

    def __init__(
        self,
        calls: int = 0,
        failures: int = 0,
        latencies: Mapping[int, int] | None = None,
    ) -> None:
        self.calls = calls
        self.failures = failures
        self.latencies = dict(latencies or {})

    @property
    def timed_calls(self) -> int:
        """Number of calls with a recorded latency."""
        return sum(self.latencies.values())

    def add(self, other: 'RouteCounts') -> None:
        """Add other counts to these."""
        self.calls += other.calls
        self.failures += other.failures
        latencies = self.latencies
        for bucket, count in other.latencies.items():
            latencies[bucket] = latencies.get(bucket, 0) + count

    def subtract(self, previous: 'RouteCounts') -> 'RouteCounts':
        """Return the increase since earlier counts, at least 0 each."""
        return RouteCounts(
            max(0, self.calls - previous.calls),
            max(0, self.failures - previous.failures),
            {
                bucket: count - previous.latencies.get(bucket, 0)
                for bucket, count in self.latencies.items()
                if count > previous.latencies.get(bucket, 0)
            },
        )

    def find_quantile_bucket(self, fraction: float) -> int:
        """Return the bucket that contains a quantile of the latencies.

        Parameters
        ----------
        fraction
            The quantile, from 0 to 1.
        """
        threshold = fraction * self.timed_calls
        cumulative = 0
        for bucket in sorted(self.latencies):
            cumulative += self.latencies[bucket]
            if cumulative >= threshold:
                return bucket
        return MAX_BUCKET

    def count_at_or_above(self, bucket: int) -> int:
        """Return the number of calls in a bucket and those above it."""
        return sum(
            count for index, count in self.latencies.items() if index >= bucket
        )


CountsByRoute = dict[str, RouteCounts]
"""Counts of one server by route."""


def sum_by_route(servers: Iterable[CountsByRoute]) -> CountsByRoute:
    """Return the sum of several servers' counts, by route."""
    total: CountsByRoute = {}
    for server in servers:
        for route, counts in server.items():
            total.setdefault(route, RouteCounts()).add(counts)
    return total


def sum_routes(server: CountsByRoute) -> RouteCounts:
    """Return the sum of a server's counts over all routes."""
    total = RouteCounts()
    for counts in server.values():
        total.add(counts)
    return total
