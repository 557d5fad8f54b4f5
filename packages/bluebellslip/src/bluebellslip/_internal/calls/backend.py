"""What is asked and told of the server beside this node."""

import datetime as dt
from typing import Final

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.call import Call
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.exceptions import VersionStoppedError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.facts import Backend

_MILLISECOND: Final = dt.timedelta(milliseconds=1)


def check_version(context: Context, backend: Backend) -> None:
    """Check that the server's version may get work.

    Raises
    ------
    VersionStoppedError
        When the version was taken back.
    """
    if context.moves.is_stopped(backend.service, backend.version):
        raise VersionStoppedError(
            'This version of the service was taken back.',
            context={'service': backend.service, 'version': backend.version},
        )


def make_server_headers(call: Call, time_left: dt.timedelta) -> list[Header]:
    """Return a request's headers for the server, with the time left."""
    fields = names.filter_request_headers(call.request.headers)
    fields.extend((
        (names.TIMEOUT_MS, b'%d' % max(1, time_left // _MILLISECOND)),
        (names.DEPTH, b'%d' % call.depth),
    ))
    return fields
