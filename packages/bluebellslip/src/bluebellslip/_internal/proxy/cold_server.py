"""Paces the requests to a cold local server and checks whether it is warm.

The decisions are in ``cold_starts``. This module applies them to the node: it
logs them, reports the pace to senders and sends the few health checks.
"""

import asyncio
import logging
from collections.abc import Callable

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.exceptions import BluebellError, OverloadedError
from bluebellslip._internal.fleet.local_server import LocalServer, ServerInfo
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.mesh import ServiceRule
from bluebellslip._internal.proxy.cold_starts import ColdCause, ColdStart
from bluebellslip._internal.proxy.health_checks import check_health

logger = logging.getLogger(__name__)


class ColdServer:
    """Paces the local server while it is cold, or may be.

    Parameters
    ----------
    state
        Decides whether it is cold.
    server
        State of the server, from its heartbeats.
    counters
        Counts cold starts, refusals and health checks.
    """

    def __init__(
        self, state: ColdStart, server: LocalServer, counters: Counters
    ) -> None:
        self._state = state
        self._server = server
        self._counters = counters
        self._announced: tuple[float | None, bool] = (None, False)
        self._is_logged = False
        self._was_evacuated = False
        self._was_confirmed = False
        self._check_due = asyncio.Event()
        self._on_change: Callable[[], None] = _ignore_change

    @property
    def is_cold(self) -> bool:
        """Whether requests to the server are paced because it may be cold."""
        return self._state.is_paced

    @property
    def pace(self) -> float | None:
        """Requests a second that the server gets while cold; none if any."""
        return self._state.limits.pace

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener when the server's pace changes."""
        self._on_change = listener

    def limit(self, own_limit: float | None) -> float | None:
        """Return the lower of the server's own limit and the cold pace."""
        limits = [limit for limit in (own_limit, self._state.rate) if limit]
        return min(limits, default=None)

    def report(self, own_limit: float | None) -> float | None:
        """Return the limit to report to senders, 0 for none.

        Parameters
        ----------
        own_limit
            The server's own limit, 0 for none and None if unknown. Peers then
            remember an earlier one, which a mere doubt doesn't replace.
        """
        if own_limit is None and not self._state.is_confirmed:
            return 0 if self._was_confirmed else None
        return self.limit(own_limit) or 0

    def apply_rule(self, rule: ServiceRule | None) -> None:
        """Apply the configuration of the server's service."""
        self._state.limits.apply_rule(rule)
        self.refresh()

    def apply_evacuation(self, *, is_evacuated: bool) -> None:
        """Apply whether the server's failure domain is evacuated.

        Its servers may have become cold while it was.
        """
        if self._was_evacuated and not is_evacuated:
            self._state.doubt(ColdCause.EVACUATION)
        self._was_evacuated = is_evacuated
        self.refresh()

    def apply_end(self) -> None:
        """Apply that the server has ended; it may start again."""
        self._state.doubt(ColdCause.UNREACHABLE, is_down=True)
        self.refresh()

    def record_connect(self, error: BluebellError | None) -> None:
        """Record a connection to the server, or why there is none.

        A refused connection means that the server has ended. Any other failure
        may be due to its load.
        """
        if error is not None:
            if isinstance(error.__cause__, ConnectionRefusedError):
                self.apply_end()
            return
        self._state.note_connection()
        if self._state.check_path:
            self._check_due.set()

    def record_pass(self) -> None:
        """Count a request that is passed to the server now.

        Raises
        ------
        OverloadedError
            When the server gets no more requests now; this one did not run.
        """
        if not self._state.allows_pass:
            self._counters.add('cold_refusals')
            raise OverloadedError('The server is cold and gets no more now.')
        self._state.record_pass()

    def refresh(self) -> None:
        """Apply the server's latest heartbeat and the time."""
        info = self._server.info
        self._state.apply_info(info)
        if self._state.check_path:
            self._check_due.set()
        rate = self._state.rate
        if info is not None and self._is_logged is not self.is_cold:
            self._is_logged = self.is_cold
            self._log(info)
        announced = (rate, self._state.is_confirmed and rate is not None)
        if announced != self._announced:
            self._announced = announced
            self._was_confirmed |= announced[1]
            self._on_change()

    async def check_periodically(
        self, pool: ConnectionPool, names: MetadataHeaders
    ) -> None:
        """Send the health checks that are due, until cancelled.

        Parameters
        ----------
        pool
            Connections to the server.
        names
            Names of the headers of a response.
        """
        while True:
            await self._check_due.wait()
            self._check_due.clear()
            info, path = self._server.info, self._state.check_path
            if info is None or not path:
                continue
            sent_at = self._state.begin_check()
            report = await check_health(
                pool, names, info.address, info.lifetime.server, path
            )
            self._counters.add('health_checks', outcome=report.outcome)
            current = self._server.info
            is_same = current is not None and current.lifetime == info.lifetime
            if report.is_valid and is_same:
                self._state.apply_check(sent_at, report.cold_for)
            self.refresh()

    def _log(self, info: ServerInfo) -> None:
        fields = {'server': info.lifetime.server}
        cause = self._state.cause
        if not self.is_cold or cause is None:
            logger.info('server_warm', extra=fields)
            return
        self._counters.add('cold_starts')
        fields |= {'cause': cause.value, 'rate': str(self.pace)}
        logger.info('server_cold', extra=fields)


def _ignore_change() -> None:
    """Do nothing: there is no listener."""
