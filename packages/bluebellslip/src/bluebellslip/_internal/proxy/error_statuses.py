"""Statuses of the error responses that the node itself sends to callers."""

from typing import Final

from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    OverloadedError,
)
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

# Statuses that assure a caller that its request did not run.
_NOT_RUN_STATUSES: Final = frozenset((408, 421, 429, 503))
# Statuses of a failed or missing response of a server.
_FAILURE_STATUSES: Final = frozenset((502, 504))
# Errors that may come before or after a server ran the request.
_FAILURES_ON_THE_WAY: Final = frozenset((
    ErrorKind.DEADLINE_EXCEEDED,
    ErrorKind.SERVER_FAILED,
))
# Errors after which the caller may retry at this node.
RETRYABLE_ERRORS: Final = frozenset((
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
    ErrorKind.VERSION_STOPPED,
    ErrorKind.NO_SERVER,
    ErrorKind.EVACUATED,
    ErrorKind.NOT_READY,
    ErrorKind.RATE_LIMITED,
    *_FAILURES_ON_THE_WAY,
))


def choose_status(error: BluebellError, *, may_have_run: bool) -> int:
    """Return the status of an error response that the node itself generates.

    503 guarantees that the request did not run and never will. A failure before
    any server could run the request, such as a passed deadline or the loss of
    the node that it waited at, counts as overload.
    """
    status = ERROR_RESPONSES[error.kind].status
    if status in _FAILURE_STATUSES and not may_have_run:
        return ERROR_RESPONSES[OverloadedError.kind].status
    if may_have_run and status in _NOT_RUN_STATUSES:
        return ERROR_RESPONSES[ErrorKind.SERVER_FAILED].status
    return status
