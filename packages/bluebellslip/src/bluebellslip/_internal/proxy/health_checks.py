"""Health checks of the local server.

They tell whether it leaves, and for how long it is cold.
"""

import dataclasses
import datetime as dt
from typing import Final

from bluebellslip._internal.calls.http_client import (
    ClientRequest,
    ClientResponse,
    send_request,
)
from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.fleet.first_life import HealthStatus
from bluebellslip._internal.models.identity import Address

# A check waits for a slot of the server like a request. Meanwhile the server is
# paced, so a longer wait would gain little.
CHECK_TIMEOUT: Final = dt.timedelta(milliseconds=500)
_OK: Final = 200
_UNAVAILABLE: Final = 503
_FULL: Final = frozenset((429, _UNAVAILABLE))
# A time of up to 16 minutes, in whole milliseconds. No server is cold for that
# long, and a wrong value would limit it for as long.
_MAX_DIGITS: Final = 6
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(frozen=True, slots=True)
class HealthReport:
    """What the response to a health check says.

    Parameters
    ----------
    outcome
        Whether it was ``answered``, ``failed``, ``invalid``, or ``foreign``,
        that is, from another server.
    cold_for
        How long the server stays cold; none if it names no time.
    status
        Whether the server is healthy and does not leave.
    """

    outcome: str
    cold_for: dt.timedelta | None = None
    status: HealthStatus = HealthStatus.UNKNOWN

    @property
    def is_valid(self) -> bool:
        """Whether the server has said how it is."""
        return self.outcome == 'answered'


async def check_health(
    pool: ConnectionPool,
    names: MetadataHeaders,
    address: Address,
    server: str,
    path: str,
) -> HealthReport:
    """Send a health check to the local server.

    Parameters
    ----------
    pool
        Connections to the server.
    names
        Names of the headers of the response.
    address
        Address of the server.
    server
        Id of the server.
    path
        Path of the check.
    """
    try:
        response = await send_request(
            pool,
            address,
            ClientRequest(b'GET', path.encode()),
            CHECK_TIMEOUT,
        )
    except (BluebellError, TimeoutError):
        return HealthReport('failed')
    return read_report(response, names, server)


def read_report(
    response: ClientResponse, names: MetadataHeaders, server: str
) -> HealthReport:
    """Read the response to a health check.

    A healthy server that names no time is not cold.

    Parameters
    ----------
    response
        The response.
    names
        Names of its headers.
    server
        Id of the server that was checked.
    """
    status = _read_status(response, names, server)
    if response.fields.get(names.server_id) != server.encode():
        return HealthReport('foreign', status=status)
    text = response.fields.get(names.cold_ms)
    if text is None:
        outcome = 'answered' if response.status == _OK else 'invalid'
        return HealthReport(outcome, status=status)
    if not text.isdigit() or len(text) > _MAX_DIGITS:
        return HealthReport('invalid', status=status)
    return HealthReport('answered', int(text) * _MILLISECOND, status)


def _read_status(
    response: ClientResponse, names: MetadataHeaders, server: str
) -> HealthStatus:
    """Return what a response says of the server that was asked.

    A full server refuses health checks like any other request.
    """
    if names.not_run in response.fields and response.status in _FULL:
        return HealthStatus.UNKNOWN
    found = response.fields.get(names.server_id)
    if response.status == _OK and found == server.encode():
        return HealthStatus.HEALTHY
    if found is None and response.status != _UNAVAILABLE:
        return HealthStatus.UNSUPPORTED
    return HealthStatus.UNAVAILABLE
