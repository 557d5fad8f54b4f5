"""Calls of one service in two versions, drawn by window of time."""

import dataclasses
import datetime as dt
import enum
import itertools
import math
from collections import Counter
from functools import lru_cache
from random import Random
from typing import Final

from bluebellslip._internal.models.config import Preference
from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.models.identity import RouteName
from bluebellslip._internal.moves.outcome_counts import (
    LAST_BUCKET,
    OutcomeCounts,
    find_upper_bound,
)
from bluebellslip._internal.moves.windows import (
    MAX_WARM_UP,
    WARM_UP_CALLS,
    Window,
)

TICK: Final = dt.timedelta(seconds=5)
TICK_S: Final = 5
ROUTES: Final = ('busy', 'middling', 'rare')
WEIGHTS: Final = (0.6, 0.3, 0.1)
COLD_CALLS: Final = 15  # of each server

_STEPS_PER_DOUBLING: Final = 64
_GAUSS_FROM: Final = 60
_BUCKETS: Final = range(LAST_BUCKET + 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """Size and load of a service: calls a second, seconds of latency."""

    name: str
    preference: Preference
    servers: int
    slots: int
    rate: float
    median_s: float


SERVICES: Final = (
    Service('storefront', Preference.SAFETY, 5, 12, 60, 0.02),
    Service('orders', Preference.SAFETY, 4, 12, 10, 0.04),
    Service('artwork', Preference.SAFETY, 3, 12, 6, 0.12),
    Service('portal', Preference.DEADLINE, 5, 18, 80, 0.02),
    Service('lodgement', Preference.DEADLINE, 3, 18, 8, 0.05),
    Service('engineering', Preference.DEADLINE, 3, 18, 12, 0.1),
)


@enum.unique
class Onset(enum.Enum):
    """When a bad version is bad."""

    AT_ONCE = 'at once'
    LATER = 'later'
    LOAD_ONLY = 'under load only'
    ONE_ROUTE = 'on one route'


@enum.unique
class Trouble(enum.Enum):
    """What a good version has to put up with."""

    NONE = 'plain'
    OVERLOAD = 'common overload'
    COLD = 'cold starts'
    LYING = 'lost servers'
    NOISY = 'noisy latency'


@dataclasses.dataclass(frozen=True, slots=True)
class Badness:
    """How a version is bad.

    ``failing`` is a share of calls, ``slower`` a factor, ``after_s`` the
    time of the onset in seconds, ``above`` the share of calls, in basis
    points, from which it shows, ``route`` the only route concerned.
    """

    onset: Onset
    failing: float = 0
    slower: float = 1
    after_s: float = 0
    above: int = 0
    route: str = ''

    def is_active(self, time_s: float, share: int, route: str) -> bool:
        """Tell whether calls of a route are hit now."""
        if time_s < self.after_s or share < self.above:
            return False
        return not self.route or route == self.route


GOOD: Final = Badness(Onset.AT_ONCE)


@lru_cache(maxsize=100_000)
def latency_weights(log_median: int, sigma: float) -> tuple[float, ...]:
    """Return the chances of the buckets under a lognormal latency.

    ``log_median`` is the median's binary logarithm in steps of 1/64.
    """
    middle = log_median / _STEPS_PER_DOUBLING
    width = sigma * math.sqrt(2)
    sums = [
        0.5 * (1 + math.erf(_distance(bucket, middle) / width))
        for bucket in _BUCKETS[:-1]
    ]
    sums.append(1)
    return (sums[0], *(high - low for low, high in itertools.pairwise(sums)))


def _distance(bucket: int, middle: float) -> float:
    seconds = find_upper_bound(bucket).total_seconds()
    return math.log(seconds) - middle * math.log(2)


@lru_cache(maxsize=100_000)
def cumulate_weights(log_median: int, sigma: float) -> tuple[float, ...]:
    """Return the sums of ``latency_weights``."""
    return tuple(itertools.accumulate(latency_weights(log_median, sigma)))


def log_steps(median_s: float) -> int:
    """Return a median's binary logarithm in steps of 1/64."""
    return round(math.log2(median_s) * _STEPS_PER_DOUBLING)


def draw_count(source: Random, mean: float) -> int:
    """Draw from a Poisson distribution."""
    if mean > _GAUSS_FROM:
        return max(0, round(source.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = source.random()
    while product > limit:
        count += 1
        product *= source.random()
    return count


def draw_failures(source: Random, calls: int, chance: float) -> int:
    """Draw from a binomial distribution."""
    if chance <= 0 or not calls:
        return 0
    if chance >= 1:
        return calls
    failures = 0
    scale = math.log1p(-chance)
    position = int(math.log(1 - source.random()) / scale)
    while position < calls:
        failures += 1
        position += 1 + int(math.log(1 - source.random()) / scale)
    return failures


class World:
    """A service with an old and a new version.

    Parameters
    ----------
    service
        Size and load.
    badness
        How the new version is bad, if at all.
    trouble
        What happens besides.
    duration_s
        Time from the move's start to its deadline, in seconds.
    source
        Random source of all draws.
    """

    def __init__(
        self,
        service: Service,
        badness: Badness,
        trouble: Trouble,
        duration_s: float,
        source: Random,
    ) -> None:
        self.service = service
        self.badness = badness
        self.source = source
        self.sigma = 1.1 if trouble is Trouble.NOISY else 0.5
        self.failing = source.uniform(0, 0.003)
        self.ratio = source.uniform(0.95, 1.05) if badness is GOOD else 1
        self._cold = trouble is Trouble.COLD
        self._cold_left = {False: 0, True: 0}
        self._warming_left = {
            False: 0,
            True: WARM_UP_CALLS * service.servers,
        }
        if self._cold:
            self._cold_left[True] = COLD_CALLS * service.servers
        self._restarted = 0
        self._restarts = self._draw_times(4, duration_s)
        self._bursts = self._draw_bursts(trouble, duration_s)
        self.lies = self._draw_lies(trouble, duration_s)

    def draw(self, time_s: float, share: int) -> tuple[Window, Window]:
        """Return the counts of the old and the new version in one tick."""
        self._warm_up(time_s)
        slower, failing = self._common(time_s)
        part = share / FULL_SHARE
        old: Window = {}
        new: Window = {}
        for name, weight in zip(ROUTES, WEIGHTS, strict=True):
            route = RouteName(name)
            mean = self.service.rate * weight * TICK_S
            calls = draw_count(self.source, mean * (1 - part))
            if calls:
                chance = min(self.failing + failing, 1)
                old[route] = self._tally(calls, chance, slower, is_new=False)
            calls = draw_count(self.source, mean * part)
            if calls:
                bad = self.badness.is_active(time_s, share, name)
                new[route] = self._draw_new(calls, bad, slower, failing)
        return old, new

    def is_lying(self, time_s: float) -> bool:
        """Tell whether the new servers are said to be gone."""
        return any(begin <= time_s < end for begin, end in self.lies)

    def _draw_new(
        self, calls: int, bad: bool, slower: float, failing: float
    ) -> OutcomeCounts:
        chance = self.failing + failing
        factor = slower * self.ratio
        if bad:
            chance += self.badness.failing
            factor *= self.badness.slower
        return self._tally(calls, min(chance, 1), factor, is_new=True)

    def _tally(
        self, calls: int, chance: float, factor: float, *, is_new: bool
    ) -> OutcomeCounts:
        cold = min(calls, self._cold_left[is_new])
        self._cold_left[is_new] -= cold
        counts = self._latencies(calls - cold, factor)
        if cold:
            counts += self._latencies(cold, factor * 5)
        warming = min(calls, self._warming_left[is_new])
        self._warming_left[is_new] -= warming
        if warming >= calls:
            counts = Counter()
        elif warming:
            counts = self._latencies(calls - warming, factor)
        failures = draw_failures(self.source, calls, chance)
        return OutcomeCounts(calls, failures, 0, counts)

    def _latencies(self, calls: int, factor: float) -> Counter[int]:
        sums = cumulate_weights(
            log_steps(self.service.median_s * factor), self.sigma
        )
        return Counter(self.source.choices(_BUCKETS, cum_weights=sums, k=calls))

    def _common(self, time_s: float) -> tuple[float, float]:
        slower: float = 1
        failing: float = 0
        for begin, end, factor, chance in self._bursts:
            if begin <= time_s < end:
                slower *= factor
                failing += chance
        return slower, failing

    def _warm_up(self, time_s: float) -> None:
        if time_s >= MAX_WARM_UP.total_seconds():
            self._warming_left[True] = min(
                self._warming_left[True], self._restarted
            )
        if not self._cold or not self._restarts:
            return
        if time_s >= self._restarts[0]:
            self._restarts.pop(0)
            is_new = bool(self.source.getrandbits(1))
            self._cold_left[is_new] += COLD_CALLS
            self._warming_left[is_new] += WARM_UP_CALLS
            self._restarted += WARM_UP_CALLS

    def _draw_times(self, count: int, duration_s: float) -> list[float]:
        return sorted(self.source.uniform(0, duration_s) for _ in range(count))

    def _draw_bursts(
        self, trouble: Trouble, duration_s: float
    ) -> list[tuple[float, float, float, float]]:
        draw = self.source.uniform
        if trouble is Trouble.OVERLOAD:
            return [
                (begin, begin + draw(30, 300), draw(2, 6), draw(0.02, 0.3))
                for begin in self._draw_times(4, duration_s)
            ]
        if trouble is Trouble.NOISY:
            return [
                (begin, begin + draw(4, 30), draw(0.5, 3), 0)
                for begin in self._draw_times(40, duration_s)
            ]
        return []

    def _draw_lies(
        self, trouble: Trouble, duration_s: float
    ) -> list[tuple[float, float]]:
        if trouble is not Trouble.LYING:
            return []
        return [
            (begin, begin + self.source.uniform(5, 60))
            for begin in self._draw_times(3, duration_s)
        ]


class Information:
    """What an ideal observer learns of a version's badness, in nats.

    It knows both versions' distributions of outcomes and is told each
    call's outcome; its information on which of them is which is the
    Jensen-Shannon divergence at the share in force.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._cache: dict[tuple[str, int], float] = {}
        base = log_steps(world.service.median_s)
        bad = log_steps(world.service.median_s * world.badness.slower)
        self._old = latency_weights(base, world.sigma)
        self._new = latency_weights(bad, world.sigma)

    def rate(self, time_s: float, share: int) -> float:
        """Return the nats of one second."""
        total: float = 0
        for route, weight in zip(ROUTES, WEIGHTS, strict=True):
            if self._world.badness.is_active(time_s, share, route):
                total += weight * self._divergence(share)
        return total * self._world.service.rate

    def best_rate(self, time_s: float) -> float:
        """Return the nats of one second at the most telling share."""
        return max(self.rate(time_s, share) for share in range(400, 9600, 400))

    def _divergence(self, share: int) -> float:
        key = ('', share)
        if key not in self._cache:
            self._cache[key] = self._compute(share / FULL_SHARE)
        return self._cache[key]

    def _compute(self, part: float) -> float:
        bad = min(self._world.failing + self._world.badness.failing, 1)
        pairs = [
            (self._world.failing, bad),
            (1 - self._world.failing, 1 - bad),
        ]
        total = sum(_mixed(old, new, part) for old, new in pairs)
        return total + sum(
            _mixed(old, new, part)
            for old, new in zip(self._old, self._new, strict=True)
        )


def _mixed(old: float, new: float, part: float) -> float:
    mean = part * new + (1 - part) * old
    total: float = 0
    if new > 0 and part:
        total += part * new * math.log(new / mean)
    if old > 0 and part < 1:
        total += (1 - part) * old * math.log(old / mean)
    return total
