"""Detection of a change for the worse where nothing stands side by side.

Once all calls go to one version, its own earlier behaviour is all there is to
compare with. An overload looks like badness then, so an alarm decides
nothing: it calls for a comparison side by side.
"""

import math
from collections.abc import Mapping
from typing import Final

from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.moves.tallies import (
    Tally,
    count_beyond,
    find_quantile,
    forgive,
)

ALARM: Final = 7.0  # nats
TILTS: Final = (1.4, 3.0, 10.0, 60.0)  # odds ratios that are looked for
LEAST_REFERENCE: Final = 50  # calls to compare with

_MIDDLE: Final = 0.5
_TAIL: Final = 0.9
_TOLERANCE: Final = 1.3


class CumulativeSum:
    """Cumulative sums of log likelihood ratios that never fall below zero."""

    __slots__ = ('_sums',)

    def __init__(self) -> None:
        self._sums: list[float] = [0 for _ in TILTS]

    @property
    def greatest(self) -> float:
        """The greatest sum, in nats."""
        return max(self._sums)

    def observe(self, calls: int, marked: int, chance: float) -> None:
        """Take in a window, given the chance of a mark before the change."""
        for index, tilt in enumerate(TILTS):
            growth = math.log1p(chance * (tilt - 1))
            gain = marked * math.log(tilt) - calls * growth
            self._sums[index] = max(0, self._sums[index] + gain)


class RouteChange:
    """Changes of one route."""

    def __init__(self) -> None:
        self.reference = Tally()
        self.sums = tuple(CumulativeSum() for _ in range(3))

    def observe(self, tally: Tally) -> None:
        """Compare a window with the reference."""
        if self.reference.calls < LEAST_REFERENCE:
            return
        failing = (self.reference.failures + 1) / (self.reference.calls + 2)
        self.sums[0].observe(tally.calls, tally.failures, _widen(failing))
        known = sum(self.reference.buckets.values())
        latencies = forgive(tally.buckets)
        calls = sum(latencies.values())
        for index, fraction in enumerate((_MIDDLE, _TAIL), 1):
            limit = find_quantile(self.reference.buckets, fraction)
            beyond = count_beyond(self.reference.buckets, limit)
            chance = _widen((beyond + 1) / (known + 2))
            marked = count_beyond(latencies, limit)
            self.sums[index].observe(calls, marked, chance)


class ChangeDetector:
    """Changes of one version, by route, since it got all calls."""

    def __init__(self) -> None:
        self._routes: dict[RouteName, RouteChange] = {}

    @property
    def is_alarmed(self) -> bool:
        """Whether any route has changed for the worse."""
        return any(
            total.greatest >= ALARM
            for route in self._routes.values()
            for total in route.sums
        )

    def observe(
        self, window: Mapping[RouteName, Tally], *, learn: bool
    ) -> None:
        """Take in a window, as reference or to be compared with it."""
        for name, tally in window.items():
            route = self._routes.get(name)
            if route is None:
                route = RouteChange()
                self._routes[name] = route
            if learn:
                route.reference.add(tally)
            else:
                route.observe(tally)

    def reset(self) -> None:
        """Forget all changes, but not the reference."""
        for route in self._routes.values():
            route.sums = tuple(CumulativeSum() for _ in range(3))


def _widen(chance: float) -> float:
    odds = _TOLERANCE * chance / (1 - chance)
    return odds / (1 + odds)
