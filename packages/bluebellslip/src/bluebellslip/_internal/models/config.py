"""Configuration as operators declare it, validated on input.

Operators state targets and timeouts per class of work. Durations are
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
    """What takes precedence when safety and a move's deadline conflict."""

    SAFETY = 'safety'
    DEADLINE = 'deadline'


@enum.unique
class ExecutionSemantics(enum.StrEnum):
    """How often a request of a class may run."""

    IDEMPOTENT = 'idempotent'
    ONCE = 'once'


class _Declared(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of declared structures: unknown keys are errors."""


class TargetSpec(_Declared, frozen=True):
    """The service-level objective of a class of work.

    ``fraction`` of the calls must take at most ``latency``; ``success`` is
    the share of calls that must not fail.
    """

    latency: DurationText
    fraction: Share = 0.99
    success: Share = 0.999


class ClassSpec(_Declared, frozen=True):
    """A class of work; lower values of ``priority`` run first."""

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
    """The class of work of a service's calls under a path prefix."""

    name: Name
    service: Name
    path: PathPrefix
    work: Name
    method: Method = '*'


class ConfigDocument(_Declared, frozen=True):
    """The whole declared configuration of a mesh."""

    mesh: Name
    preference: Preference
    classes: tuple[ClassSpec, ...]
    services: tuple[ServiceSpec, ...]
    routes: tuple[RouteSpec, ...]


class SnapshotRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A revision as it is stored: the content of one immutable object.

    ``previous`` is the digest of the previous revision's object.
    """

    revision: int
    previous: str
    document: ConfigDocument
