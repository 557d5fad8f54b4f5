"""Faults that the simulated platforms inject on demand."""

from typing import Annotated

import msgspec

_MAX_DELAY_MS = 3_600_000


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Faults to inject until they are replaced.

    ``down`` refuses every request, ``delay_ms`` delays each request before
    it takes effect, ``lose_answers`` is the share of requests that take
    effect but get no response, ``lose_writes`` loses the response to every
    write, and ``garble`` makes every response unreadable.
    """

    down: bool = False
    delay_ms: Annotated[int, msgspec.Meta(ge=0, le=_MAX_DELAY_MS)] = 0
    lose_answers: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0
    garble: bool = False
    lose_writes: bool = False
