"""Client of the nodes' admin interface and of the simulated platform."""

import datetime as dt
from typing import Any, Final

import anyio
import httpcore
import msgspec

from bluebellslip._internal.utils.decoding import DECODING_ERRORS
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.store import RequestCounts

_TIMEOUT: Final = dt.timedelta(seconds=10)
_REQUEST_ERRORS: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)


class AdminResponse(msgspec.Struct, frozen=True):
    """A response; status 0 means that none was received."""

    status: int
    body: bytes = b''

    @property
    def json_body(self) -> Any:
        """The decoded JSON body, or an empty object if it is not JSON."""
        try:
            return msgspec.json.decode(self.body)
        except DECODING_ERRORS:
            return {}


class AdminClient:
    """Sends requests to admin interfaces and to the simulated platform.

    Parameters
    ----------
    token
        Bearer token of every request.
    """

    def __init__(self, token: str) -> None:
        self._headers = [
            ('authorization', f'Bearer {token}'),
            ('content-type', 'application/json'),
        ]
        self._pool = httpcore.AsyncConnectionPool(keepalive_expiry=2)

    async def send(
        self,
        method: str,
        url: str,
        json_body: object = None,
        timeout: dt.timedelta = _TIMEOUT,
    ) -> AdminResponse:
        """Send a request; return status 0 if it fails or times out."""
        content = b'' if json_body is None else msgspec.json.encode(json_body)
        try:
            with anyio.fail_after(timeout.total_seconds()):
                response = await self._pool.request(
                    method, url, headers=self._headers, content=content
                )
        except _REQUEST_ERRORS:
            return AdminResponse(0)
        return AdminResponse(response.status, response.content)

    async def set_faults(self, platform_url: str, faults: Faults) -> None:
        """Set the faults that the simulated platform injects."""
        await self.send('PUT', f'{platform_url}/faults', faults)

    async def read_request_counts(self, platform_url: str) -> RequestCounts:
        """Return how many reads and writes the platform has handled."""
        response = await self.send('GET', f'{platform_url}/counts')
        return msgspec.json.decode(response.body, type=RequestCounts)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
