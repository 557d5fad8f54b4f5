"""Builds response bodies from the node's state."""

import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.services import MoveStatus, RouteEvidence
from bluebellslip._internal.models.facts import FULL_SHARE, MemberFact
from bluebellslip._internal.models.views import EvidenceBody, MoveView, NodeView

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_DECIMALS: Final = 3


def make_move_view(status: MoveStatus) -> MoveView:
    """Return the response body for a move."""
    return MoveView(
        service=status.service,
        move=status.move,
        state=status.state.name.lower(),
        old=status.old,
        new=status.new,
        share=status.share / FULL_SHARE,
        stopped=status.stopped,
        deadline=status.deadline,
        forecast=status.forecast,
        steward=status.steward,
        reason=status.reason,
        evidence=tuple(map(_make_evidence_body, status.evidence)),
    )


def make_node_view(member: MemberFact) -> NodeView:
    """Return the response body for a member."""
    backend = member.backend
    return NodeView(
        node=member.node,
        status=member.status.name.lower(),
        region=member.locality.region,
        failure_domain=member.locality.failure_domain,
        peer=str(member.peer),
        applied=member.applied,
        service='' if backend is None else backend.service,
        version='' if backend is None else backend.version,
        backend='' if backend is None else str(backend.address),
    )


def _make_evidence_body(evidence: RouteEvidence) -> EvidenceBody:
    return EvidenceBody(
        route=evidence.route,
        old_calls=evidence.old_calls,
        old_failures=evidence.old_failures,
        new_calls=evidence.new_calls,
        new_failures=evidence.new_failures,
        old_p50_ms=_to_milliseconds(evidence.old_p50),
        new_p50_ms=_to_milliseconds(evidence.new_p50),
        old_p99_ms=_to_milliseconds(evidence.old_p99),
        new_p99_ms=_to_milliseconds(evidence.new_p99),
    )


def _to_milliseconds(duration: dt.timedelta) -> float:
    return round(duration / _MILLISECOND, _DECIMALS)
