"""Client of the nodes' admin interface, and of the platform's stand-in."""

import datetime as dt
from typing import Any, Final

import anyio
import httpcore
import msgspec

from bluebellslip_lab.faults import Faults
from bluebellslip_lab.store import Counts

_TIMEOUT: Final = dt.timedelta(seconds=10)
_FAILURES: Final = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    TimeoutError,
)


class AdminReply(msgspec.Struct, frozen=True):
    """An answer; status 0 stands for none."""

    status: int
    body: bytes = b''

    @property
    def tree(self) -> Any:
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
        tree: object = None,
        timeout: dt.timedelta = _TIMEOUT,
    ) -> AdminReply:
        """Send a request and return the answer, or status 0 for none."""
        content = b'' if tree is None else msgspec.json.encode(tree)
        try:
            with anyio.fail_after(timeout.total_seconds()):
                response = await self._pool.request(
                    method, url, headers=self._headers, content=content
                )
        except _FAILURES:
            return AdminReply(0)
        return AdminReply(response.status, response.content)

    async def set_faults(self, platform: str, faults: Faults) -> None:
        """Tell the platform's stand-in what is to go wrong."""
        await self.send('PUT', f'{platform}/faults', faults)

    async def count(self, platform: str) -> Counts:
        """Return the requests that reached the platform's stand-in."""
        reply = await self.send('GET', f'{platform}/counts')
        return msgspec.json.decode(reply.body, type=Counts)

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()
