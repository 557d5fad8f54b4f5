"""Counts of outcomes, with latencies in logarithmic buckets."""

import datetime as dt
import math
from collections.abc import Iterable, Mapping
from typing import Final

import msgspec

BUCKETS_PER_DOUBLING: Final = 12
LEAST_LATENCY_S: Final = 0.00025  # upper bound of the first bucket
LAST_BUCKET: Final = 216
ALLOWANCE_S: Final = 0.001  # slower by less is no badness

_LOG_LEAST: Final = math.log2(LEAST_LATENCY_S)
_BUCKETS: Final = range(LAST_BUCKET + 1)
_BOUNDS_S: Final = tuple(
    LEAST_LATENCY_S * 2 ** (bucket / BUCKETS_PER_DOUBLING)
    for bucket in _BUCKETS
)


def find_bucket(latency_s: float) -> int:
    """Return the bucket of a latency in seconds."""
    if latency_s <= LEAST_LATENCY_S:
        return 0
    doublings = math.log2(latency_s) - _LOG_LEAST
    return min(LAST_BUCKET, math.ceil(doublings * BUCKETS_PER_DOUBLING))


def _forgive_bucket(bucket: int) -> int:
    sooner = _BOUNDS_S[bucket] - ALLOWANCE_S
    below = sum(bound <= sooner for bound in _BOUNDS_S)
    return max(0, min(bucket, below) - 1)


_FORGIVEN: Final = tuple(_forgive_bucket(bucket) for bucket in _BUCKETS)


def forgive(buckets: Mapping[int, int]) -> dict[int, int]:
    """Return latencies less what is no badness: a bucket, or 1 ms if more.

    Calls that pass the least share of a server run on cold caches, and the
    latencies of many services spread so little that a hundredth more divides
    them cleanly. Neither says anything against a version.
    """
    forgiven: dict[int, int] = {}
    for bucket, count in buckets.items():
        sooner = _FORGIVEN[bucket]
        forgiven[sooner] = forgiven.get(sooner, 0) + count
    return forgiven


def bound_of(bucket: int) -> dt.timedelta:
    """Return the upper bound of a bucket."""
    return dt.timedelta(seconds=_BOUNDS_S[bucket])


class Tally:
    """Outcomes of one route under one version.

    ``calls`` ran or were given up; ``failures`` is a part of them.
    ``refused`` did not run and are no part of ``calls``. ``buckets`` holds
    latencies of calls at servers that are past their warm-up.
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

    def add(self, other: 'Tally') -> None:
        """Take in another tally."""
        self.calls += other.calls
        self.failures += other.failures
        self.refused += other.refused
        mine = self.buckets
        for bucket, count in other.buckets.items():
            mine[bucket] = mine.get(bucket, 0) + count

    def total_seconds(self) -> float:
        """Return the sum of the latencies, in seconds."""
        return sum(
            count * _BOUNDS_S[bucket] for bucket, count in self.buckets.items()
        )

    def quantile(self, fraction: float) -> dt.timedelta:
        """Return the bound that a fraction of the latencies stays under."""
        return bound_of(find_quantile(self.buckets, fraction))


class RouteCounts(msgspec.Struct, frozen=True, array_like=True):
    """A tally of one window of time as peers tell it each other.

    ``window`` counts windows since 1970. ``latencies`` holds pairs of bucket
    and count.
    """

    window: int
    route: str
    calls: int
    failures: int
    refused: int
    latencies: tuple[tuple[int, int], ...]

    @classmethod
    def from_tally(cls, window: int, route: str, tally: Tally) -> 'RouteCounts':
        """Convert a tally."""
        return cls(
            window,
            route,
            tally.calls,
            tally.failures,
            tally.refused,
            tuple(tally.buckets.items()),
        )

    def to_tally(self) -> Tally:
        """Convert to a tally."""
        return Tally(
            self.calls, self.failures, self.refused, dict(self.latencies)
        )


def find_quantile(buckets: Mapping[int, int], fraction: float) -> int:
    """Return the least bucket that a fraction of all counts lies within."""
    wanted = fraction * sum(buckets.values())
    seen = 0
    for bucket in sorted(buckets):
        seen += buckets[bucket]
        if seen >= wanted:
            return bucket
    return 0


def count_beyond(buckets: Mapping[int, int], bucket: int) -> int:
    """Return how many counts lie above a bucket."""
    return sum(count for index, count in buckets.items() if index > bucket)


def sum_tallies(tallies: Iterable[Tally]) -> Tally:
    """Return the sum of tallies."""
    total = Tally()
    for tally in tallies:
        total.add(tally)
    return total
