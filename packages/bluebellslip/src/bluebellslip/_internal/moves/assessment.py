"""What is known of a new version against the old one, route by route."""

import dataclasses
import enum
import math
from collections.abc import Mapping, Sequence
from itertools import starmap
from operator import itemgetter
from typing import Final

from bluebellslip._internal.kernel.services import RouteEvidence
from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.moves.sequential import OddsTest, Wealth
from bluebellslip._internal.moves.strata import OpenStratum
from bluebellslip._internal.moves.tallies import (
    Tally,
    count_beyond,
    find_quantile,
    forgive,
)

ALL_ROUTES: Final = RouteName('all routes')

_MIDDLE: Final = 0.5
_TAIL: Final = 0.9
_FAR_TAIL: Final = 0.99


@enum.unique
class Sign(enum.Enum):
    """What a call can show against its version."""

    FAILED = 'fails more often'
    REFUSED = 'refuses more calls'
    SLOW = 'is slower for most calls'
    SLOW_TAIL = 'is slower for the slowest tenth of calls'
    SLOW_FAR_TAIL = 'is slower for the slowest hundredth of calls'


SIGNS: Final = tuple(Sign)
_FIRST_SLOW: Final = SIGNS.index(Sign.SLOW)
_QUANTILES: Final = (_MIDDLE, _TAIL, _FAR_TAIL)  # of the signs from SLOW on
_TOLERANCES: Final = (1.4, 3, 1.05, 1.1, 1.3)
_TILTS: Final = (
    (2.5, 8, 80),
    (4, 30),
    (1.2, 1.6, 4, 20),
    (1.4, 3, 12),
    (2.5, 15),
)
_WEIGHTS: Final = (0.4, 0.05, 0.3, 0.15, 0.1)
_LOG_WEIGHTS: Final = tuple(math.log(weight) for weight in _WEIGHTS)
_ALL_ROUTES_WEIGHT: Final = 0.5  # the routes share the rest


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The strongest evidence so far against the new version.

    ``log_evidence`` is the natural logarithm of the weighted average over
    all routes and signs; while the new version is within tolerance, it ever
    exceeds ``1 / alpha`` with a chance of at most ``alpha``. ``route`` and
    ``sign`` name what contributes most.
    """

    route: RouteName
    sign: Sign
    log_evidence: float

    @property
    def text(self) -> str:
        """The finding in plain words."""
        return (
            f'The new version {self.sign.value} than the old one, '
            f'side by side on {self.route}.'
        )


class RouteAssessment:
    """Evidence on one route.

    Parameters
    ----------
    pooled
        Evidence on all routes, by sign, which grows with that on this one.
    """

    def __init__(self, pooled: Sequence[Wealth]) -> None:
        self._pooled = pooled
        self.old = Tally()
        self.new = Tally()
        self.tests = tuple(map(OddsTest, _TOLERANCES, _TILTS))
        self._open = OpenStratum()

    def observe(self, old: Tally | None, new: Tally | None) -> bool:
        """Take in a window; tell whether a stratum was judged."""
        if old is not None:
            self.old.add(old)
        if new is not None:
            self.new.add(new)
        self._open.add(old, new)
        if not self._open.is_complete:
            return False
        self.close()
        return True

    def close(self) -> None:
        """Judge the open stratum as it stands and begin another."""
        old, new = self._open.old, self._open.new
        self._open = self._open.follow_up()
        if old.calls and new.calls:
            counts = (old.calls, new.calls, old.failures, new.failures)
            self._observe(0, counts)
            self._observe_latency(old.buckets, forgive(new.buckets))
        if old.refused or new.refused:
            asked = (old.calls + old.refused, new.calls + new.refused)
            self._observe(1, (*asked, old.refused, new.refused))

    def _observe(self, index: int, counts: tuple[int, int, int, int]) -> None:
        growths = self.tests[index].observe(*counts)
        if growths:
            self._pooled[index].multiply(growths)

    def _observe_latency(
        self, old: Mapping[int, int], new: Mapping[int, int]
    ) -> None:
        if not old or not new:
            return
        pooled = dict(old)
        for bucket, count in new.items():
            pooled[bucket] = pooled.get(bucket, 0) + count
        sizes = (sum(old.values()), sum(new.values()))
        for index, fraction in enumerate(_QUANTILES, _FIRST_SLOW):
            limit = find_quantile(pooled, fraction)
            beyond = (count_beyond(old, limit), count_beyond(new, limit))
            self._observe(index, (*sizes, *beyond))


class Assessment:
    """Evidence of one move, folded from windows in their order."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, RouteAssessment] = {}
        self._pooled = tuple(Wealth(len(tilts)) for tilts in _TILTS)
        self._strongest: Finding | None = None

    @property
    def strongest(self) -> Finding | None:
        """The strongest finding, of all routes and signs."""
        return self._strongest

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
        """Counts and latencies for operators."""
        return tuple(starmap(describe_route, self._routes.items()))

    def observe(
        self, old: Mapping[RouteName, Tally], new: Mapping[RouteName, Tally]
    ) -> None:
        """Take in one window's tallies of both versions by route."""
        judged = False
        for name in old.keys() | new.keys():
            route = self._find_route(name)
            judged |= route.observe(old.get(name), new.get(name))
        if judged:
            self._strongest = self._find_strongest()

    def close_strata(self) -> None:
        """Begin new strata, since the share of calls changes."""
        for route in self._routes.values():
            route.close()
        if self._routes:
            self._strongest = self._find_strongest()

    def _find_route(self, name: RouteName) -> RouteAssessment:
        route = self._routes.get(name)
        if route is None:
            route = RouteAssessment(self._pooled)
            self._routes[name] = route
        return route

    def _find_strongest(self) -> Finding:
        part = math.log((1 - _ALL_ROUTES_WEIGHT) / len(self._routes))
        scores = [
            (test.wealth.log_evidence + weight + part, name, sign)
            for name, route in self._routes.items()
            for test, weight, sign in zip(
                route.tests, _LOG_WEIGHTS, SIGNS, strict=True
            )
        ]
        part = math.log(_ALL_ROUTES_WEIGHT)
        scores.extend(
            (wealth.log_evidence + weight + part, ALL_ROUTES, sign)
            for wealth, weight, sign in zip(
                self._pooled, _LOG_WEIGHTS, SIGNS, strict=True
            )
        )
        greatest, route, sign = max(scores, key=itemgetter(0))
        total = sum(math.exp(score[0] - greatest) for score in scores)
        return Finding(route, sign, greatest + math.log(total))


def describe_route(name: RouteName, route: RouteAssessment) -> RouteEvidence:
    """Return a route's evidence for operators."""
    return RouteEvidence(
        route=name,
        old_calls=route.old.calls,
        old_failures=route.old.failures,
        new_calls=route.new.calls,
        new_failures=route.new.failures,
        old_p50=route.old.quantile(_MIDDLE),
        new_p50=route.new.quantile(_MIDDLE),
        old_p99=route.old.quantile(_FAR_TAIL),
        new_p99=route.new.quantile(_FAR_TAIL),
    )
