"""The plug-in that carries moves between versions."""

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
from bluebellslip._internal.moves.exchange import EvidenceExchange
from bluebellslip._internal.moves.guard import MoveGuard
from bluebellslip._internal.moves.ledger import MoveLedger
from bluebellslip._internal.moves.service import MoveService
from bluebellslip._internal.moves.steward import MoveSteward
from bluebellslip._internal.moves.windows import WINDOW

logger = logging.getLogger(__name__)

_JITTER: Final = 0.2  # part of a window


@plugins.register('moves')
class MovesPlugin(Plugin):
    """Runs the own service's part in moves.

    Parameters
    ----------
    context
        State that the plug-ins share.
    guard
        Evidence on the own service's move.
    steward
        Steps of the own service's move.
    """

    stage = Stage.MOVES

    def __init__(
        self, context: Context, guard: MoveGuard, steward: MoveSteward
    ) -> None:
        self._context = context
        self._guard = guard
        self._stewardship = steward

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the parts and enter their ports."""
        ports = context.ports
        exchange = EvidenceExchange(context, ports.get(PeerLink))
        ledger = MoveLedger(context, ports.get(TableService))
        membership = ports.get(Membership)
        guard = MoveGuard(context, ledger, exchange, membership)
        ports.provide(EvidenceSink, exchange)
        ports.provide(Moves, MoveService(context, ledger, guard))
        return cls(context, guard, MoveSteward(context, ledger, guard))

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Watch and steward until cancelled.

        Evidence is judged in a task of its own, so that a slow platform
        delays no stop.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._observe)
            group.start_soon(self._steward)
            task_status.started()

    async def _observe(self) -> None:
        while True:
            self._guard.observe()
            await self._pause()

    async def _steward(self) -> None:
        while True:
            await self._stewardship.turn()
            await self._pause()

    async def _pause(self) -> None:
        part = 1 + _JITTER * self._context.random.uniform(-1, 1)
        await anyio.sleep(part * WINDOW.total_seconds())
