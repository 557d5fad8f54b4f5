"""Faults that the platform's stand-ins bring about on demand."""

from typing import Annotated

import msgspec

_MAX_DELAY_MS = 3_600_000


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What goes wrong from now on.

    ``down`` refuses everything, ``delay_ms`` holds each request back before
    it takes effect, ``lose_answers`` is the share of requests that take
    effect and get no answer, ``lose_writes`` does so to every write,
    ``garble`` makes every answer nonsense.
    """

    down: bool = False
    delay_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_DELAY_MS)] = 0
    lose_answers: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0
    garble: bool = False
    lose_writes: bool = False
