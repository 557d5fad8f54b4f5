"""Deadlines as operators write them."""

import datetime as dt

from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.utils.durations import parse_duration


def parse_deadline(
    by: str | None, within: str | None, now: dt.datetime
) -> dt.datetime:
    """Return the deadline of ``--by`` or ``--within``.

    Raises
    ------
    MalformedError
        When none or both are given, or a text is no time or duration.
    """
    if (by is None) == (within is None):
        raise MalformedError(
            'A move needs one deadline.',
            hint='Write either --within 30m or --by 2026-05-01T17:00+12:00.',
        )
    if within is not None:
        return now + parse_duration(within)
    return parse_moment(by or '')


def parse_moment(text: str) -> dt.datetime:
    """Return a time; without a zone it is this machine's local time.

    Raises
    ------
    MalformedError
        When the text is no time of ISO 8601.
    """
    try:
        return dt.datetime.fromisoformat(text).astimezone(dt.UTC)
    except (ValueError, OverflowError) as error:
        raise MalformedError(
            'A time can not be read.',
            context={'found': text},
            hint='Write for example 2026-05-01T17:00 or with +12:00 after it.',
        ) from error
