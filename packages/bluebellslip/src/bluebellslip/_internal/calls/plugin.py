"""The plug-in of the call path."""

import contextlib
import datetime as dt
from typing import Final, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.calls.egress import EgressHandler
from bluebellslip._internal.calls.gate import Gate
from bluebellslip._internal.calls.ingress import IngressHandler
from bluebellslip._internal.calls.listener import Listener
from bluebellslip._internal.calls.once import OnceRunner
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.warmth import Warmth
from bluebellslip._internal.calls.witness import Witness
from bluebellslip._internal.claims.maintenance import ClaimMaintenance
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.identity import Address

_SWEEP: Final = dt.timedelta(seconds=5)
_DRAIN_POLL: Final = dt.timedelta(milliseconds=10)


@plugins.register('calls')
class CallsPlugin(Plugin):
    """Egress and ingress listeners.

    Parameters
    ----------
    context
        The node's shared state.
    membership
        The announcement of the server beside this node.
    """

    stage = Stage.CALLS

    def __init__(self, context: Context, membership: Membership) -> None:
        counters = context.counters
        listen = context.settings.listen
        self._pool = ConnectionPool(counters)
        self._egress = EgressHandler(context, self._pool)
        witness = Witness.from_context(context)
        gate = Gate(context.clock)
        self._keeper = ClaimMaintenance.from_context(context)
        self._once = OnceRunner(
            context, self._pool, witness, gate, self._keeper.store
        )
        self._ingress = IngressHandler(
            context, self._pool, membership, witness, gate, self._once
        )
        self._warmth = Warmth(context, self._pool, self._egress.balancer)
        self._egress_listener = Listener(
            Address.from_text(listen.egress), self._egress, counters
        )
        self._ingress_listener = Listener(
            Address.from_text(listen.ingress), self._ingress, counters
        )

    @property
    def calls_in_flight(self) -> int:
        """Calls that this node takes part in."""
        return self._ingress.in_flight.count + self._egress.in_flight.count

    @property
    def bytes_unsent(self) -> int:
        """Bytes of replies that no socket has taken yet."""
        return self._ingress_listener.unsent + self._egress_listener.unsent

    @property
    def _ingress_pending(self) -> int:
        running = self._ingress.in_flight.count + self._once.pending
        return running + self._ingress_listener.unsent

    @property
    def _egress_pending(self) -> int:
        return self._egress.in_flight.count + self._egress_listener.unsent

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
            async with anyio.create_task_group() as group:
                group.start_soon(self._keeper.run)
                group.start_soon(self._sweep)

    def leave(self) -> None:
        """Refuse new calls to the server; its own calls go on."""
        self._ingress.leave()
        self._ingress_listener.leave()
        self._egress_listener.leave()

    async def drain(self) -> None:
        """Wait for calls of others, then for those of the own server."""
        while self._ingress_pending:
            await anyio.sleep(_DRAIN_POLL.total_seconds())
        self._egress.close()
        while self._egress_pending:
            await anyio.sleep(_DRAIN_POLL.total_seconds())

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP.total_seconds())
            self._ingress_listener.close_idle()
            self._egress_listener.close_idle()
            await self._warmth.renew(self._egress.services)
