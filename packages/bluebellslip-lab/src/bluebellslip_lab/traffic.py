"""Classes of calls that a load generator sends, and when."""

from collections.abc import Iterator
from random import Random
from typing import Annotated

import msgspec

_Rate = Annotated[float, msgspec.Meta(ge=0, le=2000)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class CallClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls of one kind.

    ``rate`` is in calls a second over all callers. ``once`` gives each call
    an idempotency key; ``doubled`` is the share of those that are sent
    through two nodes at once. ``attempts`` bounds how often a caller comes
    back after being told that its call did not run.
    """

    name: str
    service: str
    path: str
    rate: _Rate
    method: str = 'GET'
    body_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 25)] = 0
    once: bool = False
    doubled: _Fraction = 0
    timeout_ms: Annotated[int, msgspec.Meta(ge=1)] = 5000
    attempts: Annotated[int, msgspec.Meta(ge=1, le=20)] = 4


class Arrival(msgspec.Struct, frozen=True):
    """A call that is due ``at`` seconds after the start."""

    at: float
    kind: CallClass
    number: int


def generate_arrivals(
    call_class: CallClass, random_source: Random
) -> Iterator[Arrival]:
    """Yield arrivals without end, at random and independent of answers."""
    at, number = float(0), 0
    while call_class.rate > 0:
        at += random_source.expovariate(call_class.rate)
        yield Arrival(at, call_class, number)
        number += 1
