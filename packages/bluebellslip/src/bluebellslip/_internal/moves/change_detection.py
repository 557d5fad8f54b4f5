"""Detection of a regression when only one version gets calls.

A version that gets all calls can only be compared with its own earlier
behaviour. An overload then looks like a regression, so an alarm does not
withdraw the version: it starts a side-by-side comparison of both versions.
"""

import math
from collections.abc import Mapping
from typing import Final

from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.moves.outcome_counts import (
    OutcomeCounts,
    count_above,
    discount_latencies,
    find_quantile_bucket,
)

ALARM_THRESHOLD_NATS: Final = 7.0
ODDS_RATIOS: Final = (1.4, 3.0, 10.0, 60.0)  # alternatives that are tested
MIN_REFERENCE_CALLS: Final = 50

_MEDIAN: Final = 0.5
_P90: Final = 0.9
_TOLERATED_ODDS_RATIO: Final = 1.3


class CumulativeSum:
    """CUSUM test: sums of log likelihood ratios, with zero as their minimum."""

    __slots__ = ('_sums',)

    def __init__(self) -> None:
        self._sums: list[float] = [0 for _ in ODDS_RATIOS]

    @property
    def largest(self) -> float:
        """The largest sum, in nats."""
        return max(self._sums)

    def observe(self, calls: int, marked: int, probability: float) -> None:
        """Add a window's calls, of which ``marked`` failed or were slow.

        ``probability`` is the greatest tolerated probability that a call
        fails or is slow.
        """
        for index, odds_ratio in enumerate(ODDS_RATIOS):
            log_mgf = math.log1p(probability * (odds_ratio - 1))
            log_ratio = marked * math.log(odds_ratio) - calls * log_mgf
            self._sums[index] = max(0, self._sums[index] + log_ratio)


class RouteChangeDetector:
    """Detects a regression of failures, median or p90 latency on a route."""

    def __init__(self) -> None:
        self.reference = OutcomeCounts()
        self.sums = tuple(CumulativeSum() for _ in range(3))

    def observe(self, counts: OutcomeCounts) -> None:
        """Compare a window with the reference.

        Does nothing until the reference has enough calls.
        """
        if self.reference.calls < MIN_REFERENCE_CALLS:
            return
        failure_rate = (self.reference.failures + 1) / (
            self.reference.calls + 2
        )
        self.sums[0].observe(
            counts.calls, counts.failures, _apply_tolerance(failure_rate)
        )
        timed_calls = sum(self.reference.buckets.values())
        latencies = discount_latencies(counts.buckets)
        calls = sum(latencies.values())
        for index, fraction in enumerate((_MEDIAN, _P90), 1):
            limit = find_quantile_bucket(self.reference.buckets, fraction)
            above = count_above(self.reference.buckets, limit)
            probability = _apply_tolerance((above + 1) / (timed_calls + 2))
            marked = count_above(latencies, limit)
            self.sums[index].observe(calls, marked, probability)


class ChangeDetector:
    """Detects a regression of a version that gets all calls, by route."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, RouteChangeDetector] = {}

    @property
    def is_alarmed(self) -> bool:
        """Whether any route has a regression."""
        return any(
            total.largest >= ALARM_THRESHOLD_NATS
            for route in self._routes.values()
            for total in route.sums
        )

    def observe(
        self, window: Mapping[RouteName, OutcomeCounts], *, is_reference: bool
    ) -> None:
        """Add a window to the reference, or compare it with the reference."""
        for name, counts in window.items():
            route = self._routes.get(name)
            if route is None:
                route = RouteChangeDetector()
                self._routes[name] = route
            if is_reference:
                route.reference.add(counts)
            else:
                route.observe(counts)

    def reset(self) -> None:
        """Reset the sums; the reference is kept."""
        for route in self._routes.values():
            route.sums = tuple(CumulativeSum() for _ in range(3))


def _apply_tolerance(probability: float) -> float:
    odds = _TOLERATED_ODDS_RATIO * probability / (1 - probability)
    return odds / (1 + odds)
