"""Periodic announcements of a backend server to the node beside it."""

import datetime as dt
from typing import Final

import anyio
import httpcore
import msgspec

from bluebellslip_lab.backend_app import Identity

ANNOUNCE_INTERVAL: Final = dt.timedelta(seconds=1)

_PATH: Final = '/v1/backend'
_TIMEOUT: Final = dt.timedelta(seconds=1)


class Announcer:
    """Announces a server at a fixed interval until stopped.

    Parameters
    ----------
    admin_url
        URL of the node's admin interface.
    token
        Token with the scope ``announce``.
    identity
        Service, version, address and limits to announce.
    """

    def __init__(self, admin_url: str, token: str, identity: Identity) -> None:
        self._url = f'{admin_url.rstrip("/")}{_PATH}'
        self._headers = [
            ('authorization', f'Bearer {token}'),
            ('content-type', 'application/json'),
        ]
        self._body = msgspec.json.encode(identity)
        self._stopped = False

    async def run(self) -> None:
        """Announce once per interval until ``stop`` is called."""
        async with httpcore.AsyncConnectionPool(max_connections=1) as pool:
            while not self._stopped:
                await self._send(pool)
                await anyio.sleep(ANNOUNCE_INTERVAL.total_seconds())

    def stop(self) -> None:
        """Stop announcing, so that the announcement expires."""
        self._stopped = True

    async def _send(self, pool: httpcore.AsyncConnectionPool) -> None:
        with anyio.move_on_after(_TIMEOUT.total_seconds()):
            try:
                await pool.request(
                    'PUT', self._url, headers=self._headers, content=self._body
                )
            except (httpcore.NetworkError, httpcore.ProtocolError):
                # The node is unreachable; the next announcement retries.
                await anyio.sleep(0)
