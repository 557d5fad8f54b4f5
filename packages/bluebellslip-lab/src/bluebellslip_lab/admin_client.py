"""Client of the nodes' admin interface, and of the platform's stand-in."""

import datetime as dt
from typing import Any, Final

import anyio
import httpcore
import msgspec

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
    """An answer; status 0 stands for none."""

    status: int
    body: bytes = b''

    @property
    def json_body(self) -> Any:
        """The body as JSON, or an empty object."""
        try:
            return msgspec.json.decode(self.body)
        except msgspec.MsgspecError:
            return {}


class AdminClient:
    """Sends requests to admin interfaces.

    Parameters
    ----------
    token
        Sent with every request.
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
        """Send a request and return the answer, or status 0 for none."""
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
        """Tell the platform's stand-in what is to go wrong."""
        await self.send('PUT', f'{platform_url}/faults', faults)

    async def count(self, platform_url: str) -> RequestCounts:
        """Return the requests that reached the platform's stand-in."""
        response = await self.send('GET', f'{platform_url}/counts')
        return msgspec.json.decode(response.body, type=RequestCounts)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
