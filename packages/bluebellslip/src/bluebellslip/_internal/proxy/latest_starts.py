"""The latest time at which a waiting request may still start at its server.

Handles requests whose time runs out while they wait for the link or for a slot.
If they were passed on in their last moments, the server would work for callers
that no longer wait. If they are refused instead, their callers still get the
response, and know that the request has not run.
"""

import datetime as dt
from typing import Final

# A waiting request is refused once the time left is less than this share of the
# mean hold time of its route: some requests take less time than the mean.
MIN_HOLD_SHARE: Final = 0.5


def find_latest_start(
    cutoff: dt.timedelta, hold_time: dt.timedelta | None, now: dt.timedelta
) -> dt.timedelta:
    """Return the time from which it is too late to start a request.

    A request that arrives later than that may start until its cutoff. If
    requests with short timeouts never ran, the node would not notice that the
    server has become faster.

    Parameters
    ----------
    cutoff
        Time on the node's clock at which the request ends.
    hold_time
        Mean hold time of the request's route at the server, if known.
    now
        Time on the node's clock at which the request arrived.
    """
    if hold_time is None:
        return cutoff
    latest_start = cutoff - hold_time * MIN_HOLD_SHARE
    return latest_start if now < latest_start else cutoff
