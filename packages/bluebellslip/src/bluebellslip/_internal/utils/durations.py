"""Durations as text."""

import datetime as dt
import re
from types import MappingProxyType
from typing import Final

from bluebellslip._internal.exceptions import MalformedError

_PATTERN: Final = re.compile(r'([0-9]{1,6})(ms|s|m|h)')
_UNITS: Final = MappingProxyType({
    'ms': dt.timedelta(milliseconds=1),
    's': dt.timedelta(seconds=1),
    'm': dt.timedelta(minutes=1),
    'h': dt.timedelta(hours=1),
})


def parse_duration(text: str) -> dt.timedelta:
    """Parse a duration, such as ``250ms``, ``2s``, ``5m`` or ``1h``.

    Raises
    ------
    MalformedError
        When the text is not a whole number of 1 to 6 digits followed by ms,
        s, m or h.
    """
    match = _PATTERN.fullmatch(text)
    if match is None:
        raise MalformedError(
            'A duration must be a whole number of 1 to 6 digits and a unit.',
            context={'found': text},
            hint='Write for example 250ms, 2s, 5m or 1h.',
        )
    return int(match[1]) * _UNITS[match[2]]
