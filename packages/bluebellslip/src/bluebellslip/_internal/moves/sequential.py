"""Sequential test whether a binary mark is more frequent under a version.

Within a stratum (one route, one stretch of time, one share) the number of
marked calls of the new version, given all totals, has Fisher's noncentral
hypergeometric distribution with the versions' odds ratio. For a tilt ``a``
and the moment generating function ``M`` at the greatest odds ratio that is
tolerated, ``exp(a * marked - log M(a))`` has an expectation of at most one
while the odds ratio is within tolerance. Products over strata are test
supermartingales, and so are their averages: Ville's inequality bounds the
chance that one ever passes ``1 / alpha``, however often it is looked at.

``log M`` is the integral of the mean over the tilt. In large strata it is
taken by Simpson's rule from Cornfield's mean, and raised by the most that
this mean falls short by. In small ones it is bounded
from above: the distribution is that of a sum of independent indicators, so it
lies in convex order below both binomials of the same mean, over the marked
calls and over the new version's calls.

What both versions share in a stretch of time, such as an overload, drops out,
since the totals are given.
"""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

_TINY: Final = 1e-12
_EXCESS_PART: Final = 32
_LARGE_CELL: Final = 5  # expected calls in each cell of a large stratum


class Totals(NamedTuple):
    """Totals of one stratum: calls of both versions, and marked calls."""

    old: int
    new: int
    marked: int

    def expect(self, odds_ratio: float) -> float:
        """Return the mean number of marked calls among the new version's.

        Cornfield's approximation, as the root of a quadratic.
        """
        if abs(odds_ratio - 1) < _TINY:
            return self.marked * self.new / (self.old + self.new)
        linear = odds_ratio * (self.new + self.marked) + self.old - self.marked
        square = odds_ratio - 1
        product = 4 * square * odds_ratio * self.new * self.marked
        root = math.sqrt(linear * linear - product)
        return (linear - root) / (2 * square)

    def bound_growth(self, odds_ratio: float, tilt: float) -> float:
        """Return the logarithm of the moment generating function."""
        mean = self.expect(odds_ratio)
        if self._least_cell(mean) >= _LARGE_CELL:
            middle = self.expect(odds_ratio * math.exp(tilt / 2))
            end = self.expect(odds_ratio * math.exp(tilt))
            excess = tilt * (tilt + 2 * math.log(odds_ratio)) / _EXCESS_PART
            return tilt * (mean + 4 * middle + end) / 6 + excess
        factor = mean * math.expm1(tilt)
        return min(
            self.marked * math.log1p(factor / self.marked),
            self.new * math.log1p(factor / self.new),
        )

    def _least_cell(self, mean: float) -> float:
        return min(
            mean,
            self.marked - mean,
            self.new - mean,
            self.old - self.marked + mean,
        )


class OddsTest:
    """Test supermartingales against a set of alternatives, as logarithms.

    Parameters
    ----------
    tolerance
        Greatest odds ratio that is no badness.
    tilts
        Odds ratios beyond the tolerance that are betted on in equal parts,
        relative to it.

    Notes
    -----
    ``logs`` holds the logarithms by alternative, ``log_evidence`` that of
    their average.
    """

    __slots__ = ('_tilts', '_tolerance', 'log_evidence', 'logs')

    def __init__(self, tolerance: float, tilts: Sequence[float]) -> None:
        self._tolerance = tolerance
        self._tilts = tuple(math.log(tilt) for tilt in tilts)
        self.logs: list[float] = [0 for _ in tilts]
        self.log_evidence: float = 0

    def observe(
        self, old: int, new: int, old_marked: int, new_marked: int
    ) -> None:
        """Take in one stratum's counts of calls and of marked calls."""
        marked = old_marked + new_marked
        if not marked or not old or not new or marked == old + new:
            return
        totals = Totals(old, new, marked)
        for index, tilt in enumerate(self._tilts):
            growth = totals.bound_growth(self._tolerance, tilt)
            self.logs[index] += tilt * new_marked - growth
        self.log_evidence = average_logs(self.logs)


def average_logs(logs: Sequence[float]) -> float:
    """Return the logarithm of the average of exponentials."""
    greatest = max(logs)
    total = sum(math.exp(log - greatest) for log in logs)
    return greatest + math.log(total / len(logs))
