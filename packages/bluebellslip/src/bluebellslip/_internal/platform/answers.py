"""Meaning of the platform's answers: plain functions of status and body.

An answer is taken only if it is one to the question: a row must carry the
key that was asked for, and an absence must say so in its body, since a 404
from something between node and platform is no absence.
"""

from typing import Final, NoReturn, TypeVar

import msgspec
from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformGarbledError,
)
from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)
from bluebellslip._internal.platform.wire import (
    CommittedBody,
    RefusedBody,
    RowBody,
    RowsBody,
)

_OK: Final = 200
_STORED: Final = frozenset((200, 201, 204))
_ABSENT: Final = 404
_CONFLICT: Final = 409
_UNAVAILABLE: Final = 503
_EXCERPT_BYTES: Final = 60

_Body = TypeVar('_Body')


class Reply(msgspec.Struct, frozen=True):
    """An answer as it came."""

    status: int
    body: bytes


class _Explanation(msgspec.Struct, frozen=True):
    kind: str


def check_available(reply: Reply) -> None:
    """Pass anything but the platform's refusal to work.

    Raises
    ------
    PlatformDownError
        When the platform says that it did nothing.
    """
    if reply.status == _UNAVAILABLE and _explains(reply, 'down'):
        raise PlatformDownError(
            'The platform refused to work.',
            hint='Nothing took effect; try again later.',
        )


def decode_row(reply: Reply, key: str) -> Row | None:
    """Return the row of a key, or none if it is absent."""
    if _is_absent(reply):
        return None
    row = _decode(reply, RowBody).to_row()
    if row.key != key or row.version < 1:
        _reject(reply)
    return row


def decode_rows(reply: Reply, prefix: str, limit: int) -> tuple[Row, ...]:
    """Return rows by prefix, in the order of their keys."""
    rows = tuple(body.to_row() for body in _decode(reply, RowsBody).rows)
    keys = [row.key for row in rows]
    if len(rows) > limit or keys != sorted(keys):
        _reject(reply)
    if not all(key.startswith(prefix) for key in keys):
        _reject(reply)
    return rows


def decode_transact(
    reply: Reply, transaction: Transaction
) -> Result[Committed, Refused]:
    """Return what became of a transaction."""
    if reply.status == _CONFLICT:
        refused = _decode(reply, RefusedBody, _CONFLICT)
        if refused.key not in {each.key for each in transaction.conditions}:
            _reject(reply)
        return Error(Refused(refused.key, refused.version))
    committed = _decode(reply, CommittedBody)
    if len(committed.versions) != len(transaction.writes):
        _reject(reply)
    return Ok(Committed(committed.versions))


def decode_object(reply: Reply) -> bytes | None:
    """Return an object, or none if it is absent."""
    if _is_absent(reply):
        return None
    if reply.status != _OK:
        _reject(reply)
    return reply.body


def check_stored(reply: Reply) -> None:
    """Pass the answer to a stored object."""
    if reply.status not in _STORED:
        _reject(reply)


def _is_absent(reply: Reply) -> bool:
    return reply.status == _ABSENT and _explains(reply, 'not-found')


def _explains(reply: Reply, kind: str) -> bool:
    try:
        explanation = msgspec.json.decode(reply.body, type=_Explanation)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return False
    return explanation.kind == kind


def _decode(reply: Reply, kind: type[_Body], status: int = _OK) -> _Body:
    if reply.status != status:
        _reject(reply)
    try:
        return msgspec.json.decode(reply.body, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        _reject(reply)


def _reject(reply: Reply) -> NoReturn:
    raise PlatformGarbledError(
        'The platform answered what can not be an answer.',
        context={
            'status': str(reply.status),
            'body': repr(reply.body[:_EXCERPT_BYTES]),
        },
    )
