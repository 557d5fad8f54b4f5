"""Deadlines and days as operators write them."""

import datetime as dt

from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.utils.durations import parse_duration


def parse_deadline(text: str, now: dt.datetime) -> dt.datetime:
    """Return the deadline that a duration, a time or a date and time mean.

    Parameters
    ----------
    text
        A duration from now (``30m``), a time of day (``17:00``, the next
        one) or a date and time of ISO 8601. Without a zone the machine's own
        is meant.
    now
        The present, aware.

    Raises
    ------
    MalformedError
        When the text is none of these.
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
    """Return a date and time; without a zone the machine's own is meant.

    Raises
    ------
    MalformedError
        When the text is no date and time of ISO 8601.
    """
    try:
        return dt.datetime.fromisoformat(text).astimezone(dt.UTC)
    except (ValueError, OverflowError) as error:
        raise MalformedError(
            'A time can not be read.',
            context={'found': text},
            hint='Write 30m, 17:00, 2026-05-01T17:00 or with +12:00 after it.',
        ) from error


def _parse_time_of_day(text: str) -> dt.time | None:
    try:
        return dt.time.fromisoformat(text)
    except ValueError:
        return None
