"""Counts of outcomes, with latencies in logarithmic buckets."""

import datetime as dt
import math
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

BUCKETS_PER_DOUBLING: Final = 12
MIN_LATENCY_S: Final = 0.00025  # upper bound of the first bucket
LAST_BUCKET: Final = 216
LATENCY_ALLOWANCE_S: Final = 0.001  # a smaller slowdown is ignored

_LOG2_MIN_LATENCY_S: Final = math.log2(MIN_LATENCY_S)
_BUCKETS: Final = range(LAST_BUCKET + 1)
_BOUNDS_S: Final = tuple(
    MIN_LATENCY_S * 2 ** (bucket / BUCKETS_PER_DOUBLING) for bucket in _BUCKETS
)


def find_bucket(latency_s: float) -> int:
    """Return the bucket of a latency in seconds."""
    if latency_s <= MIN_LATENCY_S:
        return 0
    doublings = math.log2(latency_s) - _LOG2_MIN_LATENCY_S
    return min(LAST_BUCKET, math.ceil(doublings * BUCKETS_PER_DOUBLING))


def _discount_bucket(bucket: int) -> int:
    lower = _BOUNDS_S[bucket] - LATENCY_ALLOWANCE_S
    below = sum(bound <= lower for bound in _BOUNDS_S)
    return max(0, min(bucket, below) - 1)


_DISCOUNTED_BUCKETS: Final = tuple(
    _discount_bucket(bucket) for bucket in _BUCKETS
)


def discount_latencies(buckets: Mapping[int, int]) -> dict[int, int]:
    """Return counts with latencies reduced by the larger of a bucket and 1 ms.

    Servers with a very small share of calls run on cold caches. And the
    latencies of many services vary so little that a slowdown by 1 % separates
    two versions completely. Neither is evidence against a version.
    """
    discounted: dict[int, int] = {}
    for bucket, count in buckets.items():
        lower = _DISCOUNTED_BUCKETS[bucket]
        discounted[lower] = discounted.get(lower, 0) + count
    return discounted


def find_upper_bound(bucket: int) -> dt.timedelta:
    """Return the upper bound of a bucket's latencies."""
    return dt.timedelta(seconds=_BOUNDS_S[bucket])


class OutcomeCounts:
    """Outcomes of one route under one version.

    ``calls`` counts the calls that ran, including cancelled ones, and
    ``failures`` those of them that failed or were cancelled. ``refused``
    counts other calls, which did not run. ``buckets`` holds the latencies of
    calls at servers that have warmed up.
    """

    __slots__ = ('buckets', 'calls', 'failures', 'refused')

    def __init__(
        self,
        calls: int = 0,
        failures: int = 0,
        refused: int = 0,
        buckets: Mapping[int, int] | None = None,
    ) -> None:
        self.calls = calls
        self.failures = failures
        self.refused = refused
        self.buckets = dict(buckets or {})

    def add(self, other: 'OutcomeCounts') -> None:
        """Add other counts to these."""
        self.calls += other.calls
        self.failures += other.failures
        self.refused += other.refused
        buckets = self.buckets
        for bucket, count in other.buckets.items():
            buckets[bucket] = buckets.get(bucket, 0) + count

    def total_seconds(self) -> float:
        """Return the sum of the latencies' upper bounds, in seconds."""
        return sum(
            count * _BOUNDS_S[bucket] for bucket, count in self.buckets.items()
        )

    def quantile(self, fraction: float) -> dt.timedelta:
        """Return a quantile of the latencies, as its bucket's upper bound."""
        return find_upper_bound(find_quantile_bucket(self.buckets, fraction))


class WindowCounts(msgspec.Struct, frozen=True, array_like=True):
    """Outcome counts of one route in one window, as sent to peers.

    ``window`` is the index of the window since 1970. ``latencies`` holds
    pairs of bucket and count.
    """

    window: int
    route: str
    calls: int
    failures: int
    refused: int
    latencies: tuple[tuple[int, int], ...]

    @classmethod
    def from_counts(
        cls, window: int, route: str, counts: OutcomeCounts
    ) -> 'WindowCounts':
        """Convert from outcome counts."""
        return cls(
            window,
            route,
            counts.calls,
            counts.failures,
            counts.refused,
            tuple(counts.buckets.items()),
        )

    def to_counts(self) -> OutcomeCounts:
        """Convert to outcome counts."""
        return OutcomeCounts(
            self.calls, self.failures, self.refused, dict(self.latencies)
        )


def find_quantile_bucket(buckets: Mapping[int, int], fraction: float) -> int:
    """Return the bucket of a quantile of the latencies, 0 if there are none."""
    target = fraction * sum(buckets.values())
    cumulative = 0
    for bucket in sorted(buckets):
        cumulative += buckets[bucket]
        if cumulative >= target:
            return bucket
    return 0


def count_above(buckets: Mapping[int, int], bucket: int) -> int:
    """Return the sum of the counts above a bucket."""
    return sum(count for index, count in buckets.items() if index > bucket)


def sum_counts(all_counts: Iterable[OutcomeCounts]) -> OutcomeCounts:
    """Return the sum of outcome counts."""
    total = OutcomeCounts()
    for counts in all_counts:
        total.add(counts)
    return total
