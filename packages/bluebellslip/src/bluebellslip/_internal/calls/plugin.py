"""The plug-in that serves and forwards calls."""

import asyncio
import contextlib
import datetime as dt
from typing import Final, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.calls.admission_gate import AdmissionGate
from bluebellslip._internal.calls.at_most_once import AtMostOnceRunner
from bluebellslip._internal.calls.egress import EgressHandler
from bluebellslip._internal.calls.ingress import IngressHandler
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.outcome_observer import OutcomeObserver
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.prewarming import ConnectionWarmer
from bluebellslip._internal.claims.maintenance import ClaimMaintenance
from bluebellslip._internal.exceptions import ServerFailedError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.identity import Address

_SWEEP_INTERVAL: Final = dt.timedelta(seconds=5)
_DRAIN_POLL_INTERVAL: Final = dt.timedelta(milliseconds=10)
# Longest time for the replies to calls that outlast the drain.
_LAST_REPLIES_TIME: Final = dt.timedelta(milliseconds=100)
# Longest time to release the claims of requests that were not sent.
_CLAIM_RELEASE_TIME: Final = dt.timedelta(milliseconds=400)
_END_TIME: Final = dt.timedelta(milliseconds=550)


@plugins.register('calls')
class CallsPlugin(Plugin):
    """Runs the egress and ingress listeners.

    Parameters
    ----------
    context
        The node's shared state.
    membership
        Provides the announcement of the local server.
    """

    stage = Stage.CALLS
    end_time = _END_TIME

    def __init__(self, context: Context, membership: Membership) -> None:
        counters = context.counters
        listen = context.settings.listen
        self._pool = ConnectionPool(counters)
        self._egress = EgressHandler(context, self._pool)
        observer = OutcomeObserver.from_context(context)
        self._gate = AdmissionGate(context.clock)
        self._claim_maintenance = ClaimMaintenance.from_context(context)
        self._at_most_once = AtMostOnceRunner(
            context,
            self._pool,
            observer,
            self._gate,
            self._claim_maintenance.store,
        )
        self._ingress = IngressHandler(
            context,
            self._pool,
            membership,
            observer,
            self._gate,
            self._at_most_once,
        )
        self._warmer = ConnectionWarmer(
            context, self._pool, self._egress.balancer
        )
        self._egress_listener = Listener(
            Address.from_text(listen.egress), self._egress, counters
        )
        self._ingress_listener = Listener(
            Address.from_text(listen.ingress), self._ingress, counters
        )

    @property
    def calls_in_flight(self) -> int:
        """Number of inbound and outbound calls in flight."""
        return self._ingress.in_flight.count + self._egress.in_flight.count

    @property
    def bytes_unsent(self) -> int:
        """Bytes of replies that are not yet written to a socket."""
        return (
            self._ingress_listener.unsent_bytes
            + self._egress_listener.unsent_bytes
        )

    @property
    def _ingress_pending(self) -> int:
        running = self._ingress.in_flight.count + self._at_most_once.pending
        return running + self._ingress_listener.unsent_bytes

    @property
    def _egress_pending(self) -> int:
        return self._egress.in_flight.count + self._egress_listener.unsent_bytes

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the plug-in from the node's shared state."""
        return cls(context, context.ports.get(Membership))

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Serve calls until cancelled."""
        await self._ingress_listener.open()
        await self._egress_listener.open()
        task_status.started()
        with (
            contextlib.closing(self._pool),
            contextlib.closing(self._egress_listener),
            contextlib.closing(self._ingress_listener),
        ):
            try:
                await self._run_maintenance()
            except asyncio.CancelledError:
                with anyio.CancelScope(shield=True):
                    await self._end_calls()
                raise

    def leave(self) -> None:
        """Refuse calls that the local server does not run yet.

        The server may still make calls.
        """
        self._ingress.start_draining()
        self._gate.close()
        self._ingress_listener.start_draining()
        self._egress_listener.start_draining()

    async def drain(self) -> None:
        """Wait for inbound calls to end, then for the local server's calls."""
        while self._ingress_pending:
            await anyio.sleep(_DRAIN_POLL_INTERVAL.total_seconds())
        self._egress.start_draining()
        while self._egress_pending:
            await anyio.sleep(_DRAIN_POLL_INTERVAL.total_seconds())

    async def end(self) -> None:
        """Release the claims of unsent calls, then respond to all calls."""
        self._gate.close()
        await self._at_most_once.end(_CLAIM_RELEASE_TIME)
        await self._end_calls()

    async def _run_maintenance(self) -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(self._claim_maintenance.run)
            group.start_soon(self._sweep)

    async def _end_calls(self) -> None:
        self._gate.close()
        with anyio.move_on_after(_LAST_REPLIES_TIME.total_seconds()):
            # Refused calls reply before the others are interrupted.
            await anyio.sleep(0)
            stopped = ServerFailedError('The node stopped before the call did.')
            self._ingress_listener.interrupt(stopped)
            self._egress_listener.interrupt(stopped)
            while self.calls_in_flight or self.bytes_unsent:
                await anyio.sleep(_DRAIN_POLL_INTERVAL.total_seconds())

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP_INTERVAL.total_seconds())
            self._ingress_listener.close_idle()
            self._egress_listener.close_idle()
            await self._warmer.warm_up(self._egress.services)
