"""Steps of a move, taken by the node that holds the lease on its row."""

import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.facts import MoveState, StopFact
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.moves import transitions
from bluebellslip._internal.moves.adoption import ADOPT, adopt_version
from bluebellslip._internal.moves.guard import MoveGuard
from bluebellslip._internal.moves.lease import LeaseView
from bluebellslip._internal.moves.ledger import (
    PLATFORM_ERRORS,
    MoveLedger,
    StoredMove,
)
from bluebellslip._internal.moves.policy import Action, decide
from bluebellslip._internal.moves.returning import decide_return

IDLE_LOOK: Final = dt.timedelta(seconds=30)
SUSPICION: Final = (
    'The version behaves worse than before; it is compared with the one '
    'before it.'
)

_ACTIONS: Final = {
    Action.STEP: 'move.step',
    Action.FINISH: 'move.done',
    Action.WITHDRAW: 'move.withdrawn',
    Action.HOLD: '',
}


class MoveSteward:
    """Looks at the row of the own service's move, and acts on it.

    Parameters
    ----------
    context
        State that the plug-ins share.
    ledger
        Rows and facts of moves.
    guard
        Evidence on the own service's move.
    """

    def __init__(
        self, context: Context, ledger: MoveLedger, guard: MoveGuard
    ) -> None:
        self._context = context
        self._ledger = ledger
        self._guard = guard
        self._service: ServiceName | None = None
        self._lease = LeaseView(context.node)
        self._looked = dt.timedelta()
        self._doubtful = True

    async def turn(self) -> None:
        """Look at the row where that is due, and act where it is called for.

        Platform errors are counted; the row is looked at again then.
        """
        service = self._guard.service
        if service is None:
            return
        if service != self._service:
            self._service = service
            self._lease = LeaseView(self._context.node)
            self._doubtful = True
        try:
            await self._act(service)
        except PLATFORM_ERRORS as error:
            self._doubtful = True
            self._ledger.note_error(error)

    async def _act(self, service: ServiceName) -> None:
        if self._must_look(service):
            await self._look(service)
        row = self._lease.row
        if row is None:
            return
        stop = self._find_stop(row)
        if stop is not None:
            await self._record_stop(row, stop)
        elif row.state is MoveState.MOVING:
            await self._step(row)
        elif transitions.is_settled(row) and self._guard.is_alarmed(row):
            await self._begin_return(row, SUSPICION)

    def _find_stop(self, row: MoveRow) -> StopFact | None:
        """Return the stop of the version that the move led, or leads, to."""
        move = row.move if row.returns is None else row.returns
        return self._ledger.find_stop(row.service, move)

    def _must_look(self, service: ServiceName) -> bool:
        if self._doubtful:
            return True
        fact = self._ledger.find_fact(service)
        if fact is not None and fact.step > self._lease.version:
            return True
        elapsed = self._context.clock.elapsed()
        row = self._lease.row
        if row is None or row.state is not MoveState.MOVING:
            return elapsed - self._looked >= IDLE_LOOK
        return not self._lease.is_held and self._lease.is_due(elapsed)

    async def _look(self, service: ServiceName) -> None:
        stored = await self._ledger.read(service)
        if stored is None:
            stored = await self._adopt()
        self._doubtful = False
        self._looked = self._context.clock.elapsed()
        if stored is not None:
            self._learn(stored)

    async def _adopt(self) -> StoredMove | None:
        backend = self._context.ports.get(Membership).own_backend
        if backend is None:
            return None
        row = adopt_version(
            backend, self._context.node, self._context.clock.now()
        )
        return await self._ledger.write(row, 0, ADOPT, self._context.node)

    def _learn(self, stored: StoredMove) -> None:
        elapsed = self._context.clock.elapsed()
        self._lease.learn(stored.row, stored.version, elapsed)

    async def _record_stop(self, row: MoveRow, stop: StopFact) -> None:
        if transitions.is_settled(row):
            await self._begin_return(row, stop.reason)
        elif row.state is MoveState.MOVING:
            now = self._context.clock.now()
            if row.returns is None:
                after = transitions.withdraw(row, stop.reason, now)
                await self._commit(after, 'move.withdrawn')
            else:
                after = transitions.finish(row, stop.reason, now)
                await self._commit(after, 'move.done')

    async def _begin_return(self, row: MoveRow, reason: str) -> None:
        now = self._context.clock.now()
        node = self._context.node
        after = transitions.begin_return(row, node, reason, now)
        await self._commit(after, 'move.return')

    async def _step(self, row: MoveRow) -> None:
        now = self._context.clock.now()
        elapsed = self._context.clock.elapsed()
        if not self._lease.is_held:
            if self._lease.has_lapsed(elapsed):
                after = transitions.take_over(row, self._context.node, now)
                await self._commit(after, 'move.steward')
            return
        view = self._guard.view(row)
        decision = decide_return(view) if view.returning else decide(view)
        after = transitions.apply_decision(row, decision, now)
        if transitions.is_step(row, after):
            await self._commit(after, _ACTIONS[decision.action])
        elif self._lease.is_due(elapsed):
            await self._commit(after, '')

    async def _commit(self, row: MoveRow, action: str) -> None:
        stored = await self._ledger.write(
            row, self._lease.version, action, self._context.node
        )
        if stored is None:
            self._doubtful = True
            return
        self._learn(stored)
