"""Latency and failures of a simulated backend server."""

import dataclasses
import datetime as dt
from random import Random
from typing import Annotated, Final

import msgspec

_NonNegative = Annotated[float, msgspec.Meta(ge=0)]
_Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]

_MS: Final = dt.timedelta(milliseconds=1)


class Defect(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A defect of a version, and the conditions under which it is active.

    While it is active, ``fail_share`` of the calls fail and every call takes
    ``extra_ms`` milliseconds longer. It is active for paths that begin with
    ``path``, once the server has run for ``after_s`` seconds, while at least
    ``in_flight`` requests are in flight.
    """

    fail_share: _Fraction = 0
    extra_ms: _NonNegative = 0
    after_s: _NonNegative = 0
    in_flight: Annotated[int, msgspec.Meta(ge=0)] = 0
    path: str = '/'


class Behaviour(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Latency and defect of a server.

    A call takes ``latency_ms`` and up to ``spread_ms`` more; within the
    first ``cold_s`` seconds after the start it takes another ``cold_ms``.
    """

    latency_ms: _NonNegative = 2
    spread_ms: _NonNegative = 2
    cold_s: _NonNegative = 0
    cold_ms: _NonNegative = 0
    bad: Defect | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SimulatedOutcome:
    """Latency of one call, and whether it fails."""

    delay: dt.timedelta
    fails: bool


def simulate_call(
    behaviour: Behaviour,
    age: dt.timedelta,
    in_flight: int,
    path: str,
    random_source: Random,
) -> SimulatedOutcome:
    """Return the outcome of a call on a server that has run for ``age``."""
    delay_ms = behaviour.latency_ms
    delay_ms += behaviour.spread_ms * random_source.random()
    age_seconds = age.total_seconds()
    if age_seconds < behaviour.cold_s:
        delay_ms += behaviour.cold_ms
    defect = behaviour.bad
    if defect is None or not _is_active(defect, age_seconds, in_flight, path):
        return SimulatedOutcome(delay_ms * _MS, fails=False)
    fails = random_source.random() < defect.fail_share
    return SimulatedOutcome((delay_ms + defect.extra_ms) * _MS, fails)


def _is_active(
    defect: Defect, age_seconds: float, in_flight: int, path: str
) -> bool:
    if age_seconds < defect.after_s or in_flight < defect.in_flight:
        return False
    return path.startswith(defect.path)
