"""Decodes and validates the platform's responses.

A response is accepted only if it matches the request: a row must carry the
requested key, and a 404 counts as an absent row or object only if its body
says so, since a proxy between node and platform may also respond with 404.
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
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_OK: Final = 200
_STORED_STATUSES: Final = frozenset((200, 201, 204))
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_SERVICE_UNAVAILABLE: Final = 503
_MAX_EXCERPT_BYTES: Final = 60

_Body = TypeVar('_Body')


class PlatformResponse(msgspec.Struct, frozen=True):
    """A response as received."""

    status: int
    body: bytes


class _ErrorBody(msgspec.Struct, frozen=True):
    kind: str


def check_available(response: PlatformResponse) -> None:
    """Raise an error if the platform rejected the request without acting on it.

    Raises
    ------
    PlatformDownError
        When the platform reports that it is down and did nothing.
    """
    if response.status == _SERVICE_UNAVAILABLE and _has_error_kind(
        response, 'down'
    ):
        raise PlatformDownError(
            'The platform is unavailable.',
            hint='Nothing took effect; try again later.',
        )


def decode_row(response: PlatformResponse, key: str) -> Row | None:
    """Return the row of a key, or None if it is absent."""
    if _is_absent(response):
        return None
    row = _decode(response, RowBody).to_row()
    if row.key != key or row.version < 1:
        _reject(response)
    return row


def decode_rows(
    response: PlatformResponse, prefix: str, limit: int
) -> tuple[Row, ...]:
    """Return the rows with a key prefix, in the order of their keys."""
    rows = tuple(body.to_row() for body in _decode(response, RowsBody).rows)
    keys = [row.key for row in rows]
    if len(rows) > limit or keys != sorted(keys):
        _reject(response)
    if not all(key.startswith(prefix) for key in keys):
        _reject(response)
    return rows


def decode_outcome(
    response: PlatformResponse, transaction: Transaction
) -> Result[Committed, Refused]:
    """Return the outcome of a transaction."""
    if response.status == _CONFLICT:
        refused = _decode(response, RefusedBody, _CONFLICT)
        if refused.key not in {each.key for each in transaction.conditions}:
            _reject(response)
        return Error(Refused(refused.key, refused.version))
    committed = _decode(response, CommittedBody)
    if len(committed.versions) != len(transaction.writes):
        _reject(response)
    return Ok(Committed(committed.versions))


def decode_object(response: PlatformResponse) -> bytes | None:
    """Return an object, or None if it is absent."""
    if _is_absent(response):
        return None
    if response.status != _OK:
        _reject(response)
    return response.body


def check_stored(response: PlatformResponse) -> None:
    """Raise an error unless the object was stored.

    Raises
    ------
    PlatformGarbledError
        When the status does not report success.
    """
    if response.status not in _STORED_STATUSES:
        _reject(response)


def _is_absent(response: PlatformResponse) -> bool:
    return response.status == _NOT_FOUND and _has_error_kind(
        response, 'not-found'
    )


def _has_error_kind(response: PlatformResponse, kind: str) -> bool:
    try:
        error = msgspec.json.decode(response.body, type=_ErrorBody)
    except DECODING_ERRORS:
        return False
    return error.kind == kind


def _decode(
    response: PlatformResponse, body_type: type[_Body], status: int = _OK
) -> _Body:
    if response.status != status:
        _reject(response)
    try:
        return msgspec.json.decode(response.body, type=body_type)
    except DECODING_ERRORS:
        _reject(response)


def _reject(response: PlatformResponse) -> NoReturn:
    raise PlatformGarbledError(
        'The platform sent an invalid response.',
        context={
            'status': str(response.status),
            'body': repr(response.body[:_MAX_EXCERPT_BYTES]),
        },
    )
