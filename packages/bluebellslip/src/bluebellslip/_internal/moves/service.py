"""Operators' requests for moves, which any node can handle."""

from collections.abc import Callable
from functools import partial
from typing import Final

from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    BluebellError,
    ConflictError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import (
    MoveRequest,
    MoveStatus,
    RouteEvidence,
)
from bluebellslip._internal.models.facts import MoveFact, MoveState
from bluebellslip._internal.models.identity import (
    MoveId,
    NodeId,
    ServiceName,
)
from bluebellslip._internal.moves.initial_version import is_initial_version
from bluebellslip._internal.moves.monitor import MoveMonitor
from bluebellslip._internal.moves.requests import (
    NO_CHANGE,
    PlannedChange,
    check_request,
    plan_begin,
    plan_withdrawal,
)
from bluebellslip._internal.moves.store import (
    PLATFORM_ERRORS,
    MoveStore,
    StoredMove,
)

MAX_ATTEMPTS: Final = 4

_StatusResult = Result[MoveStatus, BluebellError]


class MoveService:
    """Begins, withdraws and describes moves.

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

    async def request(self, request: MoveRequest) -> _StatusResult:
        """Begin a move or change its deadline, or return why not.

        A repeated request returns the move that it began before.
        """
        refusal = check_request(
            request, self._context.applied.current, self._context.clock.now()
        )
        if refusal is not None:
            return Error(refusal)
        try:
            return await self._change(
                request.service, request.who, partial(self._plan_begin, request)
            )
        except PLATFORM_ERRORS as error:
            return Error(error)

    async def withdraw(
        self, service: ServiceName, who: str, reason: str
    ) -> _StatusResult:
        """Withdraw the newest move of a service.

        If the platform fails, the new version of a move in progress is stopped
        at once, and the withdrawal is recorded when the platform answers again.
        """
        text = f'{who} withdrew the move: {reason}'
        try:
            return await self._change(
                service, who, partial(self._plan_withdrawal, service, text)
            )
        except PLATFORM_ERRORS as error:
            return self._stop_unrecorded(service, text, error)

    def status(self, service: ServiceName) -> MoveStatus | None:
        """Return the newest move of a service."""
        fact = self._store.find_fact(service)
        return None if fact is None else self._describe(fact)

    def all_statuses(self) -> tuple[MoveStatus, ...]:
        """Return the newest move of every service that ever had one."""
        facts = self._context.facts.select(MoveFact)
        return tuple(
            self._describe(fact)
            for fact in facts
            if not is_initial_version(fact)
        )

    async def _change(
        self,
        service: ServiceName,
        who: str,
        plan: Callable[[StoredMove | None], PlannedChange],
    ) -> _StatusResult:
        for _ in range(MAX_ATTEMPTS):
            stored = await self._store.read(service)
            change = plan(stored)
            if change.is_error():
                return Error(change.error)
            row, action = change.ok
            if stored is not None and action == NO_CHANGE:
                return Ok(self._describe(row.to_fact(stored.version)))
            version = 0 if stored is None else stored.version
            try:
                written = await self._store.write(row, version, action, who)
            except PlatformOutcomeUnknownError as error:
                # The next read shows whether the write took effect.
                self._store.count_error(error)
                continue
            if written is not None:
                return Ok(self._describe(row.to_fact(written.version)))
        return Error(
            ConflictError(
                'The change could not be confirmed: concurrent changes '
                'prevented it, or the responses to its writes were lost.',
                context={'service': service},
                hint='Check the state of the move and try again.',
            )
        )

    def _plan_begin(
        self, request: MoveRequest, stored: StoredMove | None
    ) -> PlannedChange:
        is_local_service = self._monitor.service == request.service
        return plan_begin(
            request,
            stored,
            self._context.directory,
            self._context.node if is_local_service else NodeId(''),
            self._context.clock.now(),
        )

    def _plan_withdrawal(
        self, service: ServiceName, reason: str, stored: StoredMove | None
    ) -> PlannedChange:
        now = self._context.clock.now()
        return plan_withdrawal(service, stored, reason, now)

    def _stop_unrecorded(
        self, service: ServiceName, reason: str, error: BluebellError
    ) -> _StatusResult:
        fact = self._store.find_fact(service)
        if fact is None or fact.state is not MoveState.MOVING:
            return Error(error)
        self._store.stop_version(service, fact.move, fact.new, reason)
        return Ok(self._describe(fact))

    def _describe(self, fact: MoveFact) -> MoveStatus:
        stop = self._store.find_stop(fact.service, fact.move)
        stopped = stop is not None
        return MoveStatus(
            service=fact.service,
            move=fact.move,
            state=fact.state,
            old=fact.old,
            new=fact.new,
            share=0 if stopped else fact.share,
            stopped=stopped,
            deadline=fact.deadline,
            forecast=None if stopped else fact.forecast,
            steward=fact.steward,
            reason=fact.reason if stop is None else stop.reason,
            evidence=self._find_evidence(fact.move),
        )

    def _find_evidence(self, move: MoveId) -> tuple[RouteEvidence, ...]:
        collector = self._monitor.collector
        if collector is None or collector.move != move:
            return ()
        return collector.assessment.evidence
