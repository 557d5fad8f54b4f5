"""Changes of a move's row, each written by one conditional transaction."""

import datetime as dt
from typing import Final

import msgspec

from bluebellslip._internal.kernel.ports import (
    Condition,
    Transaction,
    Write,
)
from bluebellslip._internal.kernel.services import MoveRequest
from bluebellslip._internal.models.facts import FULL_SHARE, MoveFact, MoveState
from bluebellslip._internal.models.identity import (
    MoveId,
    NodeId,
    VersionName,
)
from bluebellslip._internal.models.move_rows import MoveRow, encode_move
from bluebellslip._internal.models.rows import (
    AuditOutcome,
    AuditRow,
    build_audit_key,
    build_move_key,
)
from bluebellslip._internal.moves.policy import Action, Decision
from bluebellslip._internal.moves.return_policy import MAX_COMPARISON_TIME

# Share of calls, in basis points, that a return first gives to the earlier
# version, which the finished move had replaced.
COMPARISON_SHARE: Final = 2500

_STATES: Final = {
    Action.HOLD: MoveState.MOVING,
    Action.STEP: MoveState.MOVING,
    Action.FINISH: MoveState.DONE,
    Action.WITHDRAW: MoveState.WITHDRAWN,
}


def begin_move(
    request: MoveRequest,
    old: VersionName,
    node: NodeId,
    epoch: int,
    now: dt.datetime,
) -> MoveRow:
    """Return the first row of a requested move.

    With an empty ``node``, any node of the service may take the lease.
    """
    return MoveRow(
        service=request.service,
        move=MoveId(request.request),
        state=MoveState.MOVING,
        old=old,
        new=request.new,
        share=0,
        started=now,
        deadline=request.deadline,
        who=request.who,
        steward=node,
        epoch=epoch,
        renewed=now,
        stepped=now,
        reason='The move has begun.',
    )


def begin_return(
    row: MoveRow, node: NodeId, reason: str, now: dt.datetime
) -> MoveRow:
    """Return the first row of a return from a version whose move is done.

    The finished move is not reopened. The return is a separate move, which
    first compares both versions unless the suspected one is stopped.
    """
    finished_move = row.returns or row.move
    versions = (row.new, row.old) if row.returns is None else (row.old, row.new)
    return msgspec.structs.replace(
        row,
        move=MoveId(f'{finished_move}.return-{row.epoch}'),
        state=MoveState.MOVING,
        old=versions[0],
        new=versions[1],
        share=COMPARISON_SHARE,
        started=now,
        deadline=now + MAX_COMPARISON_TIME,
        who=node,
        steward=node,
        epoch=row.epoch + 1,
        renewed=now,
        stepped=now,
        reason=reason,
        forecast=None,
        returns=finished_move,
    )


def apply_decision(
    row: MoveRow, decision: Decision, now: dt.datetime
) -> MoveRow:
    """Return the row after a decision, with the lease renewed."""
    changed = decision.share != row.share
    return msgspec.structs.replace(
        row,
        state=_STATES[decision.action],
        share=decision.share,
        reason=decision.reason,
        forecast=decision.forecast,
        renewed=now,
        stepped=now if changed else row.stepped,
    )


def take_over(row: MoveRow, node: NodeId, now: dt.datetime) -> MoveRow:
    """Return the row with the lease held by ``node`` in a new epoch."""
    return msgspec.structs.replace(
        row, steward=node, epoch=row.epoch + 1, renewed=now
    )


def withdraw(row: MoveRow, reason: str, now: dt.datetime) -> MoveRow:
    """Return the row of a withdrawn move."""
    return msgspec.structs.replace(
        row,
        state=MoveState.WITHDRAWN,
        share=0,
        reason=reason,
        forecast=None,
        renewed=now,
        stepped=now,
    )


def finish(row: MoveRow, reason: str, now: dt.datetime) -> MoveRow:
    """Return the row of a finished move."""
    return msgspec.structs.replace(
        row,
        state=MoveState.DONE,
        share=FULL_SHARE,
        reason=reason,
        forecast=now,
        renewed=now,
        stepped=now,
    )


def change_deadline(
    row: MoveRow, deadline: dt.datetime, now: dt.datetime
) -> MoveRow:
    """Return the row with another deadline."""
    return msgspec.structs.replace(
        row,
        deadline=deadline,
        renewed=now,
        reason='The deadline was changed.',
    )


def is_settled(move: MoveFact | MoveRow) -> bool:
    """Return whether all calls go to the version of a finished move.

    True of a done move that is not a return, and of a withdrawn return, which
    leaves all calls at the finished move's version.
    """
    if move.returns is None:
        return move.state is MoveState.DONE
    return move.state is MoveState.WITHDRAWN


def is_step(before: MoveRow, after: MoveRow) -> bool:
    """Return whether more changed than renewal, reason and forecast."""
    return _step_fields(before) != _step_fields(after)


def build_transaction(
    row: MoveRow, version: int, action: str, who: str
) -> Transaction:
    """Return the compare-and-set of a row, with its audit row.

    Parameters
    ----------
    row
        The row's new body.
    version
        The row's version that the change is based on.
    action
        The audited action; if empty, no audit row is written.
    who
        The operator or node that makes the change.
    """
    key = build_move_key(row.service)
    writes = [Write(key, encode_move(row))]
    if action:
        writes.append(_make_audit_write(row, version, action, who))
    return Transaction((Condition(key, version),), tuple(writes))


def _make_audit_write(
    row: MoveRow, version: int, action: str, who: str
) -> Write:
    detail = (
        f'{row.old} to {row.new}, share {row.share}, epoch {row.epoch}: '
        f'{row.reason}'
    )
    body = AuditRow(
        at=row.renewed,
        who=who,
        action=action,
        subject=f'{row.service}/{row.move}',
        outcome=AuditOutcome.ACCEPTED,
        revision=version + 1,
        detail=detail,
    )
    unique = f'move-{row.service}-{version + 1}'
    return Write(
        build_audit_key(row.renewed, unique), msgspec.msgpack.encode(body)
    )


def _step_fields(row: MoveRow) -> tuple[object, ...]:
    return (
        row.move,
        row.state,
        row.share,
        row.deadline,
        row.epoch,
    )
