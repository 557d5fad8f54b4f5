"""Limits on the size, duration and number of callers' requests."""

import dataclasses
import datetime as dt
from typing import Final

from bluebellslip._internal.calls.streams import HIGH_WATER_BYTES
from bluebellslip._internal.exceptions import BluebellError, TooLargeError

MAX_REQUEST_HEAD_BYTES: Final = 32 * 1024
# Longer than the idle limit of the connection pools, so that a node seldom
# closes a connection that a peer is about to use.
IDLE_TIMEOUT: Final = dt.timedelta(seconds=75)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of one listener's connections.

    Parameters
    ----------
    head_bytes
        Maximum size of a request head in bytes.
    head_timeout
        Maximum time from the first to the last byte of a head; None for no
        limit.
    idle_timeout
        How long a connection may be idle between requests.
    max_pipelined
        Maximum number of requests of one connection that are served
        concurrently.
    buffered_bytes
        Bytes of a body that are buffered before backpressure is applied to
        its sender.
    head_error
        Error raised for a head over the size limit.
    """

    head_bytes: int = MAX_REQUEST_HEAD_BYTES
    head_timeout: dt.timedelta | None = None
    idle_timeout: dt.timedelta = IDLE_TIMEOUT
    max_pipelined: int = 1
    buffered_bytes: int = HIGH_WATER_BYTES
    head_error: type[BluebellError] = TooLargeError
