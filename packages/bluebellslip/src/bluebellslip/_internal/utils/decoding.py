"""Bounds and errors of what is decoded from outside the process.

Handles input that another program wrote, or that was damaged on the way: each
value that a model accepts can also be computed with and sent on.
"""

import datetime as dt
from typing import Annotated, Final

import msgspec

# All errors with which a decoder refuses its input. Nested input ends in a
# RecursionError, and numbers out of range in an OverflowError.
DECODING_ERRORS: Final = (
    msgspec.MsgspecError,
    RecursionError,
    OverflowError,
    LookupError,
    ValueError,
)

# The greatest integer that all JSON libraries represent exactly.
MAX_COUNT: Final = 2**53 - 1
# Longer than any duration that operators state or nodes report.
MAX_DURATION: Final = dt.timedelta(days=3650)
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_MAX_SECONDS: Final = MAX_DURATION.total_seconds()
_MAX_MILLISECONDS: Final = MAX_DURATION / _MILLISECOND
# Greatest weight of a service in a route, and greatest rate a second.
MAX_WEIGHT: Final = 1e9

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Integer = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Name = Annotated[str, msgspec.Meta(min_length=1)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_SECONDS)]
WholeSeconds = Annotated[int, msgspec.Meta(ge=0, le=int(_MAX_SECONDS))]
Milliseconds = Annotated[
    int, msgspec.Meta(ge=0, le=MAX_DURATION // _MILLISECOND)
]
FractionalMilliseconds = Annotated[
    float, msgspec.Meta(ge=0, le=_MAX_MILLISECONDS)
]
SignedMilliseconds = Annotated[
    float, msgspec.Meta(ge=-_MAX_MILLISECONDS, le=_MAX_MILLISECONDS)
]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=MAX_WEIGHT)]
