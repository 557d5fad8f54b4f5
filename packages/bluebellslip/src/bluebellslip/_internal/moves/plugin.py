"""The plug-in that runs moves between versions."""

import logging
from typing import Final, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.ports import (
    EvidenceSink,
    PeerLink,
    TableService,
)
from bluebellslip._internal.kernel.services import Membership, Moves
from bluebellslip._internal.moves.coordinator import MoveCoordinator
from bluebellslip._internal.moves.exchange import EvidenceExchange
from bluebellslip._internal.moves.monitor import MoveMonitor
from bluebellslip._internal.moves.service import MoveService
from bluebellslip._internal.moves.store import MoveStore
from bluebellslip._internal.moves.windows import WINDOW

logger = logging.getLogger(__name__)

_JITTER_FRACTION: Final = 0.2  # of a window, in both directions


@plugins.register('moves')
class MovesPlugin(Plugin):
    """Runs the moves of the local service on this node.

    Parameters
    ----------
    context
        State that the plug-ins share.
    monitor
        Monitor of the local service's move.
    coordinator
        Coordinator of the local service's move.
    """

    stage = Stage.MOVES

    def __init__(
        self,
        context: Context,
        monitor: MoveMonitor,
        coordinator: MoveCoordinator,
    ) -> None:
        self._context = context
        self._monitor = monitor
        self._coordinator = coordinator

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the parts and provide their ports."""
        ports = context.ports
        exchange = EvidenceExchange(context, ports.get(PeerLink))
        store = MoveStore(context, ports.get(TableService))
        membership = ports.get(Membership)
        monitor = MoveMonitor(context, store, exchange, membership)
        ports.provide(EvidenceSink, exchange)
        ports.provide(Moves, MoveService(context, store, monitor))
        return cls(context, monitor, MoveCoordinator(context, store, monitor))

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Run the monitor and the coordinator until cancelled.

        The monitor runs in a task of its own, so that a slow platform does
        not delay the stop of a bad version.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._monitor_evidence)
            group.start_soon(self._coordinate)
            task_status.started()

    async def _monitor_evidence(self) -> None:
        while True:
            self._monitor.observe()
            await self._sleep()

    async def _coordinate(self) -> None:
        while True:
            await self._coordinator.poll()
            await self._sleep()

    async def _sleep(self) -> None:
        factor = 1 + _JITTER_FRACTION * self._context.random.uniform(-1, 1)
        await anyio.sleep(factor * WINDOW.total_seconds())
