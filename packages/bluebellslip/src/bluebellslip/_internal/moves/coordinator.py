"""Coordination of a move by the node that holds the lease on its row."""

import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.facts import MoveState, StopFact
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.moves import transitions
from bluebellslip._internal.moves.initial_version import (
    ADOPT_ACTION,
    make_initial_row,
)
from bluebellslip._internal.moves.lease import LeaseView
from bluebellslip._internal.moves.monitor import MoveMonitor
from bluebellslip._internal.moves.policy import Action, decide
from bluebellslip._internal.moves.return_policy import decide_return
from bluebellslip._internal.moves.store import (
    PLATFORM_ERRORS,
    MoveStore,
    StoredMove,
)

IDLE_READ_INTERVAL: Final = dt.timedelta(seconds=30)
SUSPECTED_REASON: Final = (
    'The version behaves worse than before; it is being compared with the '
    'previous one.'
)

_AUDIT_ACTIONS: Final = {
    Action.STEP: 'move.step',
    Action.FINISH: 'move.done',
    Action.WITHDRAW: 'move.withdrawn',
    Action.HOLD: '',
}


class MoveCoordinator:
    """Reads the row of the local service's move, and changes it when due.

    Only the holder of the lease takes the steps of a move. Every node may
    record a stop, begin a return, or take over an expired lease.

    Parameters
    ----------
    context
        State that the plug-ins share.
    store
        Store of rows and facts of moves.
    monitor
        Monitor of the local service's move.
    """

    def __init__(
        self, context: Context, store: MoveStore, monitor: MoveMonitor
    ) -> None:
        self._context = context
        self._store = store
        self._monitor = monitor
        self._service: ServiceName | None = None
        self._lease = LeaseView(context.node)
        self._last_read = dt.timedelta()
        self._is_stale = True

    async def poll(self) -> None:
        """Read the row if that is due, and change it if necessary.

        Platform errors are counted, and the next poll reads the row again.
        """
        service = self._monitor.service
        if service is None:
            return
        if service != self._service:
            self._service = service
            self._lease = LeaseView(self._context.node)
            self._is_stale = True
        try:
            await self._process(service)
        except PLATFORM_ERRORS as error:
            self._is_stale = True
            self._store.count_error(error)

    async def _process(self, service: ServiceName) -> None:
        if self._needs_read(service):
            await self._read(service)
        row = self._lease.row
        if row is None:
            return
        stop = self._find_stop(row)
        if stop is not None:
            await self._record_stop(row, stop)
        elif row.state is MoveState.MOVING:
            await self._step(row)
        elif transitions.is_settled(row) and self._monitor.is_alarmed(row):
            await self._begin_return(row, SUSPECTED_REASON)

    def _find_stop(self, row: MoveRow) -> StopFact | None:
        """Return the stop fact of the move, if any.

        For a return, it is the stop fact of the finished move.
        """
        move = row.move if row.returns is None else row.returns
        return self._store.find_stop(row.service, move)

    def _needs_read(self, service: ServiceName) -> bool:
        if self._is_stale:
            return True
        fact = self._store.find_fact(service)
        if fact is not None and fact.step > self._lease.version:
            return True
        elapsed = self._context.clock.elapsed()
        row = self._lease.row
        if row is None or row.state is not MoveState.MOVING:
            return elapsed - self._last_read >= IDLE_READ_INTERVAL
        return not self._lease.is_held and self._lease.is_refresh_due(elapsed)

    async def _read(self, service: ServiceName) -> None:
        stored = await self._store.read(service)
        if stored is None:
            stored = await self._write_initial_row()
        self._is_stale = False
        self._last_read = self._context.clock.elapsed()
        if stored is not None:
            self._update_lease(stored)

    async def _write_initial_row(self) -> StoredMove | None:
        backend = self._context.ports.get(Membership).own_backend
        if backend is None:
            return None
        row = make_initial_row(
            backend, self._context.node, self._context.clock.now()
        )
        return await self._store.write(row, 0, ADOPT_ACTION, self._context.node)

    def _update_lease(self, stored: StoredMove) -> None:
        elapsed = self._context.clock.elapsed()
        self._lease.update(stored.row, stored.version, elapsed)

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
            if self._lease.has_expired(elapsed):
                after = transitions.take_over(row, self._context.node, now)
                await self._commit(after, 'move.steward')
            return
        view = self._monitor.view(row)
        decision = decide_return(view) if view.returning else decide(view)
        after = transitions.apply_decision(row, decision, now)
        if transitions.is_step(row, after):
            await self._commit(after, _AUDIT_ACTIONS[decision.action])
        elif self._lease.is_refresh_due(elapsed):
            await self._commit(after, '')

    async def _commit(self, row: MoveRow, action: str) -> None:
        stored = await self._store.write(
            row, self._lease.version, action, self._context.node
        )
        if stored is None:
            self._is_stale = True
            return
        self._update_lease(stored)
