"""What callers may send, how long they may take, and how much at a time."""

import dataclasses
import datetime as dt
from typing import Final

from bluebellslip._internal.calls.streams import HIGH_WATER_BYTES
from bluebellslip._internal.exceptions import BluebellError, TooLargeError

MAX_REQUEST_HEAD_BYTES: Final = 32 * 1024
# Above the idle limit of the pools, so that a node seldom closes a connection
# that a peer is about to use.
IDLE_TIMEOUT: Final = dt.timedelta(seconds=75)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds of one listener's connections.

    Parameters
    ----------
    head_bytes
        Longest head of a request, in bytes.
    head_timeout
        Longest time from the first to the last byte of a head; none sets no
        bound.
    idle_timeout
        How long a connection may rest between requests.
    pipelined
        Requests of one connection that are served at the same time.
    buffered_bytes
        Bytes of a body that are held before its sender is slowed down.
    head_error
        What a head over the bound is answered with.
    """

    head_bytes: int = MAX_REQUEST_HEAD_BYTES
    head_timeout: dt.timedelta | None = None
    idle_timeout: dt.timedelta = IDLE_TIMEOUT
    max_pipelined: int = 1
    buffered_bytes: int = HIGH_WATER_BYTES
    head_error: type[BluebellError] = TooLargeError
