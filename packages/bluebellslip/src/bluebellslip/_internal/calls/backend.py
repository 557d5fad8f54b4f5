"""Version check and request headers for the local server."""

import datetime as dt
from typing import Final

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.call import Call
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.exceptions import VersionStoppedError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.facts import Backend

_MILLISECOND: Final = dt.timedelta(milliseconds=1)


def check_version(context: Context, backend: Backend) -> None:
    """Check that the server's version may receive requests.

    Raises
    ------
    VersionStoppedError
        When the version was stopped.
    """
    if context.traffic_splits.is_stopped(backend.service, backend.version):
        raise VersionStoppedError(
            'This version of the service was stopped.',
            context={'service': backend.service, 'version': backend.version},
        )


def make_server_headers(call: Call, time_left: dt.timedelta) -> list[Header]:
    """Return the request headers for the server, with the remaining time."""
    headers = header_names.filter_headers(call.request.headers)
    headers.extend((
        (header_names.TIMEOUT_MS, b'%d' % max(1, time_left // _MILLISECOND)),
        (header_names.DEPTH, b'%d' % call.depth),
    ))
    return headers
