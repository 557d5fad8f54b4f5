"""A caller tells its own whole answer from others."""

import hashlib

import msgspec
import pytest

from bluebellslip_lab.backend_app import Echo
from bluebellslip_lab.caller import interpret_response, matches_request
from bluebellslip_lab.history import ReportedOutcome
from bluebellslip_lab.http_client import HttpResponse

_BODY = b'photo'
_LENGTH = len(_BODY)


def _echo(nonce: str = 'call-1/a0', received: int = _LENGTH) -> bytes:
    return msgspec.json.encode(
        Echo(
            nonce=nonce,
            service='orders',
            version='v1',
            path='/',
            sha256=hashlib.sha256(_BODY).hexdigest(),
            received=received,
        )
    )


def test_the_answer_to_an_earlier_attempt_is_the_callers_own() -> None:
    assert matches_request(_echo(), 'call-1/a0', _BODY)
    assert matches_request(_echo(), 'call-1/b3', _BODY)


@pytest.mark.parametrize(
    ('content', 'body'),
    [
        (_echo(nonce='call-2/a0'), _BODY),
        (_echo(received=4), _BODY),
        (_echo(), b'other'),
        (_echo()[:-1], _BODY),
        (b'', _BODY),
    ],
)
def test_foreign_and_short_answers_are_not(content: bytes, body: bytes) -> None:
    assert not matches_request(content, 'call-1/a0', body)


@pytest.mark.parametrize(
    ('status', 'headers', 'told'),
    [
        (200, {}, ReportedOutcome.DONE),
        (
            503,
            {b'bluebell-not-run': b'1', b'retry-after': b'1'},
            ReportedOutcome.NOT_DONE,
        ),
        (503, {}, ReportedOutcome.UNKNOWN),
        (500, {}, ReportedOutcome.UNKNOWN),
    ],
)
def test_what_a_caller_is_told(
    status: int, headers: dict[bytes, bytes], told: ReportedOutcome
) -> None:
    answer = HttpResponse(status, headers, _echo())
    assert interpret_response(answer, 'call-1/a0', '', _BODY).outcome is told
