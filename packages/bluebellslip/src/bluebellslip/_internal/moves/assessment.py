"""Statistical evidence against a new version, by route and symptom."""

import dataclasses
import enum
import math
from collections.abc import Mapping, Sequence
from itertools import starmap
from operator import itemgetter
from typing import Final

from bluebellslip._internal.kernel.services import RouteEvidence
from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.moves.outcome_counts import (
    OutcomeCounts,
    count_above,
    discount_latencies,
    find_quantile_bucket,
)
from bluebellslip._internal.moves.sequential import OddsTest, WealthProcess
from bluebellslip._internal.moves.strata import OpenStratum

ALL_ROUTES: Final = RouteName('all routes')

_MEDIAN: Final = 0.5
_P90: Final = 0.9
_P99: Final = 0.99


@enum.unique
class Symptom(enum.Enum):
    """A way in which a new version can be worse than the old one."""

    FAILED = 'fails more often'
    REFUSED = 'refuses more calls'
    SLOW = 'is slower for most calls'
    SLOW_TAIL = 'is slower for the slowest tenth of calls'
    SLOW_FAR_TAIL = 'is slower for the slowest hundredth of calls'


SYMPTOMS: Final = tuple(Symptom)
_FIRST_SLOW_INDEX: Final = SYMPTOMS.index(Symptom.SLOW)
_QUANTILES: Final = (_MEDIAN, _P90, _P99)  # by symptom, from SLOW on
# By symptom: the greatest odds ratio of a good version, and the alternatives to
# test for, as factors of that odds ratio.
_TOLERATED_ODDS_RATIOS: Final = (1.4, 3, 1.05, 1.1, 1.3)
_ALTERNATIVE_ODDS_RATIOS: Final = (
    (2.5, 8, 80),
    (4, 30),
    (1.2, 1.6, 4, 20),
    (1.4, 3, 12),
    (2.5, 15),
)
_SYMPTOM_WEIGHTS: Final = (0.4, 0.05, 0.3, 0.15, 0.1)
_LOG_SYMPTOM_WEIGHTS: Final = tuple(
    math.log(weight) for weight in _SYMPTOM_WEIGHTS
)
_ALL_ROUTES_WEIGHT: Final = 0.5  # the rest is divided among the routes


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The evidence so far against the new version.

    ``log_evidence`` is the natural logarithm of the weighted average of the
    evidence over all routes and symptoms. While the new version is within
    tolerance, the probability that this average ever exceeds ``1 / alpha``
    is at most ``alpha``. ``route`` and ``symptom`` are the pair with the
    greatest contribution to the average.
    """

    route: RouteName
    symptom: Symptom
    log_evidence: float

    @property
    def text(self) -> str:
        """The finding as a sentence for operators."""
        return (
            f'The new version {self.symptom.value} than the old one, '
            f'compared side by side on {self.route}.'
        )


class RouteAssessment:
    """Evidence on one route.

    Parameters
    ----------
    pooled
        Evidence on all routes, by symptom; updated with this route's strata.
    """

    def __init__(self, pooled: Sequence[WealthProcess]) -> None:
        self._pooled = pooled
        self.old = OutcomeCounts()
        self.new = OutcomeCounts()
        self.tests = tuple(
            map(OddsTest, _TOLERATED_ODDS_RATIOS, _ALTERNATIVE_ODDS_RATIOS)
        )
        self._open_stratum = OpenStratum()

    def observe(
        self, old: OutcomeCounts | None, new: OutcomeCounts | None
    ) -> bool:
        """Add one window's counts; return whether a stratum was completed."""
        if old is not None:
            self.old.add(old)
        if new is not None:
            self.new.add(new)
        self._open_stratum.add(old, new)
        if not self._open_stratum.is_complete:
            return False
        self.close()
        return True

    def close(self) -> None:
        """Evaluate the open stratum and begin another."""
        old, new = self._open_stratum.old, self._open_stratum.new
        self._open_stratum = self._open_stratum.make_next()
        if old.calls and new.calls:
            counts = (old.calls, new.calls, old.failures, new.failures)
            self._observe(0, counts)
            self._observe_latency(old.buckets, discount_latencies(new.buckets))
        if old.refused or new.refused:
            offered = (old.calls + old.refused, new.calls + new.refused)
            self._observe(1, (*offered, old.refused, new.refused))

    def _observe(self, index: int, counts: tuple[int, int, int, int]) -> None:
        log_ratios = self.tests[index].observe(*counts)
        if log_ratios:
            self._pooled[index].multiply(log_ratios)

    def _observe_latency(
        self, old: Mapping[int, int], new: Mapping[int, int]
    ) -> None:
        if not old or not new:
            return
        pooled = dict(old)
        for bucket, count in new.items():
            pooled[bucket] = pooled.get(bucket, 0) + count
        totals = (sum(old.values()), sum(new.values()))
        for index, fraction in enumerate(_QUANTILES, _FIRST_SLOW_INDEX):
            limit = find_quantile_bucket(pooled, fraction)
            above = (count_above(old, limit), count_above(new, limit))
            self._observe(index, (*totals, *above))


class Assessment:
    """Evidence on one move, accumulated from windows in their order."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, RouteAssessment] = {}
        self._pooled = tuple(
            WealthProcess(len(alternatives))
            for alternatives in _ALTERNATIVE_ODDS_RATIOS
        )
        self._finding: Finding | None = None

    @property
    def finding(self) -> Finding | None:
        """The newest finding over all routes and symptoms, if there is one."""
        return self._finding

    @property
    def new_calls(self) -> int:
        """Calls that the new version ran, on all routes."""
        return sum(route.new.calls for route in self._routes.values())

    @property
    def new_calls_by_route(self) -> dict[RouteName, int]:
        """Calls that the new version ran, by route."""
        return {name: route.new.calls for name, route in self._routes.items()}

    @property
    def old_calls_by_route(self) -> dict[RouteName, int]:
        """Calls that the old version ran, by route."""
        return {name: route.old.calls for name, route in self._routes.items()}

    @property
    def evidence(self) -> tuple[RouteEvidence, ...]:
        """Counts and latencies by route, for operators."""
        return tuple(starmap(describe_route, self._routes.items()))

    def observe(
        self,
        old: Mapping[RouteName, OutcomeCounts],
        new: Mapping[RouteName, OutcomeCounts],
    ) -> None:
        """Add one window's counts of both versions by route."""
        is_updated = False
        for name in old.keys() | new.keys():
            route = self._get_or_create_route(name)
            is_updated |= route.observe(old.get(name), new.get(name))
        if is_updated:
            self._finding = self._compute_finding()

    def close_strata(self) -> None:
        """Evaluate the open strata and begin others.

        Called when the share of calls changes: a stratum has one share.
        """
        for route in self._routes.values():
            route.close()
        if self._routes:
            self._finding = self._compute_finding()

    def _get_or_create_route(self, name: RouteName) -> RouteAssessment:
        route = self._routes.get(name)
        if route is None:
            route = RouteAssessment(self._pooled)
            self._routes[name] = route
        return route

    def _compute_finding(self) -> Finding:
        log_share = math.log((1 - _ALL_ROUTES_WEIGHT) / len(self._routes))
        scores = [
            (test.wealth.log_evidence + weight + log_share, name, symptom)
            for name, route in self._routes.items()
            for test, weight, symptom in zip(
                route.tests, _LOG_SYMPTOM_WEIGHTS, SYMPTOMS, strict=True
            )
        ]
        log_share = math.log(_ALL_ROUTES_WEIGHT)
        scores.extend(
            (wealth.log_evidence + weight + log_share, ALL_ROUTES, symptom)
            for wealth, weight, symptom in zip(
                self._pooled, _LOG_SYMPTOM_WEIGHTS, SYMPTOMS, strict=True
            )
        )
        largest, route, symptom = max(scores, key=itemgetter(0))
        total = sum(math.exp(score[0] - largest) for score in scores)
        return Finding(route, symptom, largest + math.log(total))


def describe_route(name: RouteName, route: RouteAssessment) -> RouteEvidence:
    """Return a route's evidence for operators."""
    return RouteEvidence(
        route=name,
        old_calls=route.old.calls,
        old_failures=route.old.failures,
        new_calls=route.new.calls,
        new_failures=route.new.failures,
        old_p50=route.old.quantile(_MEDIAN),
        new_p50=route.new.quantile(_MEDIAN),
        old_p99=route.old.quantile(_P99),
        new_p99=route.new.quantile(_P99),
    )
