"""Sequential test whether marked calls are more frequent in a new version.

A call is marked if it shows a binary property, such as a failure. Within a
stratum (one route, one period of time, one share) the number ``new_marked`` of
marked calls of the new version, conditional on all totals, has Fisher's
noncentral hypergeometric distribution with the odds ratio of the versions. For
a tilt ``a`` and the moment generating function ``M`` at the greatest tolerated
odds ratio, ``exp(a * new_marked - log M(a))`` has an expectation of at most
one while the odds ratio is within tolerance. Products over strata are test
supermartingales, and so are their averages: by Ville's inequality, the
probability that one ever exceeds ``1 / alpha`` is at most ``alpha``, however
often it is checked.

``log M`` is the integral of the mean over the tilt. In large strata it is
computed by Simpson's rule from Cornfield's approximation of the mean, plus
the greatest amount by which the result can be too small. In small strata it is
bounded from above: the distribution is that of a sum of independent
indicators, so in convex order it is below both binomial distributions of the
same mean, one with a trial for each marked call and one with a trial for each
call of the new version.

The wealth, that is the value of the supermartingale, is also divided among the
times at which a version may become bad.

Effects that both versions share in a period of time, such as an overload,
cancel out, since the test is conditional on the totals.
"""

import math
from collections.abc import Sequence
from typing import Final, NamedTuple

_EPSILON: Final = 1e-12
_EXCESS_DIVISOR: Final = 32  # in the bound on the approximation's shortfall
_INITIAL_STAKE: Final = 0.5
# Fractions of the reserve: staked before every stratum, and kept.
_LOG_STAKED_FRACTION: Final = math.log(1 / 256)
_LOG_KEPT_FRACTION: Final = math.log1p(-1 / 256)
_MIN_LARGE_CELL: Final = 5  # expected calls in each cell of a large stratum


class StratumTotals(NamedTuple):
    """Totals of one stratum: calls of each version, and marked calls of both.

    ``odds_ratio`` is the odds that a call of the new version is marked, divided
    by the odds for the old version.
    """

    old: int
    new: int
    marked: int

    def estimate_mean(self, odds_ratio: float) -> float:
        """Return the expected number of marked calls of the new version.

        This is Cornfield's approximation, the root of a quadratic equation.
        """
        if abs(odds_ratio - 1) < _EPSILON:
            return self.marked * self.new / (self.old + self.new)
        linear = odds_ratio * (self.new + self.marked) + self.old - self.marked
        square = odds_ratio - 1
        product = 4 * square * odds_ratio * self.new * self.marked
        root = math.sqrt(linear * linear - product)
        return (linear - root) / (2 * square)

    def bound_log_mgf(self, odds_ratio: float, tilt: float) -> float:
        """Return the log moment generating function, or an upper bound."""
        mean = self.estimate_mean(odds_ratio)
        if self._find_smallest_cell(mean) >= _MIN_LARGE_CELL:
            middle = self.estimate_mean(odds_ratio * math.exp(tilt / 2))
            end = self.estimate_mean(odds_ratio * math.exp(tilt))
            excess = tilt * (tilt + 2 * math.log(odds_ratio)) / _EXCESS_DIVISOR
            return tilt * (mean + 4 * middle + end) / 6 + excess
        factor = mean * math.expm1(tilt)
        return min(
            self.marked * math.log1p(factor / self.marked),
            self.new * math.log1p(factor / self.new),
        )

    def _find_smallest_cell(self, mean: float) -> float:
        return min(
            mean,
            self.marked - mean,
            self.new - mean,
            self.old - self.marked + mean,
        )


class WealthProcess:
    """A test supermartingale over several alternatives and start times.

    Half of the wealth is staked at the start. A fraction of the reserve is
    staked before every stratum, so that a version that becomes bad late is
    detected without first recovering what was lost while it was good.

    Parameters
    ----------
    alternatives
        Number of alternatives, which get equal stakes.
    """

    __slots__ = ('_reserve', '_staked', 'log_evidence')

    def __init__(self, alternatives: int) -> None:
        self._staked = [math.log(_INITIAL_STAKE) for _ in range(alternatives)]
        self._reserve = math.log(1 - _INITIAL_STAKE)
        self.log_evidence: float = 0

    def multiply(self, log_ratios: Sequence[float]) -> None:
        """Multiply the stakes by likelihood ratios, given as logarithms."""
        stake = self._reserve + _LOG_STAKED_FRACTION
        self._reserve += _LOG_KEPT_FRACTION
        self._staked = [
            _log_add_exp(staked, stake) + log_ratio
            for staked, log_ratio in zip(self._staked, log_ratios, strict=True)
        ]
        self.log_evidence = _log_add_exp(
            log_mean_exp(self._staked), self._reserve
        )


class OddsTest:
    """Evidence that marked calls are more frequent under the new version.

    Parameters
    ----------
    tolerance
        Greatest tolerated odds ratio.
    alternatives
        Odds ratios to test for, as factors of the tolerance.
    """

    __slots__ = ('_tilts', '_tolerance', 'wealth')

    def __init__(self, tolerance: float, alternatives: Sequence[float]) -> None:
        self._tolerance = tolerance
        self._tilts = tuple(math.log(ratio) for ratio in alternatives)
        self.wealth = WealthProcess(len(alternatives))

    def observe(
        self, old: int, new: int, old_marked: int, new_marked: int
    ) -> list[float]:
        """Add one stratum's counts of calls and of marked calls.

        Returns
        -------
        list of float
            The logarithms of the likelihood ratios by alternative; empty if
            the stratum holds no information.
        """
        marked = old_marked + new_marked
        if not marked or not old or not new or marked == old + new:
            return []
        totals = StratumTotals(old, new, marked)
        log_ratios = [
            tilt * new_marked - totals.bound_log_mgf(self._tolerance, tilt)
            for tilt in self._tilts
        ]
        self.wealth.multiply(log_ratios)
        return log_ratios


def log_mean_exp(logs: Sequence[float]) -> float:
    """Return the logarithm of the mean of the exponentials."""
    largest = max(logs)
    total = sum(math.exp(log - largest) for log in logs)
    return largest + math.log(total / len(logs))


def _log_add_exp(first: float, second: float) -> float:
    larger, smaller = max(first, second), min(first, second)
    return larger + math.log1p(math.exp(smaller - larger))
