"""Outcomes of requests by route, with latencies in coarse buckets."""

import datetime as dt
import math
from collections.abc import Iterable, Mapping
from typing import Final

# Three buckets for each doubling tell versions apart that differ several
# times, which is what a roll-out within seconds can tell.
BUCKETS_PER_DOUBLING: Final = 3
MAX_BUCKET: Final = 60
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


def find_latency_bucket(latency: dt.timedelta) -> int:
    """Return the bucket of a latency; each begins at its lower bound."""
    doublings = math.log2(max(latency / _MILLISECOND, 1))
    return min(MAX_BUCKET, int(doublings * BUCKETS_PER_DOUBLING))


class RouteCounts:
    """Outcomes of one route's requests.

    ``calls`` ran or were given up and ``failures`` is a part of them;
    ``latencies`` counts calls by bucket.
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
        """Calls whose latency was counted."""
        return sum(self.latencies.values())

    def add(self, other: 'RouteCounts') -> None:
        """Take in other counts."""
        self.calls += other.calls
        self.failures += other.failures
        latencies = self.latencies
        for bucket, count in other.latencies.items():
            latencies[bucket] = latencies.get(bucket, 0) + count

    def subtract(self, previous: 'RouteCounts') -> 'RouteCounts':
        """Return what came since earlier counts."""
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
        """Return the least bucket that a fraction of the calls lies within."""
        threshold = fraction * self.timed_calls
        cumulative = 0
        for bucket in sorted(self.latencies):
            cumulative += self.latencies[bucket]
            if cumulative >= threshold:
                return bucket
        return MAX_BUCKET

    def count_at_or_above(self, bucket: int) -> int:
        """Return how many calls lie in a bucket or above."""
        return sum(
            count for index, count in self.latencies.items() if index >= bucket
        )


CountsByRoute = dict[str, RouteCounts]
"""Counts of one server by route."""


def sum_by_route(servers: Iterable[CountsByRoute]) -> CountsByRoute:
    """Return the sum of some servers' counts by route."""
    total: CountsByRoute = {}
    for server in servers:
        for route, counts in server.items():
            total.setdefault(route, RouteCounts()).add(counts)
    return total


def sum_routes(server: CountsByRoute) -> RouteCounts:
    """Return the sum over all routes."""
    total = RouteCounts()
    for counts in server.values():
        total.add(counts)
    return total
