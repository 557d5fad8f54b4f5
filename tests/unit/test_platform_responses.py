"""The platform's responses are accepted only if they match the request.

Guards against a response that comes from a proxy between node and platform, or
belongs to another request, and is taken for an absent row or a write's outcome.
"""

import msgspec
import pytest

from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformGarbledError,
)
from bluebellslip._internal.kernel.ports import Condition, Transaction, Write
from bluebellslip._internal.platform.responses import (
    PlatformResponse,
    check_available,
    check_stored,
    decode_object,
    decode_outcome,
    decode_row,
    decode_rows,
)
from bluebellslip._internal.platform.wire import (
    CommittedBody,
    RefusedBody,
    RowBody,
    RowsBody,
)

_TRANSACTION = Transaction((Condition('a', 0),), (Write('a', b'x'),))


def _make_response(body: object, status: int = 200) -> PlatformResponse:
    return PlatformResponse(status, msgspec.json.encode(body))


def test_absence_must_be_explicit() -> None:
    assert decode_row(_make_response({'kind': 'not-found'}, 404), 'a') is None
    assert decode_object(_make_response({'kind': 'not-found'}, 404)) is None
    for other in (PlatformResponse(404, b'<html>'), PlatformResponse(404, b'')):
        with pytest.raises(PlatformGarbledError):
            decode_row(other, 'a')
        with pytest.raises(PlatformGarbledError):
            decode_object(other)


@pytest.mark.parametrize(
    'reply',
    [
        _make_response(RowBody('b', 1, b'x')),
        _make_response(RowBody('a', 0, b'x')),
        _make_response({'key': 'a'}),
        PlatformResponse(200, b'\x00<html>'),
        PlatformResponse(200, b'{"key":"\xff"}'),
        PlatformResponse(302, b''),
    ],
)
def test_a_row_that_was_not_requested_is_refused(
    reply: PlatformResponse,
) -> None:
    with pytest.raises(PlatformGarbledError):
        decode_row(reply, 'a')


@pytest.mark.parametrize(
    'keys', [('a/2', 'a/1'), ('a/1', 'b'), ('a/1', 'a/2', 'a/3')]
)
def test_rows_outside_the_requested_range_are_refused(
    keys: tuple[str, ...],
) -> None:
    rows = RowsBody(tuple(RowBody(key, 1, b'') for key in keys))
    with pytest.raises(PlatformGarbledError):
        decode_rows(_make_response(rows), 'a/', 2)


@pytest.mark.parametrize(
    'reply',
    [
        _make_response(CommittedBody((1, 2))),
        _make_response(RefusedBody('z', 1), 409),
        _make_response({}, 409),
        PlatformResponse(204, b''),
    ],
)
def test_an_outcome_of_another_transaction_is_refused(
    reply: PlatformResponse,
) -> None:
    with pytest.raises(PlatformGarbledError):
        decode_outcome(reply, _TRANSACTION)


def test_committed_and_refused_outcomes_are_distinguished() -> None:
    committed = decode_outcome(
        _make_response(CommittedBody((1,))), _TRANSACTION
    )
    refused = decode_outcome(
        _make_response(RefusedBody('a', 4), 409), _TRANSACTION
    )
    assert committed.is_ok()
    assert refused.is_error()


def test_only_an_explicit_refusal_means_that_nothing_took_effect() -> None:
    with pytest.raises(PlatformDownError):
        check_available(_make_response({'kind': 'down'}, 503))
    check_available(PlatformResponse(503, b'upstream'))
    with pytest.raises(PlatformGarbledError):
        check_stored(PlatformResponse(200 + 300, b''))
