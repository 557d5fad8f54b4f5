"""Decisions on operators' requests, given the row that was read."""

import datetime as dt
from typing import Final

from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    BluebellError,
    ConflictError,
    MalformedError,
    NotFoundError,
)
from bluebellslip._internal.kernel.directory import Directory
from bluebellslip._internal.kernel.services import MoveRequest
from bluebellslip._internal.models.facts import MoveState
from bluebellslip._internal.models.identity import (
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.moves import transitions
from bluebellslip._internal.moves.servers import find_common_version
from bluebellslip._internal.moves.store import StoredMove

MIN_DURATION: Final = dt.timedelta(seconds=30)

PlannedChange = Result[tuple[MoveRow, str], BluebellError]
NO_CHANGE: Final = ''


def check_request(
    request: MoveRequest, snapshot: Snapshot | None, now: dt.datetime
) -> BluebellError | None:
    """Return why a request is invalid, or None; the row is not considered."""
    if snapshot is not None and request.service not in snapshot.routes:
        known = ', '.join(sorted(snapshot.routes))
        return NotFoundError(
            'There is no service of this name.',
            context={'service': request.service},
            hint=f'Known services: {known}',
        )
    if request.deadline - now < MIN_DURATION:
        return MalformedError(
            'The deadline of the move has passed or is too soon.',
            context={'deadline': request.deadline.isoformat()},
            hint=f'Allow at least {MIN_DURATION.seconds} s.',
        )
    return None


def plan_begin(
    request: MoveRequest,
    stored: StoredMove | None,
    directory: Directory,
    coordinator: NodeId,
    now: dt.datetime,
) -> PlannedChange:
    """Return the row that a request leads to and the audited action.

    The action is ``NO_CHANGE`` if the row already matches the request.
    """
    if stored is not None:
        if stored.row.move == request.request:
            return Ok((stored.row, NO_CHANGE))
        if stored.row.state is MoveState.MOVING:
            return _plan_deadline(request, stored.row, now)
    old = _find_current_version(request, stored, directory)
    if isinstance(old, BluebellError):
        return Error(old)
    epoch = 1 if stored is None else stored.row.epoch + 1
    row = transitions.begin_move(request, old, coordinator, epoch, now)
    return Ok((row, 'move.begin'))


def plan_withdrawal(
    service: ServiceName,
    stored: StoredMove | None,
    reason: str,
    now: dt.datetime,
) -> PlannedChange:
    """Return the row after an operator's withdrawal and the audited action."""
    if stored is None:
        return Error(
            NotFoundError(
                'The service has no move.', context={'service': service}
            )
        )
    row = stored.row
    if row.state is MoveState.WITHDRAWN:
        return Ok((row, NO_CHANGE))
    if row.state is MoveState.DONE:
        return Error(
            ConflictError(
                'The move is done and cannot be withdrawn.',
                context={'service': service, 'move': row.move},
                hint=f'Begin a move back to {row.old}.',
            )
        )
    return Ok((transitions.withdraw(row, reason, now), 'move.withdrawn'))


def _plan_deadline(
    request: MoveRequest, row: MoveRow, now: dt.datetime
) -> PlannedChange:
    if row.new != request.new:
        return Error(
            ConflictError(
                'The service is moving to another version.',
                context={
                    'service': row.service,
                    'to': row.new,
                    'move': row.move,
                },
                hint='Withdraw that move first, or wait until it ends.',
            )
        )
    if row.deadline == request.deadline:
        return Ok((row, NO_CHANGE))
    after = transitions.change_deadline(row, request.deadline, now)
    return Ok((after, 'move.deadline'))


def _find_current_version(
    request: MoveRequest, stored: StoredMove | None, directory: Directory
) -> VersionName | BluebellError:
    if stored is None:
        found = find_common_version(directory, request.service, request.new)
    elif stored.row.state is MoveState.DONE:
        found = stored.row.new
    else:
        found = stored.row.old
    if found is None:
        return NotFoundError(
            'No server of another version is known, so the version to move '
            'calls from is unknown.',
            context={'service': request.service, 'new': request.new},
        )
    if found == request.new:
        return ConflictError(
            'The service already runs this version.',
            context={'service': request.service, 'version': request.new},
        )
    return found
