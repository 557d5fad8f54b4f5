"""Classes of calls that the load generator sends, and their arrivals."""

from collections.abc import Iterator
from random import Random
from typing import Annotated

import msgspec

_Rate = Annotated[float, msgspec.Meta(ge=0, le=2000)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class CallClass(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A class of calls that the load generator sends.

    ``rate`` is in calls per second over all callers. ``once`` gives each
    call an idempotency key; ``doubled`` is the share of those calls that are
    sent twice concurrently, each copy through a random node. A call is retried
    while it is known not to have run, up to ``attempts`` requests in total.
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
    """A call planned ``at`` seconds after the start of the load.

    ``kind`` is its class, and ``number`` numbers the calls of the class from 0.
    """

    at: float
    kind: CallClass
    number: int


def generate_arrivals(
    call_class: CallClass, random_source: Random
) -> Iterator[Arrival]:
    """Yield the arrivals of a Poisson process, independent of responses."""
    at, number = float(0), 0
    while call_class.rate > 0:
        at += random_source.expovariate(call_class.rate)
        yield Arrival(at, call_class, number)
        number += 1
