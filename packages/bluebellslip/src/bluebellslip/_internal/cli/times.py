"""Parses deadlines and dates given on the command line."""

import datetime as dt

from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.utils.durations import parse_duration


def parse_deadline(text: str, now: dt.datetime) -> dt.datetime:
    """Parse a deadline given as a duration, a time of day, or a date and time.

    Parameters
    ----------
    text
        A duration from now (``30m``), the next occurrence of a time of day
        (``17:00``), or a date and time in ISO 8601. The local time zone is
        the default.
    now
        The current time, with a time zone.

    Raises
    ------
    MalformedError
        If the text is none of these.
    """
    try:
        return now + parse_duration(text)
    except MalformedError:
        time_of_day = _parse_time_of_day(text)
    if time_of_day is None:
        return parse_datetime(text)
    today = now.astimezone(time_of_day.tzinfo)
    candidate = dt.datetime.combine(today.date(), time_of_day)
    deadline = candidate.astimezone(dt.UTC)
    return deadline if deadline > now else deadline + dt.timedelta(days=1)


def parse_datetime(text: str) -> dt.datetime:
    """Parse a date and time; the local time zone is the default.

    Raises
    ------
    MalformedError
        If the text is not a date and time in ISO 8601.
    """
    try:
        return dt.datetime.fromisoformat(text).astimezone(dt.UTC)
    except (ValueError, OverflowError) as error:
        raise MalformedError(
            'The time is invalid.',
            context={'found': text},
            hint=(
                'Use a date and time such as 2026-05-01T17:00+12:00 (offset '
                'optional). A deadline can also be 30m or 17:00.'
            ),
        ) from error


def _parse_time_of_day(text: str) -> dt.time | None:
    try:
        return dt.time.fromisoformat(text)
    except ValueError:
        return None
