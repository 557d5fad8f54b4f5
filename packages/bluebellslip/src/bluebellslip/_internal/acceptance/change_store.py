"""Reads head and change rows, and builds transactions that accept changes."""

import datetime as dt
from typing import Final, TypeVar

import msgspec

from bluebellslip._internal.acceptance.audit import build_audit_write
from bluebellslip._internal.acceptance.submission import Head, Submission
from bluebellslip._internal.exceptions import PlatformGarbledError
from bluebellslip._internal.kernel.ports import (
    Condition,
    TableService,
    Transaction,
    Write,
)
from bluebellslip._internal.kernel.services import Accepted
from bluebellslip._internal.models.rows import (
    HEAD_KEY,
    AuditOutcome,
    AuditRow,
    ChangeRow,
    HeadRow,
    build_change_key,
)
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

APPLY_ACTION: Final = 'apply'

_Structure = TypeVar('_Structure', bound=msgspec.Struct)

_encode = msgspec.msgpack.Encoder().encode


async def read_head(table: TableService) -> Head:
    """Return the head row and its version; ``Head.absent()`` if there is none.

    Raises
    ------
    PlatformGarbledError
        When the row cannot be decoded. The errors of ``TableService.read``
        are raised as well.
    """
    row = await table.read(HEAD_KEY)
    if row is None:
        return Head.absent()
    return Head(_decode(row.body, HeadRow), row.version)


async def read_change(table: TableService, change: str) -> ChangeRow | None:
    """Return the row of a change, or None if the change was not accepted.

    Raises the same errors as ``read_head``.
    """
    row = await table.read(build_change_key(change))
    return None if row is None else _decode(row.body, ChangeRow)


def build_transaction(
    submission: Submission, head: Head, accepted: Accepted, at: dt.datetime
) -> Transaction:
    """Return the transaction that makes a change the newest revision.

    The platform refuses the transaction if the head row has changed or the
    change is already accepted.
    """
    change = submission.request.change
    change_key = build_change_key(change)
    head_row = HeadRow(accepted.revision, accepted.digest, change)
    change_row = ChangeRow(
        change, accepted.revision, accepted.digest, submission.request_digest
    )
    audit_row = AuditRow(
        at=at,
        who=submission.request.who,
        action=APPLY_ACTION,
        subject=change,
        outcome=AuditOutcome.ACCEPTED,
        revision=accepted.revision,
        detail='rebased' if accepted.rebased else '',
    )
    return Transaction(
        (Condition(HEAD_KEY, head.version), Condition(change_key, 0)),
        (
            Write(HEAD_KEY, _encode(head_row)),
            Write(change_key, _encode(change_row)),
            build_audit_write(audit_row, change),
        ),
    )


def _decode(body: bytes, row_type: type[_Structure]) -> _Structure:
    try:
        return msgspec.msgpack.decode(body, type=row_type)
    except DECODING_ERRORS as error:
        raise PlatformGarbledError(
            "A row of the platform's table cannot be decoded.",
            context={'row': row_type.__name__, 'found': str(error)},
        ) from error
