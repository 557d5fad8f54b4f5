"""Parsing of deadlines: durations, times of day, and dates with times.

Guards against a time of day that is taken for one in the past, and against
time zones that are ignored.
"""

import datetime as dt

import pytest

from bluebellslip._internal.cli.times import parse_deadline
from bluebellslip._internal.exceptions import MalformedError

_NOON = dt.datetime(2026, 1, 1, 12, tzinfo=dt.UTC)


@pytest.mark.parametrize(
    ('text', 'expected'),
    [
        ('90s', '2026-01-01T12:01:30'),
        ('17:00+00:00', '2026-01-01T17:00:00'),
        ('11:00+00:00', '2026-01-02T11:00:00'),
        ('08:00+13:00', '2026-01-01T19:00:00'),
        ('2026-05-01T17:00+12:00', '2026-05-01T05:00:00'),
    ],
)
def test_deadline(text: str, expected: str) -> None:
    wanted = dt.datetime.fromisoformat(expected).replace(tzinfo=dt.UTC)
    assert parse_deadline(text, _NOON) == wanted


@pytest.mark.parametrize(
    'text', ['', 'soon', '25:00', '-5m', '1.5h', '9999999h', '2026-13-01']
)
def test_invalid_deadline_is_refused(text: str) -> None:
    with pytest.raises(MalformedError):
        parse_deadline(text, _NOON)
