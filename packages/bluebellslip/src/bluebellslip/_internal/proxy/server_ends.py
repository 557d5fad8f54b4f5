"""Tells whether the local server ended when a connection to it broke.

A server that is alive also breaks connections. A new one tells the difference:
nothing listens at the address of a server that has ended.
"""

import asyncio
import datetime as dt
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from typing import Final
from zlib import crc32

from bluebellslip._internal.fleet.local_server import ServerInfo
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.proxy.fatal_requests import FatalRequests
from bluebellslip._internal.proxy.suspicions import RequestFingerprint

# Pauses before connections are tried after a break. The others of the same
# server break meanwhile.
PROBE_PAUSES: Final = (
    dt.timedelta(milliseconds=20),
    dt.timedelta(milliseconds=200),
)
PROBE_TIMEOUT: Final = dt.timedelta(seconds=1)
# Broken requests that are remembered for one life of the server.
MAX_BROKEN: Final = 256
# Lives that are known to have ended.
MAX_ENDED_LIVES: Final = 16

Probe = Callable[[Address], Awaitable[bool]]


async def accepts_connections(address: Address) -> bool:
    """Return whether a server listens at an address.

    An attempt without an answer counts as yes: it proves nothing.
    """
    try:
        async with asyncio.timeout(PROBE_TIMEOUT.total_seconds()):
            _, writer = await asyncio.open_connection(
                address.host, address.port
            )
    except ConnectionRefusedError:
        return False
    except (OSError, TimeoutError):
        return True
    writer.close()
    return True


class ServerEndMonitor:
    """Records the requests during which the local server ended.

    Parameters
    ----------
    fatal_requests
        Receives them.
    probe
        Returns whether a server listens at an address.
    """

    def __init__(
        self, fatal_requests: FatalRequests, probe: Probe = accepts_connections
    ) -> None:
        self._fatal_requests = fatal_requests
        self._probe = probe
        self._lifetime: Lifetime | None = None
        self._broken: list[RequestFingerprint] = []
        self._ended: OrderedDict[Lifetime, None] = OrderedDict()
        self._task: asyncio.Task[None] | None = None
        self._on_end: Callable[[], None] = _ignore_end

    @property
    def fatal_requests(self) -> FatalRequests:
        """The requests under which servers ended."""
        return self._fatal_requests

    def on_end(self, listener: Callable[[], None]) -> None:
        """Call a listener when the server is found to have ended."""
        self._on_end = listener

    def record_break(
        self, info: ServerInfo, request: RequestFingerprint
    ) -> None:
        """Record that a connection broke while the server ran a request."""
        if info.lifetime in self._ended:
            self._report(info.lifetime, [request])
            return
        if self._lifetime != info.lifetime:
            self._broken = []
            self._lifetime = info.lifetime
        if len(self._broken) < MAX_BROKEN:
            self._broken.append(request)
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(
                self._check(info)
            )

    def begin_lifetime(self, lifetime: Lifetime) -> None:
        """Apply that another life of the server has begun."""
        if self._lifetime is not None and self._lifetime != lifetime:
            self._end(self._lifetime)

    async def _check(self, info: ServerInfo) -> None:
        for pause in PROBE_PAUSES:
            await asyncio.sleep(pause.total_seconds())
            if not await self._probe(info.address):
                self._end(info.lifetime)
                self._on_end()
                return

    def _end(self, lifetime: Lifetime) -> None:
        if lifetime != self._lifetime or not self._broken:
            return
        broken = self._broken
        self._broken = []
        self._ended[lifetime] = None
        if len(self._ended) > MAX_ENDED_LIVES:
            self._ended.popitem(last=False)
        self._report(lifetime, broken)

    def _report(
        self, lifetime: Lifetime, requests: list[RequestFingerprint]
    ) -> None:
        name = f'{lifetime.server}/{lifetime.born}'
        self._fatal_requests.record_end(crc32(name.encode()), requests)


def _ignore_end() -> None:
    """Do nothing: there is no listener."""
