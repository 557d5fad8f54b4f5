"""Selects the server for a request by its expected cost.

Handles load shifts between failure domains, servers that are slow, cold,
partially failing or gone, and many servers that come back at once. The cost
of a server is the share of the response's value that is likely to be lost
there: by a late or missing response, by a failure, and by the bytes that
cross between failure domains. A response that is faster than the caller needs
gains little, so a slow server in this node's failure domain is preferred to a
fast one in another (a remote server) until responses would be late.

Requests of this node count as soon as they are sent, those of other nodes
only once a load report includes them. Reports lag by a considerable part of
the time that a request takes, and all nodes read the same ones: if each node
chose the best server, all would send to it until the next report (a
thundering herd). So servers of similar cost are drawn at random, weighted by
their free slots. The older a report, the closer a server's assumed utilization
is to the average of its service.
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
from bluebellslip._internal.proxy.domain_spill import DomainSpill
from bluebellslip._internal.proxy.estimates import (
    blend_free_slots,
    compute_mean_hold_time,
    estimate_hold_time,
    estimate_wait,
    measure_utilization,
)

# Additional round-trip time between failure domains.
CROSS_DOMAIN_LATENCY: Final = dt.timedelta(milliseconds=3)
# Share of its value that a response loses when it misses its target latency.
LATE_PENALTY: Final = 0.7
# Probability of exceeding a limit when the expected time equals it; times at a
# server scatter by about half of their mean.
LATE_PROBABILITY_AT_LIMIT: Final = 0.4
# Failure rates up to this are not held against a server.
IGNORED_FAILURE_RATE: Final = 0.03
# Servers within this of the lowest cost are equivalent: one is drawn at random
# if no server qualifies for the draw by free slots.
EQUAL_COST_MARGIN: Final = 0.004
# In the draw by free slots, a slot's weight falls by a factor of e for each
# COST_SPREAD by which the cost of its server exceeds the lowest. A server that
# exceeds the lowest cost by more than SPREAD_LIMIT doesn't qualify.
COST_SPREAD: Final = 0.05
SPREAD_LIMIT: Final = 0.2
# Backoff after a failed connection to a node; doubles up to the maximum.
INITIAL_BACKOFF: Final = dt.timedelta(milliseconds=500)
MAX_BACKOFF: Final = dt.timedelta(seconds=4)
_MAX_DOUBLINGS: Final = 3
# A node that has reported no load for longer than this, one and a half times
# the maximum beacon interval, for each round from one of its reports to the
# next has lost a beacon or died. Until the node counts
# as silent, other nodes are preferred, as if MISSED_BEACON_COST of the value of
# its responses were lost.
MISSED_BEACON_AFTER: Final = dt.timedelta(milliseconds=1200)
MISSED_BEACON_COST: Final = 0.3
# A remote server is not tried if, according to its latest report, the request
# would wait for longer than this and the response would be late by more than
# this: even a refusal would cross between failure domains.
MAX_REMOTE_LATENESS: Final = dt.timedelta(milliseconds=100)
_ZERO: Final = dt.timedelta()
_MIN_DURATION: Final = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Requirements:
    """What a request requires of a server.

    Parameters
    ----------
    route
        The route that it matched.
    kilobytes
        Size of the request and its expected response, in kilobytes.
    time_to_objective
        Time left until its response loses value.
    time_to_deadline
        Time left until the request is abandoned.
    """

    route: RouteName
    kilobytes: float
    time_to_objective: dt.timedelta
    time_to_deadline: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class ServerChoice:
    """A selected server.

    Parameters
    ----------
    endpoint
        The server.
    max_wait
        Longest wait in its queue before another server is preferable.
    """

    endpoint: Endpoint
    max_wait: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    """A server's cost; ``fixed_cost`` is the part that its queue can't change.

    ``is_excluded`` marks a remote server whose response would be too late.
    """

    endpoint: Endpoint
    hold_time: dt.timedelta
    fixed_cost: float
    cost: float
    is_excluded: bool
    is_remote: bool
    free_slots: float


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceAverages:
    """Averages over the candidate servers of a service.

    ``hold_time`` is the mean hold time of a request of the route,
    ``utilization`` the share of slots in use.
    """

    hold_time: dt.timedelta
    utilization: float


class ServerSelector:
    """Selects servers for the requests of one node.

    Parameters
    ----------
    clock
        The node's clock.
    random_source
        Draws among servers of similar cost.
    locality
        Region and failure domain of the node.
    crossing_cost
        Cost of sending one kilobyte to another failure domain, as a share of a
        response's value.
    spill
        Decides which requests leave the failure domain because of its load;
        none to go by the cost of each server alone.
    """

    def __init__(
        self,
        clock: Clock,
        random_source: Random,
        locality: Locality,
        crossing_cost: float,
        spill: DomainSpill | None = None,
    ) -> None:
        self._spill = spill
        self._clock = clock
        self._random = random_source
        self._locality = locality
        self._crossing_cost = crossing_cost

    def apply(self, crossing_cost: float) -> None:
        """Apply a new cost per kilobyte sent to another failure domain."""
        self._crossing_cost = crossing_cost

    def choose(
        self, endpoints: Sequence[Endpoint], requirements: Requirements
    ) -> ServerChoice | None:
        """Return the server to try and the longest wait there.

        The result is none if there is no server worth trying, so that the
        request must be refused.
        """
        averages = _ServiceAverages(
            compute_mean_hold_time(endpoints, requirements.route),
            measure_utilization(endpoints),
        )
        if self._spill is not None:
            endpoints = self._spill.select(
                endpoints,
                lambda wait: self._pays_to_leave(
                    wait, averages.hold_time, requirements
                ),
            )
        estimates = [
            estimate
            for endpoint in endpoints
            if not (
                estimate := self._estimate(endpoint, requirements, averages)
            ).is_excluded
        ]
        if not estimates:
            return None
        chosen = self._pick(estimates)
        other_costs = [
            estimate.cost
            for estimate in estimates
            if estimate.endpoint is not chosen.endpoint
        ]
        max_wait = requirements.time_to_deadline
        if other_costs:
            max_wait = _compute_max_wait(chosen, min(other_costs), requirements)
        return ServerChoice(chosen.endpoint, max_wait)

    def _pays_to_leave(
        self,
        wait: dt.timedelta,
        hold_time: dt.timedelta,
        requirements: Requirements,
    ) -> bool:
        """Return whether a wait here costs more than another domain."""
        here = estimate_loss(hold_time + wait, requirements)
        there = estimate_loss(hold_time + CROSS_DOMAIN_LATENCY, requirements)
        crossing = self._crossing_cost * requirements.kilobytes
        return here > there + crossing

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
        hold_time = estimate_hold_time(
            endpoint, now, requirements.route, averages.hold_time
        )
        server_hold_time = endpoint.load.hold_time or averages.hold_time
        wait = estimate_wait(endpoint, server_hold_time, now)
        expected = hold_time + wait
        is_remote = endpoint.locality != self._locality
        lateness = expected - max(requirements.time_to_objective, _ZERO)
        is_excluded = (
            is_remote
            and wait > MAX_REMOTE_LATENESS
            and lateness > MAX_REMOTE_LATENESS
        )
        if is_remote:
            expected += CROSS_DOMAIN_LATENCY
        fixed_cost = self._compute_fixed_cost(endpoint, requirements, now)
        cost = fixed_cost + estimate_loss(expected, requirements)
        return _Estimate(
            endpoint=endpoint,
            hold_time=hold_time,
            fixed_cost=fixed_cost,
            cost=cost,
            is_excluded=is_excluded,
            is_remote=is_remote,
            free_slots=blend_free_slots(
                endpoint, server_hold_time, averages.utilization, now
            ),
        )

    def _compute_fixed_cost(
        self, endpoint: Endpoint, requirements: Requirements, now: dt.timedelta
    ) -> float:
        """Return the part of a server's cost that its queue does not affect."""
        fixed_cost = 0.0
        if endpoint.locality != self._locality:
            fixed_cost += self._crossing_cost * requirements.kilobytes
        if endpoint.failure_rate > IGNORED_FAILURE_RATE:
            fixed_cost += endpoint.failure_rate
        if now < endpoint.unreachable_until:
            fixed_cost += 1
        if _has_missed_beacon(endpoint, now):
            fixed_cost += MISSED_BEACON_COST
        return fixed_cost


def _has_missed_beacon(endpoint: Endpoint, now: dt.timedelta) -> bool:
    if endpoint.address is None:
        return False
    longest = MISSED_BEACON_AFTER * endpoint.report_rounds
    return now - endpoint.load.received_at > longest


def estimate_loss(expected: dt.timedelta, requirements: Requirements) -> float:
    """Return the expected loss of a response's value from its latency."""
    late_probability = _estimate_overrun(
        expected, requirements.time_to_objective
    )
    timeout_probability = _estimate_overrun(
        expected, requirements.time_to_deadline
    )
    return (
        LATE_PENALTY * late_probability
        + (1 - LATE_PENALTY) * timeout_probability
    )


def mark_unreachable(endpoint: Endpoint, now: dt.timedelta) -> None:
    """Start or double the backoff after a failed attempt to reach a node."""
    doublings = min(endpoint.connect_failures, _MAX_DOUBLINGS)
    endpoint.connect_failures += 1
    backoff = min(INITIAL_BACKOFF * 2**doublings, MAX_BACKOFF)
    endpoint.unreachable_until = now + backoff


def mark_reachable(endpoint: Endpoint) -> None:
    """Reset the backoff after a node responded."""
    endpoint.connect_failures = 0
    endpoint.unreachable_until = _ZERO


def estimate_retry_after(
    endpoints: Collection[Endpoint], limit: dt.timedelta, now: dt.timedelta
) -> dt.timedelta:
    """Return the time, up to a limit, until a server likely has a free slot."""
    mean_hold_time = compute_mean_hold_time(endpoints)
    waits = [
        estimate_wait(endpoint, endpoint.load.hold_time or mean_hold_time, now)
        for endpoint in endpoints
    ]
    return min(min(waits, default=limit), limit)


def _estimate_overrun(expected: dt.timedelta, limit: dt.timedelta) -> float:
    """Return the probability that the actual time exceeds a limit."""
    ratio = expected / max(limit, _MIN_DURATION)
    return min(1, LATE_PROBABILITY_AT_LIMIT * ratio * ratio)


def _compute_max_wait(
    chosen: _Estimate, alternative_cost: float, requirements: Requirements
) -> dt.timedelta:
    """Return the wait at which the chosen server costs as much as another.

    ``alternative_cost`` is the lowest cost of the other servers. The result
    follows from solving the probability of a late response for the time. It is
    slightly too long, because the loss from a response that never comes is left
    out.
    """
    ratio_squared = (alternative_cost - chosen.fixed_cost) / (
        LATE_PENALTY * LATE_PROBABILITY_AT_LIMIT
    )
    if ratio_squared <= 0:
        return _ZERO
    if ratio_squared * LATE_PROBABILITY_AT_LIMIT >= 1:
        return requirements.time_to_deadline
    longest = max(requirements.time_to_objective, _MIN_DURATION) * math.sqrt(
        ratio_squared
    )
    return max(_ZERO, longest - chosen.hold_time)
