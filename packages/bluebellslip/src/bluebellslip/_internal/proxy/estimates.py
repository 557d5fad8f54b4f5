"""What a node expects of servers by their reports, which are never quite new.

Requests of this node count from the moment they are sent, those of others from
the newest report; the older it is, the more a server counts as taken as the
others of its service are.
"""

import datetime as dt
import math
from collections.abc import Iterable, Sequence
from typing import Final

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import RouteName

# Assumed hold time of a server that has not told one and has no like.
DEFAULT_HOLD_TIME: Final = dt.timedelta(milliseconds=50)
# A cold server works about this much slower.
COLD_SLOWDOWN: Final = 2.0
# Part of what a server works off that is not replaced by requests of others,
# while its report grows old.
NET_DRAIN_SHARE: Final = 0.5
_ZERO: Final = dt.timedelta()
_MIN_DURATION: Final = dt.timedelta(milliseconds=1)


def mean_hold_time(
    endpoints: Iterable[Endpoint], route: RouteName | None = None
) -> dt.timedelta:
    """Return the mean time at the servers that have told one.

    Parameters
    ----------
    endpoints
        The servers.
    route
        The route whose time it is; none for requests of all routes.
    """
    reported = [
        hold
        for endpoint in endpoints
        if (hold := _read_hold_time(endpoint, route)) is not None
    ]
    return (
        sum(reported, _ZERO) / len(reported) if reported else DEFAULT_HOLD_TIME
    )


def _read_hold_time(
    endpoint: Endpoint, route: RouteName | None
) -> dt.timedelta | None:
    if route is None:
        return endpoint.load.hold_time or None
    return endpoint.hold_times.get(route)


def estimate_free_slots(
    endpoint: Endpoint, hold: dt.timedelta, now: dt.timedelta
) -> float:
    """Return the free slots of a server; below zero those that are waited for.

    Parameters
    ----------
    endpoint
        The server.
    hold
        Mean time that a request holds a slot there.
    now
        Time on this node's clock.
    """
    load = endpoint.load
    sent_since = endpoint.in_flight - load.own_in_flight
    drained = load.slots * ((now - load.received_at) / max(hold, _MIN_DURATION))
    waiting = max(0, load.waiting - drained * NET_DRAIN_SHARE)
    occupied = max(endpoint.in_flight, load.in_use + waiting + sent_since)
    return load.slots - occupied


def measure_utilization(endpoints: Sequence[Endpoint]) -> float:
    """Return the share of the slots of some servers that is taken."""
    slots = sum(endpoint.load.slots for endpoint in endpoints)
    utilization = sum(
        min(endpoint.load.in_use, endpoint.load.slots) for endpoint in endpoints
    )
    return utilization / max(1, slots)


def expect_free_slots(
    endpoint: Endpoint,
    hold: dt.timedelta,
    utilization: float,
    now: dt.timedelta,
) -> float:
    """Return the free slots of a server, by its report and by the others'.

    A report tells less of now the more of the requests in it have ended.
    """
    load = endpoint.load
    report_weight = math.exp(
        (load.received_at - now) / max(hold, _MIN_DURATION)
    )
    by_report = estimate_free_slots(endpoint, hold, now)
    by_others = load.slots * (1 - utilization)
    own_limit = load.slots - endpoint.in_flight
    return min(
        own_limit, report_weight * by_report + (1 - report_weight) * by_others
    )


def estimate_wait(
    endpoint: Endpoint, hold: dt.timedelta, now: dt.timedelta
) -> dt.timedelta:
    """Return the time until a slot of a server is free for one more request."""
    ahead = 1 - estimate_free_slots(endpoint, hold, now)
    if ahead <= 0:
        return _ZERO
    return hold * (ahead / endpoint.load.slots)


def estimate_hold_time(
    endpoint: Endpoint,
    now: dt.timedelta,
    route: RouteName,
    usual: dt.timedelta,
) -> dt.timedelta:
    """Return the time that a request takes at a server, or the usual one."""
    hold = endpoint.hold_times.get(route)
    if hold is not None:
        return hold
    return usual * COLD_SLOWDOWN if now < endpoint.warmup_ends_at else usual
