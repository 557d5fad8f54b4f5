"""Decides whether a request that failed at one server may go to another.

Handles servers that crash, lose or corrupt responses, or fail a part of their
requests while they appear healthy. A request that may have run and must not
run twice is never sent again. A request that did not reach a server may be sent
to another without using the retry budget, unless no server could respond in
time; any other retry uses it.
"""

import dataclasses
import datetime as dt
import enum
from collections.abc import Callable
from typing import Final

# A request that reached a server is not retried if the time left is at most
# this share of the mean hold time, one that did not if it is at most this share
# of the shortest one.
MIN_TIME_SHARE: Final = 0.5


@enum.unique
class RetryDecision(enum.StrEnum):
    """Whether a request is sent to another server, or why not.

    ``RETRY`` uses the retry budget, ``NEXT_SERVER`` does not.
    """

    RETRY = 'retry'
    NEXT_SERVER = 'next-server'
    MAY_HAVE_RUN = 'may-have-run'
    NOT_REPLAYABLE = 'not-replayable'
    NO_SERVER_LEFT = 'no-server-left'
    NO_TIME_LEFT = 'no-time-left'
    CALL_FAILED = 'call-failed'
    FATAL = 'fatal'
    MAX_SERVERS_REACHED = 'max-servers-reached'
    BUDGET_SPENT = 'budget-spent'

    @property
    def allows_attempt(self) -> bool:
        """Whether another server is tried."""
        return self in {RetryDecision.RETRY, RetryDecision.NEXT_SERVER}


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
    call_failed
        Whether a call that the server made for it has failed. The call was
        retried where it failed; another run would repeat all calls.
    is_suspected
        Whether a server has ended under the same request before, so that
        another may end too.
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
    call_failed: bool
    is_suspected: bool
    replayable: bool
    untried: int
    servers_reached: int
    max_servers: int
    time_left: dt.timedelta
    mean_hold_time: dt.timedelta
    shortest_hold_time: dt.timedelta


def decide_retry(
    attempt: FailedAttempt, try_spend: Callable[[], bool]
) -> RetryDecision:
    """Decide whether the request is sent to another server.

    Parameters
    ----------
    attempt
        State of the request.
    try_spend
        Takes a retry from the budget and returns whether the budget allowed it;
        called only if nothing else prevents the retry.
    """
    obstacle = _find_obstacle(attempt)
    if obstacle is not None:
        return obstacle
    if not attempt.reached:
        return RetryDecision.NEXT_SERVER
    return RetryDecision.RETRY if try_spend() else RetryDecision.BUDGET_SPENT


def _find_obstacle(attempt: FailedAttempt) -> RetryDecision | None:
    """Return what prevents a retry, apart from the budget."""
    if attempt.may_have_run and not attempt.is_repeatable:
        return RetryDecision.MAY_HAVE_RUN
    if attempt.is_suspected:
        return RetryDecision.FATAL
    if attempt.call_failed:
        return RetryDecision.CALL_FAILED
    if not attempt.replayable:
        return RetryDecision.NOT_REPLAYABLE
    return _find_missing_server(attempt)


def _find_missing_server(attempt: FailedAttempt) -> RetryDecision | None:
    """Return why no other server can respond in time, if none can."""
    if not attempt.untried:
        return RetryDecision.NO_SERVER_LEFT
    if attempt.reached and attempt.servers_reached >= attempt.max_servers:
        return RetryDecision.MAX_SERVERS_REACHED
    hold_time = (
        attempt.mean_hold_time
        if attempt.reached
        else attempt.shortest_hold_time
    )
    if attempt.time_left <= hold_time * MIN_TIME_SHARE:
        return RetryDecision.NO_TIME_LEFT
    return None
