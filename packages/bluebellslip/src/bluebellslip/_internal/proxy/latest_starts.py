"""The latest time at which a waiting request may still start at its server.

Handles requests whose time runs out while they wait for the link, a slot or a
connection. If they were passed on in their last moments, the server would work
for callers that no longer wait. If they are refused instead, their callers
still get the response, and know that the request has not run. The response to a
request that was sent to another node needs time to get back: one that arrives
after the cutoff is a timeout for the sender, which promises nothing.

Also handles requests whose node stops. The node answers them at its own cutoff,
before their callers stop waiting, so a run that would outlast the cutoff is not
started: what is cut off may not be repeated, what is refused may.
"""

import datetime as dt
from typing import Final

# A waiting request is refused once the time left is less than this share of the
# mean hold time of its route: some requests take less time than the mean.
MIN_HOLD_SHARE: Final = 0.5
# A request that ends early because its node stops is refused once the time left
# is less than this multiple of the mean hold time: most requests take less.
WHOLE_HOLD_SHARE: Final = 1.5
# Time for a refusal to get back to the caller before the cutoff: a round trip
# between failure domains takes up to 3 ms, and a busy event loop runs late.
ANSWER_TIME: Final = dt.timedelta(milliseconds=20)
# The answer time is at most this share of the time left, so that a request with
# a short timeout still has most of it to wait.
MAX_ANSWER_SHARE: Final = 0.125
# A request that arrives too late to wait starts within this share of the time
# left, or is refused.
LATE_START_SHARE: Final = 0.5


def find_refusal_time(cutoff: dt.timedelta, now: dt.timedelta) -> dt.timedelta:
    """Return the latest time at which a refusal still reaches the caller.

    Parameters
    ----------
    cutoff
        Time on the node's clock at which the request ends.
    now
        Time on the node's clock.
    """
    time_left = max(dt.timedelta(), cutoff - now)
    return cutoff - min(ANSWER_TIME, time_left * MAX_ANSWER_SHARE)


def find_latest_start(
    cutoff: dt.timedelta,
    hold_time: dt.timedelta | None,
    now: dt.timedelta,
    *,
    is_cut_short: bool = False,
) -> dt.timedelta:
    """Return the time from which it is too late to start a request.

    A request that arrives later than that may still start if it doesn't wait
    for long. If requests with short timeouts never ran, the node would not
    notice that the server has become faster.

    Parameters
    ----------
    cutoff
        Time on the node's clock at which the request ends.
    hold_time
        Mean hold time of the request's route at the server, if known.
    now
        Time on the node's clock at which the request arrived.
    is_cut_short
        Whether the cutoff comes before the request's deadline.
    """
    refusal_time = find_refusal_time(cutoff, now)
    if hold_time is None:
        return refusal_time
    if is_cut_short:
        return min(refusal_time, cutoff - hold_time * WHOLE_HOLD_SHARE)
    latest_start = min(refusal_time, cutoff - hold_time * MIN_HOLD_SHARE)
    if now < latest_start:
        return latest_start
    return now + max(dt.timedelta(), cutoff - now) * LATE_START_SHARE
