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
    estimate_wait,
    expect_room,
    find_hold,
    find_taken,
    find_usual_hold,
)

# Time on the way between failure domains and back, on top of the near way.
CROSSING_TIME: Final = dt.timedelta(milliseconds=3)
# Part of its worth that an answer loses when it misses its target latency.
LATE_LOSS: Final = 0.7
# Chance of coming late when the expected time is the whole time; times at a
# server scatter by about half of their mean.
CHANCE_AT_LIMIT: Final = 0.4
# Failing less often than this tells nothing of a server.
USUAL_FAILING: Final = 0.03
# Servers whose costs differ by less are alike and chosen among by chance.
ALIKE: Final = 0.004
# A server with free slots whose cost exceeds the least by this is chosen e
# times less often for each of its free slots; by more than the limit, never.
SPREAD: Final = 0.05
SPREAD_LIMIT: Final = 0.2
# First pause after a failed connection to a node; it doubles up to the last.
FIRST_PAUSE: Final = dt.timedelta(milliseconds=500)
LAST_PAUSE: Final = dt.timedelta(seconds=4)
_MOST_DOUBLINGS: Final = 3
# A node that was not heard of for longer than this has missed a beacon or died:
# one and a half times the longest period. Until it counts as silent, others go
# before it, as if a third of the answers' worth were lost there.
QUIET_AFTER: Final = dt.timedelta(milliseconds=1200)
QUIET_COST: Final = 0.3
# A server far away that would come late by more than this, as its newest report
# tells, is not asked: its refusal would cross between failure domains, too.
HOPELESS_AFTER: Final = dt.timedelta(milliseconds=100)
_NOTHING: Final = dt.timedelta()
_NO_TIME: Final = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class Need:
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
class Choice:
    """A server, and the wait for it that is better than the next one.

    Parameters
    ----------
    endpoint
        The server.
    patience
        Longest wait in its queue before another server is the better one.
    """

    endpoint: Endpoint
    patience: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class _Estimate:
    """A server's cost, and the parts of it that don't depend on its queue."""

    endpoint: Endpoint
    hold: dt.timedelta
    fixed: float
    total: float
    is_vain: bool
    is_far: bool
    room: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Usual:
    """What is usual among the servers of a service.

    ``hold`` is the time that a request of the route takes, ``taken`` the share
    of the slots that is taken.
    """

    hold: dt.timedelta
    taken: float


class Placement:
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
        self, endpoints: Sequence[Endpoint], need: Need
    ) -> Choice | None:
        """Return the best of some servers; none if no one is worth asking."""
        usual = _Usual(
            find_usual_hold(endpoints, need.route), find_taken(endpoints)
        )
        estimates = [
            estimate
            for endpoint in endpoints
            if not (estimate := self._estimate(endpoint, need, usual)).is_vain
        ]
        if not estimates:
            return None
        chosen = self._pick(estimates)
        others = [
            estimate.total
            for estimate in estimates
            if estimate.endpoint is not chosen.endpoint
        ]
        patience = need.limit
        if others:
            patience = _find_patience(chosen, min(others), need)
        return Choice(chosen.endpoint, patience)

    def _pick(self, estimates: Sequence[_Estimate]) -> _Estimate:
        best = min(estimates, key=lambda estimate: estimate.total)
        least = best.total
        free = [
            estimate
            for estimate in estimates
            if estimate.room > 0
            and estimate.is_far == best.is_far
            and estimate.total - least <= SPREAD_LIMIT
        ]
        if free:
            weights = [
                estimate.room * math.exp((least - estimate.total) / SPREAD)
                for estimate in free
            ]
            return self._random.choices(free, weights)[0]
        return self._random.choice([
            estimate
            for estimate in estimates
            if estimate.total - least <= ALIKE
        ])

    def _estimate(
        self, endpoint: Endpoint, need: Need, usual: '_Usual'
    ) -> _Estimate:
        now = self._clock.elapsed()
        hold = find_hold(endpoint, now, need.route, usual.hold)
        usual_of_all = endpoint.load.hold_time or usual.hold
        wait = estimate_wait(endpoint, usual_of_all, now)
        spent = hold + wait
        is_far = endpoint.locality != self._locality
        late = spent - max(need.target, _NOTHING)
        is_vain = is_far and wait > HOPELESS_AFTER and late > HOPELESS_AFTER
        if is_far:
            spent += CROSSING_TIME
        fixed = self._find_fixed(endpoint, need, now)
        total = fixed + estimate_loss(spent, need)
        return _Estimate(
            endpoint=endpoint,
            hold=hold,
            fixed=fixed,
            total=total,
            is_vain=is_vain,
            is_far=is_far,
            room=expect_room(endpoint, usual_of_all, usual.taken, now),
        )

    def _find_fixed(
        self, endpoint: Endpoint, need: Need, now: dt.timedelta
    ) -> float:
        """Return the part of a server's cost that its queue does not change."""
        fixed = 0.0
        if endpoint.locality != self._locality:
            fixed += self._crossing_cost * need.kilobytes
        if endpoint.failure_rate > USUAL_FAILING:
            fixed += endpoint.failure_rate
        if now < endpoint.unreachable_until:
            fixed += 1
        if (
            endpoint.address is not None
            and now - endpoint.load.received_at > QUIET_AFTER
        ):
            fixed += QUIET_COST
        return fixed


def _is_quiet(endpoint: Endpoint, now: dt.timedelta) -> bool:
    is_peer = endpoint.address is not None
    return is_peer and now - endpoint.load.received_at > QUIET_AFTER


def estimate_loss(spent: dt.timedelta, need: Need) -> float:
    """Return the part of an answer's worth that a time is likely to cost."""
    late = _find_chance(spent, need.target)
    never = _find_chance(spent, need.limit)
    return LATE_LOSS * late + (1 - LATE_LOSS) * never


def note_unreachable(endpoint: Endpoint, now: dt.timedelta) -> None:
    """Take in that no connection to a server's node came about."""
    doublings = min(endpoint.connect_failures, _MOST_DOUBLINGS)
    endpoint.connect_failures += 1
    pause = min(FIRST_PAUSE * 2**doublings, LAST_PAUSE)
    endpoint.unreachable_until = now + pause


def note_reached(endpoint: Endpoint) -> None:
    """Take in that a server's node answered."""
    endpoint.connect_failures = 0
    endpoint.unreachable_until = _NOTHING


def estimate_return(
    endpoints: Collection[Endpoint], limit: dt.timedelta, now: dt.timedelta
) -> dt.timedelta:
    """Return when one of some servers is likely to have room again."""
    usual = find_usual_hold(endpoints)
    waits = [
        estimate_wait(endpoint, endpoint.load.hold_time or usual, now)
        for endpoint in endpoints
    ]
    return min(min(waits, default=limit), limit)


def _find_chance(spent: dt.timedelta, limit: dt.timedelta) -> float:
    """Return the chance that an expected time exceeds a limit."""
    ratio = spent / max(limit, _NO_TIME)
    return min(1, CHANCE_AT_LIMIT * ratio * ratio)


def _find_patience(chosen: _Estimate, rival: float, need: Need) -> dt.timedelta:
    """Return the wait at which the chosen server costs as much as a rival.

    The chance of a late answer is solved for the time; what is lost by an
    answer that never comes is left out, which errs on the short side by
    little.
    """
    allowed = (rival - chosen.fixed) / (LATE_LOSS * CHANCE_AT_LIMIT)
    if allowed <= 0:
        return _NOTHING
    if allowed * CHANCE_AT_LIMIT >= 1:
        return need.limit
    longest = max(need.target, _NO_TIME) * math.sqrt(allowed)
    return max(_NOTHING, longest - chosen.hold)
