"""Simulated calls of one service in two versions, drawn tick by tick."""

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
ROUTE_WEIGHTS: Final = (0.6, 0.3, 0.1)
COLD_CALLS_PER_SERVER: Final = 15  # slow calls after a cold start

_STEPS_PER_DOUBLING: Final = 64
_MIN_GAUSSIAN_MEAN: Final = 60
_BUCKETS: Final = range(LAST_BUCKET + 1)


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Size and load of a service; latencies are in seconds."""

    name: str
    preference: Preference
    servers: int
    slots: int
    calls_per_second: float
    median_latency_s: float


SERVICES: Final = (
    ServiceLoad('storefront', Preference.SAFETY, 5, 12, 60, 0.02),
    ServiceLoad('orders', Preference.SAFETY, 4, 12, 10, 0.04),
    ServiceLoad('artwork', Preference.SAFETY, 3, 12, 6, 0.12),
    ServiceLoad('portal', Preference.DEADLINE, 5, 18, 80, 0.02),
    ServiceLoad('lodgement', Preference.DEADLINE, 3, 18, 8, 0.05),
    ServiceLoad('engineering', Preference.DEADLINE, 3, 18, 12, 0.1),
)


@enum.unique
class Onset(enum.Enum):
    """Condition under which the defect of a bad version affects calls."""

    AT_ONCE = 'at once'
    LATER = 'later'
    LOAD_ONLY = 'under load only'
    ONE_ROUTE = 'on one route'


@enum.unique
class Disturbance(enum.Enum):
    """A problem that must not cause the withdrawal of a good version."""

    NONE = 'plain'
    OVERLOAD = 'common overload'
    COLD = 'cold starts'
    FALSE_LOSS = 'lost servers'
    NOISY = 'noisy latency'


@dataclasses.dataclass(frozen=True, slots=True)
class Defect:
    """How a version is worse than the old one.

    ``failure_rate`` is the additional fraction of affected calls that fail;
    ``latency_factor`` multiplies the latency of all affected calls. The defect
    affects calls from ``onset_s`` seconds after the move's start, while the
    version's share is at least ``min_share`` basis points. An empty ``route``
    means that it affects all routes.
    """

    onset: Onset
    failure_rate: float = 0
    latency_factor: float = 1
    onset_s: float = 0
    min_share: int = 0
    route: str = ''

    def affects_route(self, time_s: float, share: int, route: str) -> bool:
        """Return whether the defect affects a route at a time and share."""
        if time_s < self.onset_s or share < self.min_share:
            return False
        return not self.route or route == self.route


NO_DEFECT: Final = Defect(Onset.AT_ONCE)


@lru_cache(maxsize=100_000)
def compute_bucket_probabilities(
    log_median: int, sigma: float
) -> tuple[float, ...]:
    """Return the probability of each bucket under a lognormal latency.

    Parameters
    ----------
    log_median
        Binary logarithm of the median in seconds, as a multiple of 1/64.
    sigma
        Standard deviation of the latency's natural logarithm.
    """
    log2_median = log_median / _STEPS_PER_DOUBLING
    scale = sigma * math.sqrt(2)
    cumulative = [
        0.5 * (1 + math.erf(_compute_log_ratio(bucket, log2_median) / scale))
        for bucket in _BUCKETS[:-1]
    ]
    cumulative.append(1)
    return (
        cumulative[0],
        *(high - low for low, high in itertools.pairwise(cumulative)),
    )


def _compute_log_ratio(bucket: int, log2_median: float) -> float:
    seconds = find_upper_bound(bucket).total_seconds()
    return math.log(seconds) - log2_median * math.log(2)


@lru_cache(maxsize=100_000)
def compute_cumulative_probabilities(
    log_median: int, sigma: float
) -> tuple[float, ...]:
    """Return the cumulative sums of ``compute_bucket_probabilities``."""
    return tuple(
        itertools.accumulate(compute_bucket_probabilities(log_median, sigma))
    )


def quantize_log_median(median_latency_s: float) -> int:
    """Return the binary logarithm of a median as a multiple of 1/64."""
    return round(math.log2(median_latency_s) * _STEPS_PER_DOUBLING)


def draw_count(random_source: Random, mean: float) -> int:
    """Draw from a Poisson distribution, or its normal approximation."""
    if mean > _MIN_GAUSSIAN_MEAN:
        return max(0, round(random_source.gauss(mean, math.sqrt(mean))))
    limit = math.exp(-mean)
    count = 0
    product = random_source.random()
    while product > limit:
        count += 1
        product *= random_source.random()
    return count


def draw_failures(
    random_source: Random, calls: int, failure_rate: float
) -> int:
    """Draw from a binomial distribution, by the gaps between failures."""
    if failure_rate <= 0 or not calls:
        return 0
    if failure_rate >= 1:
        return calls
    failures = 0
    scale = math.log1p(-failure_rate)
    position = int(math.log(1 - random_source.random()) / scale)
    while position < calls:
        failures += 1
        position += 1 + int(math.log(1 - random_source.random()) / scale)
    return failures


class CallSimulator:
    """Draws the calls of a service with an old and a new version.

    Parameters
    ----------
    service
        Size and load of the service.
    defect
        Defect of the new version; ``NO_DEFECT`` for a good one.
    disturbance
        Problem during the move that is not a defect of the new version.
    duration_s
        Time from the move's start to its deadline, in seconds.
    random_source
        Source of randomness of all draws.
    """

    def __init__(
        self,
        service: ServiceLoad,
        defect: Defect,
        disturbance: Disturbance,
        duration_s: float,
        random_source: Random,
    ) -> None:
        self.service = service
        self.defect = defect
        self.random_source = random_source
        self.sigma = 1.1 if disturbance is Disturbance.NOISY else 0.5
        self.base_failure_rate = random_source.uniform(0, 0.003)
        self.latency_ratio = (
            random_source.uniform(0.95, 1.05) if defect is NO_DEFECT else 1
        )
        self._has_cold_starts = disturbance is Disturbance.COLD
        # The keys tell the new version (True) from the old one (False).
        self._remaining_cold_calls = {False: 0, True: 0}
        self._remaining_warm_up_calls = {
            False: 0,
            True: WARM_UP_CALLS * service.servers,
        }
        if self._has_cold_starts:
            self._remaining_cold_calls[True] = (
                COLD_CALLS_PER_SERVER * service.servers
            )
        self._restart_warm_up_calls = 0
        self._restart_times = self._draw_times(4, duration_s)
        self._bursts = self._draw_bursts(disturbance, duration_s)
        self.false_losses = self._draw_false_losses(disturbance, duration_s)

    def draw_windows(self, time_s: float, share: int) -> tuple[Window, Window]:
        """Return the counts of the old and the new version in one tick."""
        self._update_warm_up(time_s)
        latency_factor, extra_failure_rate = self._combine_bursts(time_s)
        fraction = share / FULL_SHARE
        old: Window = {}
        new: Window = {}
        for name, weight in zip(ROUTES, ROUTE_WEIGHTS, strict=True):
            route = RouteName(name)
            mean = self.service.calls_per_second * weight * TICK_S
            calls = draw_count(self.random_source, mean * (1 - fraction))
            if calls:
                failure_rate = min(
                    self.base_failure_rate + extra_failure_rate, 1
                )
                old[route] = self._draw_counts(
                    calls, failure_rate, latency_factor, is_new=False
                )
            calls = draw_count(self.random_source, mean * fraction)
            if calls:
                is_bad = self.defect.affects_route(time_s, share, name)
                new[route] = self._draw_new(
                    calls, is_bad, latency_factor, extra_failure_rate
                )
        return old, new

    def reports_false_loss(self, time_s: float) -> bool:
        """Return whether the new servers are falsely reported dead."""
        return any(begin <= time_s < end for begin, end in self.false_losses)

    def _draw_new(
        self,
        calls: int,
        is_bad: bool,
        latency_factor: float,
        extra_failure_rate: float,
    ) -> OutcomeCounts:
        failure_rate = self.base_failure_rate + extra_failure_rate
        factor = latency_factor * self.latency_ratio
        if is_bad:
            failure_rate += self.defect.failure_rate
            factor *= self.defect.latency_factor
        return self._draw_counts(
            calls, min(failure_rate, 1), factor, is_new=True
        )

    def _draw_counts(
        self, calls: int, failure_rate: float, factor: float, *, is_new: bool
    ) -> OutcomeCounts:
        cold_calls = min(calls, self._remaining_cold_calls[is_new])
        self._remaining_cold_calls[is_new] -= cold_calls
        counts = self._draw_latencies(calls - cold_calls, factor)
        if cold_calls:
            counts += self._draw_latencies(cold_calls, factor * 5)
        warm_up_calls = min(calls, self._remaining_warm_up_calls[is_new])
        self._remaining_warm_up_calls[is_new] -= warm_up_calls
        # The policy does not receive the latencies of warm-up calls.
        if warm_up_calls >= calls:
            counts = Counter()
        elif warm_up_calls:
            counts = self._draw_latencies(calls - warm_up_calls, factor)
        failures = draw_failures(self.random_source, calls, failure_rate)
        return OutcomeCounts(calls, failures, 0, counts)

    def _draw_latencies(self, calls: int, factor: float) -> Counter[int]:
        cumulative = compute_cumulative_probabilities(
            quantize_log_median(self.service.median_latency_s * factor),
            self.sigma,
        )
        return Counter(
            self.random_source.choices(
                _BUCKETS, cum_weights=cumulative, k=calls
            )
        )

    def _combine_bursts(self, time_s: float) -> tuple[float, float]:
        latency_factor: float = 1
        extra_failure_rate: float = 0
        for begin, end, factor, failure_rate in self._bursts:
            if begin <= time_s < end:
                latency_factor *= factor
                extra_failure_rate += failure_rate
        return latency_factor, extra_failure_rate

    def _update_warm_up(self, time_s: float) -> None:
        if time_s >= MAX_WARM_UP.total_seconds():
            self._remaining_warm_up_calls[True] = min(
                self._remaining_warm_up_calls[True], self._restart_warm_up_calls
            )
        if not self._has_cold_starts or not self._restart_times:
            return
        if time_s >= self._restart_times[0]:
            self._restart_times.pop(0)
            is_new = bool(self.random_source.getrandbits(1))
            self._remaining_cold_calls[is_new] += COLD_CALLS_PER_SERVER
            self._remaining_warm_up_calls[is_new] += WARM_UP_CALLS
            self._restart_warm_up_calls += WARM_UP_CALLS

    def _draw_times(self, count: int, duration_s: float) -> list[float]:
        return sorted(
            self.random_source.uniform(0, duration_s) for _ in range(count)
        )

    def _draw_bursts(
        self, disturbance: Disturbance, duration_s: float
    ) -> list[tuple[float, float, float, float]]:
        uniform = self.random_source.uniform
        if disturbance is Disturbance.OVERLOAD:
            return [
                (
                    begin,
                    begin + uniform(30, 300),
                    uniform(2, 6),
                    uniform(0.02, 0.3),
                )
                for begin in self._draw_times(4, duration_s)
            ]
        if disturbance is Disturbance.NOISY:
            return [
                (begin, begin + uniform(4, 30), uniform(0.5, 3), 0)
                for begin in self._draw_times(40, duration_s)
            ]
        return []

    def _draw_false_losses(
        self, disturbance: Disturbance, duration_s: float
    ) -> list[tuple[float, float]]:
        if disturbance is not Disturbance.FALSE_LOSS:
            return []
        return [
            (begin, begin + self.random_source.uniform(5, 60))
            for begin in self._draw_times(3, duration_s)
        ]


class InformationRate:
    """Information that an ideal observer gains on a defect, in nats a second.

    The observer knows the distributions of outcomes of both versions and the
    outcome of each call. On average, each call adds the Jensen-Shannon
    divergence of these distributions, weighted by the versions' current shares
    of the calls.
    """

    def __init__(self, simulator: CallSimulator) -> None:
        self._simulator = simulator
        self._cache: dict[tuple[str, int], float] = {}
        old_median = quantize_log_median(simulator.service.median_latency_s)
        new_median = quantize_log_median(
            simulator.service.median_latency_s * simulator.defect.latency_factor
        )
        self._old_probabilities = compute_bucket_probabilities(
            old_median, simulator.sigma
        )
        self._new_probabilities = compute_bucket_probabilities(
            new_median, simulator.sigma
        )

    def compute(self, time_s: float, share: int) -> float:
        """Return the nats a second at a share in basis points."""
        total: float = 0
        for route, weight in zip(ROUTES, ROUTE_WEIGHTS, strict=True):
            if self._simulator.defect.affects_route(time_s, share, route):
                total += weight * self._get_divergence(share)
        return total * self._simulator.service.calls_per_second

    def compute_maximum(self, time_s: float) -> float:
        """Return the nats a second at the most informative share."""
        return max(
            self.compute(time_s, share) for share in range(400, 9600, 400)
        )

    def _get_divergence(self, share: int) -> float:
        key = ('', share)
        if key not in self._cache:
            self._cache[key] = self._compute_divergence(share / FULL_SHARE)
        return self._cache[key]

    def _compute_divergence(self, fraction: float) -> float:
        new_failure_rate = min(
            self._simulator.base_failure_rate
            + self._simulator.defect.failure_rate,
            1,
        )
        pairs = [
            (self._simulator.base_failure_rate, new_failure_rate),
            (1 - self._simulator.base_failure_rate, 1 - new_failure_rate),
        ]
        total = sum(
            _compute_divergence_term(old, new, fraction) for old, new in pairs
        )
        return total + sum(
            _compute_divergence_term(old, new, fraction)
            for old, new in zip(
                self._old_probabilities, self._new_probabilities, strict=True
            )
        )


def _compute_divergence_term(old: float, new: float, fraction: float) -> float:
    mean = fraction * new + (1 - fraction) * old
    total: float = 0
    if new > 0 and fraction:
        total += fraction * new * math.log(new / mean)
    if old > 0 and fraction < 1:
        total += (1 - fraction) * old * math.log(old / mean)
    return total
