"""Tests of numbers in headers.

They guard against an internal error for a number that is too long, and against
a limit that refuses proper numbers.
"""

import pytest

from bluebellslip._internal.calls.headers import DEPTH, read_number
from bluebellslip._internal.exceptions import MalformedError


@pytest.mark.parametrize('text', [b'9' * 5000, b'1' * 21, b'', b'-1', b'1x'])
def test_long_or_invalid_number_is_an_internal_error(text: bytes) -> None:
    with pytest.raises(MalformedError) as raised:
        read_number({DEPTH: text}, DEPTH)
    assert len(raised.value.context['found']) <= 40


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        (b'0', 0),
        (b'007', 7),
        (b'0' * 5000, 0),
        (b'12'.zfill(5000), 12),
        (b'18446744073709551615', 18446744073709551615),
    ],
)
def test_proper_number_is_refused(text: bytes, number: int) -> None:
    assert read_number({DEPTH: text}, DEPTH) == number
