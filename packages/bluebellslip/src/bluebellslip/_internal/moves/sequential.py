"""Sequential test whether a binary mark is more frequent under a version.

Within a stratum (one route, one stretch of time, one share) the number of
marked calls of the new version, given all totals, has Fisher's noncentral
hypergeometric distribution with the versions' odds ratio. That distribution
is a sum of independent indicators, so it lies in convex order below both
binomials of the same mean, over the marked calls and over the new version's
calls. Hence ``exp(a * marked - log M(a))`` with the lesser of the two
binomials' moment generating functions has an expectation of at most one while
the odds ratio is within tolerance. Products over strata are test
supermartingales, and so are their averages: Ville's inequality bounds the
chance that one ever passes ``1 / alpha``, however often it is looked at.

What both versions share in a stretch of time, such as an overload, drops out,
since the totals are given.
"""

import math
from collections.abc import Sequence
from typing import Final

_TINY: Final = 1e-12


def expected_marked(
    old: int, new: int, marked: int, odds_ratio: float
) -> float:
    """Return the mean number of marked calls among the new version's.

    Cornfield's approximation, as the root of a quadratic.
    """
    if abs(odds_ratio - 1) < _TINY:
        return marked * new / (old + new)
    linear = odds_ratio * (new + marked) + old - marked
    square = odds_ratio - 1
    root = math.sqrt(linear * linear - 4 * square * odds_ratio * new * marked)
    return (linear - root) / (2 * square)


class OddsTest:
    """Test supermartingales against a set of alternatives, as logarithms.

    Parameters
    ----------
    tolerance
        Greatest odds ratio that is no badness.
    tilts
        Odds ratios beyond the tolerance that are betted on in equal parts,
        relative to it.
    """

    __slots__ = ('_growths', '_tilts', '_tolerance', 'logs')

    def __init__(self, tolerance: float, tilts: Sequence[float]) -> None:
        self._tolerance = tolerance
        self._tilts = tuple(math.log(tilt) for tilt in tilts)
        self._growths = tuple(tilt - 1 for tilt in tilts)
        self.logs: list[float] = [0 for _ in tilts]

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the average over the alternatives."""
        return average_logs(self.logs)

    def observe(
        self, old: int, new: int, old_marked: int, new_marked: int
    ) -> None:
        """Take in one stratum's counts of calls and of marked calls."""
        marked = old_marked + new_marked
        if not marked or not old or not new or marked == old + new:
            return
        mean = expected_marked(old, new, marked, self._tolerance)
        for index, growth in enumerate(self._growths):
            bound = min(
                marked * math.log1p(mean / marked * growth),
                new * math.log1p(mean / new * growth),
            )
            self.logs[index] += self._tilts[index] * new_marked - bound


def average_logs(logs: Sequence[float]) -> float:
    """Return the logarithm of the average of exponentials."""
    greatest = max(logs)
    total = sum(math.exp(log - greatest) for log in logs)
    return greatest + math.log(total / len(logs))
