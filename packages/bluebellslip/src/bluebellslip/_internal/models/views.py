"""JSON views of the mesh in the administration API."""

import datetime as dt

import msgspec

from bluebellslip._internal.models.rows import AuditRow


class EvidenceBody(msgspec.Struct, frozen=True):
    """Calls of one route under both versions; latencies in milliseconds."""

    route: str
    old_calls: int
    old_failures: int
    new_calls: int
    new_failures: int
    old_p50_ms: float
    new_p50_ms: float
    old_p99_ms: float
    new_p99_ms: float


class MoveView(msgspec.Struct, frozen=True):
    """A move; ``share`` is the new version's share of the calls, 0 to 1."""

    service: str
    move: str
    state: str
    old: str
    new: str
    share: float
    stopped: bool
    deadline: dt.datetime
    forecast: dt.datetime | None
    steward: str
    reason: str
    evidence: tuple[EvidenceBody, ...] = ()


class NodeView(msgspec.Struct, frozen=True):
    """A node and the backend server beside it."""

    node: str
    status: str
    region: str
    failure_domain: str
    peer: str
    applied: int
    service: str = ''
    version: str = ''
    backend: str = ''


class PlatformView(msgspec.Struct, frozen=True):
    """Whether the platform's table responded, and its head revision."""

    reachable: bool
    head: int = 0
    detail: str = ''


class StatusBody(msgspec.Struct, frozen=True):
    """The mesh as the responding node sees it.

    ``holders`` counts the nodes at each revision. ``known_head`` is the newest
    revision that the responding node knows to be accepted.
    """

    node: str
    mesh: str
    revision: int
    ready: bool
    known_head: int
    holders: dict[str, int]
    moves: tuple[MoveView, ...]
    draining: tuple[NodeView, ...]
    platform: PlatformView


class MovesBody(msgspec.Struct, frozen=True):
    """The newest move of every service that ever had one."""

    moves: tuple[MoveView, ...]


class NodesBody(msgspec.Struct, frozen=True):
    """All members that the responding node knows of."""

    nodes: tuple[NodeView, ...]


class AuditBody(msgspec.Struct, frozen=True):
    """The newest audited actions, newest first."""

    rows: tuple[AuditRow, ...]


class HealthBody(msgspec.Struct, frozen=True):
    """Whether the node is ready to serve."""

    ready: bool
    revision: int
    draining: bool = False
