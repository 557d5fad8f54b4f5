"""The table from error kinds to responses and exit codes."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from bluebellslip._internal.exceptions import ErrorKind

_SHORT_RETRY_DELAY: Final = dt.timedelta(seconds=1)
_LONG_RETRY_DELAY: Final = dt.timedelta(seconds=5)


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorResponse:
    """How one kind of error is reported to a caller.

    Parameters
    ----------
    status
        HTTP status.
    exit_code
        Exit status of the command line.
    not_run
        Whether the response guarantees that the request did not run.
    retry_after
        Delay before a retry; None where a retry can't help.
    """

    status: int
    exit_code: int
    not_run: bool = True
    retry_after: dt.timedelta | None = None


ERROR_RESPONSES: Final[Mapping[ErrorKind, ErrorResponse]] = MappingProxyType({
    ErrorKind.MALFORMED: ErrorResponse(400, 10),
    ErrorKind.TOO_LARGE: ErrorResponse(413, 11),
    ErrorKind.HEAD_TOO_LARGE: ErrorResponse(431, 43),
    ErrorKind.REQUEST_TIMEOUT: ErrorResponse(408, 44),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, 12),
    ErrorKind.FORBIDDEN: ErrorResponse(403, 13),
    ErrorKind.NOT_FOUND: ErrorResponse(404, 14),
    ErrorKind.CONFLICT: ErrorResponse(409, 15),
    ErrorKind.INVALID_CONFIG: ErrorResponse(422, 16),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(500, 17),
    ErrorKind.KEY_MISSING: ErrorResponse(428, 18),
    ErrorKind.KEY_REUSED: ErrorResponse(422, 19),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, 20, not_run=False),
    ErrorKind.OVERLOADED: ErrorResponse(
        503, 21, retry_after=_SHORT_RETRY_DELAY
    ),
    ErrorKind.DRAINING: ErrorResponse(503, 22, retry_after=_SHORT_RETRY_DELAY),
    ErrorKind.VERSION_STOPPED: ErrorResponse(
        503, 23, retry_after=_SHORT_RETRY_DELAY
    ),
    ErrorKind.NO_SERVER: ErrorResponse(503, 24, retry_after=_SHORT_RETRY_DELAY),
    ErrorKind.EVACUATED: ErrorResponse(503, 46, retry_after=_SHORT_RETRY_DELAY),
    ErrorKind.NOT_READY: ErrorResponse(503, 25, retry_after=_SHORT_RETRY_DELAY),
    ErrorKind.QUARANTINED: ErrorResponse(503, 45),
    ErrorKind.RATE_LIMITED: ErrorResponse(
        429, 47, retry_after=_SHORT_RETRY_DELAY
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, 26, not_run=False),
    ErrorKind.SERVER_FAILED: ErrorResponse(502, 27, not_run=False),
    ErrorKind.PLATFORM_DOWN: ErrorResponse(
        503, 28, retry_after=_LONG_RETRY_DELAY
    ),
    ErrorKind.PLATFORM_UNKNOWN: ErrorResponse(
        503, 29, not_run=False, retry_after=_LONG_RETRY_DELAY
    ),
    ErrorKind.PLATFORM_GARBLED: ErrorResponse(
        502, 30, not_run=False, retry_after=_LONG_RETRY_DELAY
    ),
    ErrorKind.PEER_GARBLED: ErrorResponse(400, 31),
    ErrorKind.INTERNAL: ErrorResponse(500, 32, not_run=False),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(422, 33),
    ErrorKind.MISSING_KEY: ErrorResponse(422, 34),
    ErrorKind.DUPLICATE_KEY: ErrorResponse(422, 35),
    ErrorKind.WRONG_TYPE: ErrorResponse(422, 36),
    ErrorKind.BAD_VALUE: ErrorResponse(422, 37),
    ErrorKind.BAD_DURATION: ErrorResponse(422, 38),
    ErrorKind.DUPLICATE_NAME: ErrorResponse(422, 39),
    ErrorKind.DANGLING_REFERENCE: ErrorResponse(422, 40),
    ErrorKind.LISTEN_FAILED: ErrorResponse(500, 41),
    ErrorKind.NODE_UNREACHABLE: ErrorResponse(503, 42),
})
