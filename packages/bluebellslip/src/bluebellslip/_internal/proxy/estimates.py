"""Estimates of the load of servers from reports that are always somewhat old.

Requests of this node count as soon as they are sent, those of other nodes only
once a report includes them. The older a report, the closer the estimated
utilization of a server is to the average of its service.
"""

import datetime as dt
import math
from collections.abc import Iterable, Sequence
from typing import Final

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import RouteName

# Assumed hold time if no candidate server has reported one.
DEFAULT_HOLD_TIME: Final = dt.timedelta(milliseconds=50)
# Approximate factor by which a cold server is slower.
COLD_SLOWDOWN: Final = 2.0
# Of the requests finished since a report, the share that made the server's
# queue shorter; new requests of other nodes replaced the rest.
NET_DRAIN_SHARE: Final = 0.5
_ZERO: Final = dt.timedelta()
_MIN_DURATION: Final = dt.timedelta(milliseconds=1)


def compute_mean_hold_time(
    endpoints: Iterable[Endpoint], route: RouteName | None = None
) -> dt.timedelta:
    """Return the mean of the hold times that servers have reported.

    Without any report it is DEFAULT_HOLD_TIME.

    Parameters
    ----------
    endpoints
        The servers.
    route
        Route whose hold times are averaged; none to average over all routes.
    """
    reported = [
        hold_time
        for endpoint in endpoints
        if (hold_time := _read_hold_time(endpoint, route)) is not None
    ]
    return (
        sum(reported, _ZERO) / len(reported) if reported else DEFAULT_HOLD_TIME
    )


def find_shortest_hold_time(
    endpoints: Iterable[Endpoint], route: RouteName
) -> dt.timedelta:
    """Return the shortest hold time reported for a route, zero if none was.

    Parameters
    ----------
    endpoints
        The servers.
    route
        The route.
    """
    reported = (endpoint.hold_times.get(route) for endpoint in endpoints)
    return min(filter(None, reported), default=_ZERO)


def _read_hold_time(
    endpoint: Endpoint, route: RouteName | None
) -> dt.timedelta | None:
    if route is None:
        return endpoint.load.hold_time or None
    return endpoint.hold_times.get(route)


def estimate_capacity(endpoint: Endpoint, hold_time: dt.timedelta) -> float:
    """Return how many requests a server can hold at a time.

    These are its slots, or fewer if a rate limit keeps it from filling them.

    Parameters
    ----------
    endpoint
        The server.
    hold_time
        Mean time that a request holds a slot there.
    """
    slots = endpoint.load.slots
    if not endpoint.rate_limit:
        return slots
    held = endpoint.rate_limit * max(hold_time, _MIN_DURATION).total_seconds()
    return min(slots, held)


def estimate_free_slots(
    endpoint: Endpoint, hold_time: dt.timedelta, now: dt.timedelta
) -> float:
    """Estimate the free slots of a server from its latest report.

    The estimate includes what this node has sent since the report and how far
    the queue has drained. It is negative if requests are queued.

    Parameters
    ----------
    endpoint
        The server.
    hold_time
        Mean time that a request holds a slot there.
    now
        Time on this node's clock.
    """
    load = endpoint.load
    sent_since = endpoint.in_flight - load.own_in_flight
    capacity = estimate_capacity(endpoint, hold_time)
    finished = capacity * (
        (now - load.received_at) / max(hold_time, _MIN_DURATION)
    )
    waiting = max(0, load.waiting - finished * NET_DRAIN_SHARE)
    occupied = max(endpoint.in_flight, load.in_use + waiting + sent_since)
    return capacity - occupied


def measure_utilization(endpoints: Sequence[Endpoint]) -> float:
    """Return the share of slots in use over all given servers."""
    capacities = [
        estimate_capacity(
            endpoint, endpoint.load.hold_time or DEFAULT_HOLD_TIME
        )
        for endpoint in endpoints
    ]
    in_use = sum(
        min(endpoint.load.in_use, capacity)
        for endpoint, capacity in zip(endpoints, capacities, strict=True)
    )
    return in_use / max(1, sum(capacities))


def blend_free_slots(
    endpoint: Endpoint,
    hold_time: dt.timedelta,
    utilization: float,
    now: dt.timedelta,
) -> float:
    """Return the free slots of a server, blended with its service's average.

    As a server's report ages, the requests that the report counted finish. So
    the weight of the report decays exponentially with its age, in units of the
    hold time.

    Parameters
    ----------
    endpoint
        The server.
    hold_time
        Mean time that a request holds a slot there.
    utilization
        Share of slots in use over all servers of the service.
    now
        Time on this node's clock.
    """
    load = endpoint.load
    report_weight = math.exp(
        (load.received_at - now) / max(hold_time, _MIN_DURATION)
    )
    by_report = estimate_free_slots(endpoint, hold_time, now)
    capacity = estimate_capacity(endpoint, hold_time)
    by_average = capacity * (1 - utilization)
    own_limit = capacity - endpoint.in_flight
    return min(
        own_limit, report_weight * by_report + (1 - report_weight) * by_average
    )


def estimate_wait(
    endpoint: Endpoint, hold_time: dt.timedelta, now: dt.timedelta
) -> dt.timedelta:
    """Return the time until a server has a free slot for one more request."""
    capacity = estimate_capacity(endpoint, hold_time)
    free = estimate_free_slots(endpoint, hold_time, now)
    # A rate limit may leave less than one slot even to an idle server.
    missing_slots = min(1, capacity) - free
    if missing_slots <= 0:
        return _ZERO
    return hold_time * (missing_slots / capacity)


def estimate_hold_time(
    endpoint: Endpoint,
    now: dt.timedelta,
    route: RouteName,
    mean_hold_time: dt.timedelta,
) -> dt.timedelta:
    """Return the expected hold time of a route at a server.

    If the server has reported none for the route, the result is
    ``mean_hold_time``, multiplied by COLD_SLOWDOWN while the server is cold.
    """
    hold_time = endpoint.hold_times.get(route)
    if hold_time is not None:
        return hold_time
    return (
        mean_hold_time * COLD_SLOWDOWN
        if now < endpoint.warmup_ends_at
        else mean_hold_time
    )
