"""Configuration as operators declare it: the border's validated form.

Operators state targets and deadlines per class of work. Durations are
written as a number and a unit, such as ``250ms``, ``2s`` or ``5m``.
"""

import enum
from typing import Annotated, Final

import msgspec

NAME_PATTERN: Final = r'^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?\Z'
DURATION_PATTERN: Final = r'^[0-9]{1,6}(ms|s|m|h)\Z'
PATH_PATTERN: Final = '^/'
METHOD_PATTERN: Final = r'^([A-Z]{3,8}|[*])\Z'

Name = Annotated[str, msgspec.Meta(pattern=NAME_PATTERN)]
DurationText = Annotated[str, msgspec.Meta(pattern=DURATION_PATTERN)]
PathPrefix = Annotated[str, msgspec.Meta(pattern=PATH_PATTERN, max_length=1024)]
Method = Annotated[str, msgspec.Meta(pattern=METHOD_PATTERN)]
Share = Annotated[float, msgspec.Meta(gt=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=100_000)]


@enum.unique
class Preference(enum.StrEnum):
    """What wins when safety and a move's deadline disagree."""

    SAFETY = 'safety'
    DEADLINE = 'deadline'


@enum.unique
class ExecutionSemantics(enum.StrEnum):
    """How often a request of a class may run."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


class _Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of declared parts: unknown keys are errors."""


class TargetSpec(_Declared, frozen=True):
    """What clients of a class of work are promised.

    ``latency`` holds for ``fraction`` of the calls; ``success`` is the share
    of calls that must not fail.
    """

    latency: DurationText
    fraction: Share = 0.99
    success: Share = 0.999


class ClassSpec(_Declared, frozen=True):
    """A class of work. The smaller the ``priority``, the sooner it runs."""

    name: Name
    target: TargetSpec
    timeout: DurationText
    runs: ExecutionSemantics = ExecutionSemantics.IDEMPOTENT
    priority: Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    max_body_bytes: Annotated[int, msgspec.Meta(ge=0)] = 1 << 20


class ServiceSpec(_Declared, frozen=True):
    """A service and the team that owns it."""

    name: Name
    team: Name


class RouteSpec(_Declared, frozen=True):
    """Calls that begin with a path, their service and their class."""

    name: Name
    service: Name
    path: PathPrefix
    work: Name
    method: Method = '*'


class ConfigDocument(_Declared, frozen=True):
    """A mesh's whole declared configuration."""

    mesh: Name
    preference: Preference
    classes: tuple[ClassSpec, ...]
    services: tuple[ServiceSpec, ...]
    routes: tuple[RouteSpec, ...]


class SnapshotRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A revision as it is stored: the body of one immutable object."""

    revision: int
    previous: str
    document: ConfigDocument
