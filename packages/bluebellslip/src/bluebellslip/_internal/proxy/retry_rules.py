"""Whether a request that failed at one server may go to another.

Answers servers that crash, lose or spoil answers, or fail a part of their
requests while they look healthy. Work that may have run and must not run
twice is never sent again; what did not come to a server costs nothing and may
be placed again; anything else draws on the budget.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable
from typing import Final

# A request is not repeated when less than this part of the usual time at a
# server is left.
MIN_TIME_SHARE: Final = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class FailedAttempt:
    """What is known when an attempt has failed.

    Parameters
    ----------
    is_repeatable
        Whether the request may run more than once.
    may_have_run
        Whether a server may have run it.
    reached
        Whether it came to a server.
    replayable
        Whether its whole body is still at hand and nothing was answered yet.
    others
        Servers that could still be asked.
    servers
        Servers that it came to so far.
    max_servers
        Most servers that it may come to.
    left
        Time until it is given up.
    usual
        Time that a request usually takes.
    """

    is_repeatable: bool
    may_have_run: bool
    reached: bool
    replayable: bool
    untried: int
    servers_reached: int
    max_servers: int
    time_left: dt.timedelta
    usual_hold: dt.timedelta


def may_retry(attempt: FailedAttempt, try_spend: Callable[[], bool]) -> bool:
    """Tell whether another server may be asked.

    Parameters
    ----------
    attempt
        What is known.
    spend
        Takes a repeat from the budget; called last, and only if needed.
    """
    if attempt.may_have_run and not attempt.is_repeatable:
        return False
    if not attempt.replayable or not attempt.untried:
        return False
    if not attempt.reached:
        return True
    if attempt.servers_reached >= attempt.max_servers:
        return False
    return (
        attempt.time_left > attempt.usual_hold * MIN_TIME_SHARE and try_spend()
    )
