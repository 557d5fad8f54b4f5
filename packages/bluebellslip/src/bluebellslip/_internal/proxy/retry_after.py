"""When callers of refused requests should retry."""

import datetime as dt
from collections.abc import Collection
from random import Random
from typing import Final

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.proxy.server_selection import estimate_retry_after

# Shortest Retry-After of a refused request: a few times the latency to a
# client.
MIN_RETRY_AFTER: Final = dt.timedelta(milliseconds=50)
# Longest Retry-After before its random extension: servers that left are
# replaced within about a second.
MAX_RETRY_AFTER: Final = dt.timedelta(seconds=1)
# Longest random extension of Retry-After, as a multiple of its value before the
# extension, so that callers refused together don't all retry at the same time.
RETRY_AFTER_JITTER: Final = 1.0
# Time in which a node usually gets a configuration that it lacks.
CATCH_UP_TIME: Final = dt.timedelta(milliseconds=250)


def choose_retry_after(
    endpoints: Collection[Endpoint], now: dt.timedelta, random_source: Random
) -> dt.timedelta:
    """Return the time after which a retry is likely to find a free slot.

    Parameters
    ----------
    endpoints
        The servers of the request's service.
    now
        Time on the node's clock.
    random_source
        Extends the time.
    """
    expected = estimate_retry_after(endpoints, MAX_RETRY_AFTER, now)
    return extend_retry_after(max(MIN_RETRY_AFTER, expected), random_source)


def extend_retry_after(
    expected: dt.timedelta, random_source: Random
) -> dt.timedelta:
    """Return a time extended at random."""
    return expected * (1 + RETRY_AFTER_JITTER * random_source.random())
