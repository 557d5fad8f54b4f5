"""The lab's caller recognises complete responses to its own calls.

Otherwise the lab would count a call as served although its response was
truncated or belongs to another call.
"""

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


def test_response_to_an_earlier_attempt_belongs_to_the_call() -> None:
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
def test_foreign_and_truncated_responses_do_not_belong_to_the_call(
    content: bytes, body: bytes
) -> None:
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
def test_outcome_reported_to_a_caller(
    status: int, headers: dict[bytes, bytes], told: ReportedOutcome
) -> None:
    response = HttpResponse(status, headers, _echo())
    assert interpret_response(response, 'call-1/a0', '', _BODY).outcome is told
