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
    jitter_factor = 1 + RETRY_AFTER_JITTER * random_source.random()
    return max(MIN_RETRY_AFTER, expected) * jitter_factor
