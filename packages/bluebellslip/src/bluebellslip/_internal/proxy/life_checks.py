"""Checks the health of a server whose life the node did not hear begin.

Handles the start of a node while a heartbeat of a server that has left may
still arrive late, and no process or store knows of the departure any more. The
server itself does: its health check says that it leaves.
"""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.fleet.first_life import HealthStatus
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh import ServiceRule
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.proxy.health_checks import check_health

logger = logging.getLogger(__name__)

# Pauses before further checks if one told nothing; the next heartbeat brings
# more of them.
RETRY_PAUSES: Final = (
    dt.timedelta(milliseconds=100),
    dt.timedelta(milliseconds=400),
)


class LifeChecker:
    """Sends the health checks that decide whether a life is taken.

    Parameters
    ----------
    clock
        The node's clock.
    server
        State of the server.
    address
        Address of the server.
    pool
        Connections to the server.
    names
        Names of the headers of a response.
    counters
        Counts the checks by outcome.
    """

    def __init__(
        self,
        clock: Clock,
        server: LocalServer,
        address: Address,
        pool: ConnectionPool,
        names: MetadataHeaders,
        counters: Counters,
    ) -> None:
        self._clock = clock
        self._server = server
        self._address = address
        self._pool = pool
        self._names = names
        self._counters = counters
        self._path: str | None = None
        self._due = asyncio.Event()
        self._on_change: Callable[[], None] = _ignore
        server.first_life.on_held(self._due.set)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener when a check has changed the server's state."""
        self._on_change = listener

    def apply_rule(self, rule: ServiceRule | None) -> None:
        """Apply the configuration of the server's service.

        Until there is one, the path of the health check is unknown, and the
        node sends no requests to the server.
        """
        self._path = '' if rule is None else rule.health_path
        self._due.set()

    async def run(self) -> None:
        """Send the checks that are due, until cancelled."""
        while True:
            await self._due.wait()
            self._due.clear()
            lifetime = self._server.first_life.unchecked
            if lifetime is not None and self._path is not None:
                await self._check(lifetime, self._path)

    async def _check(self, lifetime: Lifetime, path: str) -> None:
        for pause in (*RETRY_PAUSES, None):
            asked_at = self._clock.elapsed()
            status = await self._ask(lifetime, path)
            if self._server.apply_health(lifetime, status, asked_at):
                self._on_change()
            is_open = self._server.first_life.unchecked == lifetime
            if not is_open or status is not HealthStatus.UNKNOWN:
                return
            if pause is not None:
                await asyncio.sleep(pause.total_seconds())

    async def _ask(self, lifetime: Lifetime, path: str) -> HealthStatus:
        if not path:
            return HealthStatus.UNSUPPORTED
        report = await check_health(
            self._pool,
            self._names,
            self._address,
            lifetime.server,
            path,
        )
        self._counters.add('health_checks', outcome=report.outcome)
        logger.info(
            'server_life_checked',
            extra={
                'server': lifetime.server,
                'born': lifetime.born,
                'status': report.status.value,
                'outcome': report.outcome,
            },
        )
        return report.status


def _ignore() -> None:
    """Do nothing: there is no listener."""
