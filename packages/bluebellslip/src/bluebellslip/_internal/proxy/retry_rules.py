"""Decides whether a request that failed at one server may go to another.

Handles servers that crash, lose or corrupt responses, or fail a part of their
requests while they appear healthy. A request that may have run and must not
run twice is never sent again. A request that did not reach a server may be sent
to another without using the retry budget, unless no server could respond in
time; any other retry uses it.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import Final

# A request that reached a server is not retried if the time left is at most
# this share of the mean hold time, one that did not if it is at most this share
# of the shortest one.
MIN_TIME_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """State of a request after a failed attempt.

    Parameters
    ----------
    is_repeatable
        Whether the request may run more than once.
    may_have_run
        Whether a server may have run it in this attempt.
    reached
        Whether it may have reached a server in this attempt.
    replayable
        Whether its whole body is still buffered and no response was begun.
    untried
        Number of servers that can still be tried.
    servers_reached
        Number of servers that it has reached so far.
    max_servers
        Maximum number of servers that it may reach.
    time_left
        Time left until it is abandoned.
    mean_hold_time
        Mean hold time of requests of its route.
    shortest_hold_time
        Hold time of requests of its route at the fastest server.
    """

    is_repeatable: bool
    may_have_run: bool
    reached: bool
    replayable: bool
    untried: int
    servers_reached: int
    max_servers: int
    time_left: dt.timedelta
    mean_hold_time: dt.timedelta
    shortest_hold_time: dt.timedelta


def may_retry(attempt: FailedAttempt, try_spend: Callable[[], bool]) -> bool:
    """Return whether the request may be sent to another server.

    Parameters
    ----------
    attempt
        State of the request.
    try_spend
        Takes a retry from the budget and returns whether the budget allowed it;
        called only if nothing else prevents the retry.
    """
    if attempt.may_have_run and not attempt.is_repeatable:
        return False
    if not attempt.replayable or not attempt.untried:
        return False
    if attempt.time_left <= dt.timedelta():
        return False
    if not attempt.reached:
        return attempt.time_left > attempt.shortest_hold_time * MIN_TIME_SHARE
    if attempt.servers_reached >= attempt.max_servers:
        return False
    return (
        attempt.time_left > attempt.mean_hold_time * MIN_TIME_SHARE
        and try_spend()
    )
