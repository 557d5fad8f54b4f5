"""Facts that nodes exchange; the newer of two wins on every node.

A fact is identified by its key. Of two facts with the same key, the one with
the greater rank replaces the other, in whatever order they arrive; so merging
is commutative, associative and idempotent.
"""

import datetime as dt
import enum
import sys
from typing import ClassVar, Final

import msgspec
from msgspec.structs import force_setattr

from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)

FULL_SHARE: Final = 10_000  # basis points of a service's calls


@enum.unique
class MemberStatus(enum.IntEnum):
    """Status of a member; its value is the last part of ``MemberFact.rank``."""

    ALIVE = 0
    SUSPECT = 1
    DRAINING = 2
    DEAD = 3


@enum.unique
class MoveState(enum.IntEnum):
    """State of a move; ``DONE`` and ``WITHDRAWN`` are final."""

    MOVING = 0
    DONE = 1
    WITHDRAWN = 2


class Fact(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Base class of all facts; ``urgent`` ones are gossiped without delay."""

    urgent: ClassVar[bool] = False

    @property
    def key(self) -> str:
        """Key under which newer facts replace older ones."""
        raise NotImplementedError

    @property
    def rank(self) -> tuple[int, ...]:
        """Order among facts of the same key."""
        raise NotImplementedError


class Backend(msgspec.Struct, frozen=True, array_like=True):
    """A backend server as announced to the node beside it.

    ``slots`` limits the requests that run at once, ``connections`` the
    connections that the server accepts.
    """

    service: ServiceName
    version: VersionName
    address: Address
    slots: int
    connections: int

    def __post_init__(self) -> None:
        """Intern the names, so that a service's servers share one copy."""
        force_setattr(self, 'service', sys.intern(self.service))
        force_setattr(self, 'version', sys.intern(self.version))


class MemberFact(Fact, frozen=True, tag='member', array_like=True):
    """A node, and the backend server beside it.

    ``incarnation`` starts as the Unix time of the node's start in
    milliseconds, and is increased when the node refutes a suspicion or resumes
    after a pause. ``changed`` counts the node's own changes of this fact since
    its start. ``applied`` is the revision that the node last published as in
    force.
    """

    node: NodeId
    incarnation: int
    status: MemberStatus
    changed: int
    locality: Locality
    peer: Address
    ingress: Address
    applied: int
    backend: Backend | None = None

    @property
    def key(self) -> str:
        """Key under which newer facts replace older ones."""
        return f'member/{self.node}'

    @property
    def rank(self) -> tuple[int, ...]:
        """Incarnation first, then the member's own changes, then status."""
        return (self.incarnation, self.changed, self.status)


class HeadFact(Fact, frozen=True, tag='head', array_like=True):
    """The newest accepted configuration that the sender knows of."""

    revision: int
    digest: str

    @property
    def key(self) -> str:
        """Key under which newer facts replace older ones."""
        return 'head'

    @property
    def rank(self) -> tuple[int, ...]:
        """The revision."""
        return (self.revision,)


class MoveFact(Fact, frozen=True, tag='move', array_like=True):
    """The newest committed step of a service's newest move.

    ``step`` is the version of the service's move row in the table, which
    increases with every write. ``share`` is the new version's share of the
    calls, in basis points. ``forecast`` is when the move is expected to be
    done. ``steward`` is the node that coordinates the move; ``epoch``
    increases whenever another node takes over. ``renewed`` is the time of
    the row's last write by the writing node's wall clock. ``returns`` names
    the completed move that this one reverts, if any.
    """

    service: ServiceName
    move: MoveId
    step: int
    epoch: int
    state: MoveState
    old: VersionName
    new: VersionName
    share: int
    started: dt.datetime
    deadline: dt.datetime
    steward: NodeId
    reason: str = ''
    forecast: dt.datetime | None = None
    renewed: dt.datetime | None = None
    returns: MoveId | None = None

    urgent: ClassVar[bool] = True

    @property
    def key(self) -> str:
        """Key under which newer facts replace older ones."""
        return f'move/{self.service}'

    @property
    def rank(self) -> tuple[int, ...]:
        """The row's version."""
        return (self.step,)


class StopFact(Fact, frozen=True, tag='stop', array_like=True):
    """A latch: the new version of one move gets no more work.

    It is set once and never cleared. Later moves have other IDs, so it affects
    only those that name the stopped move in ``returns``.
    """

    service: ServiceName
    move: MoveId
    version: VersionName
    set_by: NodeId
    set_at: dt.datetime
    reason: str

    urgent: ClassVar[bool] = True

    @property
    def key(self) -> str:
        """Key under which newer facts replace older ones."""
        return f'stop/{self.service}/{self.move}'

    @property
    def rank(self) -> tuple[int, ...]:
        """Constant, so that the first stop fact of a move is kept."""
        return (0,)
