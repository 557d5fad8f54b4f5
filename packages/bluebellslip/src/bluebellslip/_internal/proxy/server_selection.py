"""Choice of a server: near first, by what it would cost the caller.

Answers shifts of the load between failure domains, servers that are slow,
cold, grey or gone, and the return of many at once. The cost of a server is
the part of the answer's worth that is likely to be lost there: by an answer
that comes late or not at all, by a failure, and by the bytes that have to
cross between failure domains. Being faster than the caller needs is worth
little, so a slow server nearby goes before a fast one far away until answers
would come late. Requests of this node count from the moment they are sent,
those of others from the newest report. Reports are old by a good part of the
time that a request takes, and all nodes read the same ones: were each to take
the best server, all would run to it until the next report. So those that are
nearly as good are chosen among by chance, in proportion to their free slots;
the older a report, the more a server counts as taken as the others are.
"""

import dataclasses
import datetime as dt
import math
from collections.abc import Collection, Sequence
from random import Random
from typing import Final

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Locality, RouteName
from bluebellslip._internal.proxy.estimates import (
    estimate_hold_time,
    estimate_wait,
    expect_free_slots,
    mean_hold_time,
    measure_utilization,
)

# Time on the way between failure domains and back, on top of the near way.
CROSS_DOMAIN_LATENCY: Final = dt.timedelta(milliseconds=3)
# Part of its worth that an answer loses when it misses its target latency.
LATE_PENALTY: Final = 0.7
# Chance of coming late when the expected time is the whole time; times at a
# server scatter by about half of their mean.
LATE_PROBABILITY_AT_LIMIT: Final = 0.4
# Failing less often than this tells nothing of a server.
IGNORED_FAILURE_RATE: Final = 0.03
# Servers whose costs differ by less are alike and chosen among by chance.
EQUAL_COST_MARGIN: Final = 0.004
# A server with free slots whose cost exceeds the least by this is chosen e
# times less often for each of its free slots; by more than the limit, never.
COST_SPREAD: Final = 0.05
SPREAD_LIMIT: Final = 0.2
# First pause after a failed connection to a node; it doubles up to the last.
INITIAL_BACKOFF: Final = dt.timedelta(milliseconds=500)
MAX_BACKOFF: Final = dt.timedelta(seconds=4)
_MAX_DOUBLINGS: Final = 3
# A node that was not heard of for longer than this has missed a beacon or died:
# one and a half times the longest period. Until it counts as silent, others go
# before it, as if a third of the answers' worth were lost there.
MISSED_BEACON_AFTER: Final = dt.timedelta(milliseconds=1200)
MISSED_BEACON_COST: Final = 0.3
# A server far away that would come late by more than this, as its newest report
# tells, is not asked: its refusal would cross between failure domains, too.
MAX_REMOTE_LATENESS: Final = dt.timedelta(milliseconds=100)
_ZERO: Final = dt.timedelta()
_MIN_DURATION: Final = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request needs of a server.

    Parameters
    ----------
    route
        The route that it came by.
    kilobytes
        Size of the request and its likely answer.
    target
        Time left until its answer is worth less.
    limit
        Time left until it is given up.
    """

    route: RouteName
    kilobytes: float
    target: dt.timedelta
    limit: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChoice:
    """A server, and the wait for it that is better than the next one.

    Parameters
    ----------
    endpoint
        The server.
    patience
        Longest wait in its queue before another server is the better one.
    """

    endpoint: Endpoint
    max_wait: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    """A server's cost, and the parts of it that don't depend on its queue."""

    endpoint: Endpoint
    hold: dt.timedelta
    fixed_cost: float
    cost: float
    is_hopeless: bool
    is_remote: bool
    free_slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceAverages:
    """What is usual among the servers of a service.

    ``hold`` is the time that a request of the route takes, ``taken`` the share
    of the slots that is taken.
    """

    hold: dt.timedelta
    utilization: float


class ServerSelector:
    """Chooses servers for the requests of one node.

    Parameters
    ----------
    clock
        The node's clock.
    random_source
        Breaks ties.
    locality
        Where the node stands.
    crossing_cost
        Part of an answer's worth that moving a kilobyte to another failure
        domain counts for.
    """

    def __init__(
        self,
        clock: Clock,
        random_source: Random,
        locality: Locality,
        crossing_cost: float,
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._locality = locality
        self._crossing_cost = crossing_cost

    def apply(self, crossing_cost: float) -> None:
        """Apply another cost of moving bytes from now on."""
        self._crossing_cost = crossing_cost

    def choose(
        self, endpoints: Sequence[Endpoint], requirements: Requirements
    ) -> ServerChoice | None:
        """Return the best of some servers; none if no one is worth asking."""
        averages = _ServiceAverages(
            mean_hold_time(endpoints, requirements.route),
            measure_utilization(endpoints),
        )
        estimates = [
            estimate
            for endpoint in endpoints
            if not (
                estimate := self._estimate(endpoint, requirements, averages)
            ).is_hopeless
        ]
        if not estimates:
            return None
        chosen = self._pick(estimates)
        others = [
            estimate.cost
            for estimate in estimates
            if estimate.endpoint is not chosen.endpoint
        ]
        max_wait = requirements.limit
        if others:
            max_wait = _compute_max_wait(chosen, min(others), requirements)
        return ServerChoice(chosen.endpoint, max_wait)

    def _pick(self, estimates: Sequence[_Estimate]) -> _Estimate:
        best = min(estimates, key=lambda estimate: estimate.cost)
        min_cost = best.cost
        free = [
            estimate
            for estimate in estimates
            if estimate.free_slots > 0
            and estimate.is_remote == best.is_remote
            and estimate.cost - min_cost <= SPREAD_LIMIT
        ]
        if free:
            weights = [
                estimate.free_slots
                * math.exp((min_cost - estimate.cost) / COST_SPREAD)
                for estimate in free
            ]
            return self._random.choices(free, weights)[0]
        return self._random.choice([
            estimate
            for estimate in estimates
            if estimate.cost - min_cost <= EQUAL_COST_MARGIN
        ])

    def _estimate(
        self,
        endpoint: Endpoint,
        requirements: Requirements,
        averages: '_ServiceAverages',
    ) -> _Estimate:
        now = self._clock.elapsed()
        hold = estimate_hold_time(
            endpoint, now, requirements.route, averages.hold
        )
        mean_hold = endpoint.load.hold_time or averages.hold
        wait = estimate_wait(endpoint, mean_hold, now)
        spent = hold + wait
        is_remote = endpoint.locality != self._locality
        late = spent - max(requirements.target, _ZERO)
        is_hopeless = (
            is_remote
            and wait > MAX_REMOTE_LATENESS
            and late > MAX_REMOTE_LATENESS
        )
        if is_remote:
            spent += CROSS_DOMAIN_LATENCY
        fixed_cost = self._compute_fixed_cost(endpoint, requirements, now)
        cost = fixed_cost + estimate_loss(spent, requirements)
        return _Estimate(
            endpoint=endpoint,
            hold=hold,
            fixed_cost=fixed_cost,
            cost=cost,
            is_hopeless=is_hopeless,
            is_remote=is_remote,
            free_slots=expect_free_slots(
                endpoint, mean_hold, averages.utilization, now
            ),
        )

    def _compute_fixed_cost(
        self, endpoint: Endpoint, requirements: Requirements, now: dt.timedelta
    ) -> float:
        """Return the part of a server's cost that its queue does not change."""
        fixed_cost = 0.0
        if endpoint.locality != self._locality:
            fixed_cost += self._crossing_cost * requirements.kilobytes
        if endpoint.failure_rate > IGNORED_FAILURE_RATE:
            fixed_cost += endpoint.failure_rate
        if now < endpoint.unreachable_until:
            fixed_cost += 1
        if (
            endpoint.address is not None
            and now - endpoint.load.received_at > MISSED_BEACON_AFTER
        ):
            fixed_cost += MISSED_BEACON_COST
        return fixed_cost


def _has_missed_beacon(endpoint: Endpoint, now: dt.timedelta) -> bool:
    is_peer = endpoint.address is not None
    return is_peer and now - endpoint.load.received_at > MISSED_BEACON_AFTER


def estimate_loss(spent: dt.timedelta, requirements: Requirements) -> float:
    """Return the part of an answer's worth that a time is likely to cost."""
    late = _estimate_overrun(spent, requirements.target)
    never = _estimate_overrun(spent, requirements.limit)
    return LATE_PENALTY * late + (1 - LATE_PENALTY) * never


def mark_unreachable(endpoint: Endpoint, now: dt.timedelta) -> None:
    """Take in that no connection to a server's node came about."""
    doublings = min(endpoint.connect_failures, _MAX_DOUBLINGS)
    endpoint.connect_failures += 1
    backoff = min(INITIAL_BACKOFF * 2**doublings, MAX_BACKOFF)
    endpoint.unreachable_until = now + backoff


def mark_reachable(endpoint: Endpoint) -> None:
    """Take in that a server's node answered."""
    endpoint.connect_failures = 0
    endpoint.unreachable_until = _ZERO


def estimate_retry_after(
    endpoints: Collection[Endpoint], limit: dt.timedelta, now: dt.timedelta
) -> dt.timedelta:
    """Return when one of some servers is likely to have room again."""
    averages = mean_hold_time(endpoints)
    waits = [
        estimate_wait(endpoint, endpoint.load.hold_time or averages, now)
        for endpoint in endpoints
    ]
    return min(min(waits, default=limit), limit)


def _estimate_overrun(spent: dt.timedelta, limit: dt.timedelta) -> float:
    """Return the chance that an expected time exceeds a limit."""
    ratio = spent / max(limit, _MIN_DURATION)
    return min(1, LATE_PROBABILITY_AT_LIMIT * ratio * ratio)


def _compute_max_wait(
    chosen: _Estimate, alternative_cost: float, requirements: Requirements
) -> dt.timedelta:
    """Return the wait at which the chosen server costs as much as a rival.

    The chance of a late answer is solved for the time; what is lost by an
    answer that never comes is left out, which errs on the short side by
    little.
    """
    ratio_squared = (alternative_cost - chosen.fixed_cost) / (
        LATE_PENALTY * LATE_PROBABILITY_AT_LIMIT
    )
    if ratio_squared <= 0:
        return _ZERO
    if ratio_squared * LATE_PROBABILITY_AT_LIMIT >= 1:
        return requirements.limit
    longest = max(requirements.target, _MIN_DURATION) * math.sqrt(ratio_squared)
    return max(_ZERO, longest - chosen.hold)
