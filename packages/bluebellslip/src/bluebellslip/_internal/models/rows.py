"""Rows of the platform's table, and their keys.

Bodies are encoded in MessagePack; those of moves and claims are defined in
``models.move_rows`` and ``claims.rows``, all others below. A row's version
increases by one with every write, so it serves as the fencing token of the
row's content.
"""

import datetime as dt
import enum
from typing import Final

import msgspec

from bluebellslip._internal.models.identity import (
    Address,
    MoveId,
    NodeId,
    ServiceName,
)

HEAD_KEY: Final = 'head'

_FAR_FUTURE_MS: Final = 10**14
_MS_PER_SECOND: Final = 1000


@enum.unique
class AuditOutcome(enum.StrEnum):
    """Outcome of an operator's action."""

    ACCEPTED = 'accepted'
    REFUSED = 'refused'


class HeadRow(msgspec.Struct, frozen=True):
    """The newest accepted configuration."""

    revision: int
    digest: str
    change: str


class ChangeRow(msgspec.Struct, frozen=True):
    """An accepted change, kept to recognise a resubmission."""

    change: str
    revision: int
    digest: str
    request_digest: str


class AuditRow(msgspec.Struct, frozen=True):
    """Who did what, and with which outcome."""

    at: dt.datetime
    who: str
    action: str
    subject: str
    outcome: AuditOutcome
    revision: int = 0
    detail: str = ''


class SeedRow(msgspec.Struct, frozen=True):
    """A node from which others can discover the mesh."""

    node: NodeId
    peer: Address
    renewed: dt.datetime


class StepRow(msgspec.Struct, frozen=True):
    """One audited step of a move; ``share`` is in basis points."""

    at: dt.datetime
    service: ServiceName
    move: MoveId
    step: int
    share: int
    steward: NodeId
    reason: str


def build_change_key(change: str) -> str:
    """Return the key of an accepted change."""
    return f'change/{change}'


def build_audit_key(at: dt.datetime, unique: str) -> str:
    """Return an audit row's key; keys sort by time, newest first."""
    remaining = _FAR_FUTURE_MS - int(at.timestamp() * _MS_PER_SECOND)
    return f'audit/{remaining:015d}/{unique}'


def build_move_key(service: ServiceName) -> str:
    """Return the key of a service's newest move."""
    return f'move/{service}'


def build_claim_key(service: ServiceName, idempotency_key: str) -> str:
    """Return the key of a claim on at-most-once work."""
    return f'claim/{service}/{idempotency_key}'


def build_seed_key(node: NodeId) -> str:
    """Return the key of a node from which others can discover the mesh."""
    return f'seed/{node}'
