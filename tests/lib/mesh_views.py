"""Response bodies of the administration API, for tests of commands."""

import datetime as dt

import msgspec

from bluebellslip._internal.models.rows import AuditOutcome, AuditRow
from bluebellslip._internal.models.views import (
    EvidenceBody,
    MoveView,
    NodeView,
    PlatformView,
    StatusBody,
)

NOON = dt.datetime(2026, 1, 1, 12, tzinfo=dt.UTC)
MINUTE = dt.timedelta(minutes=1)


def make_move(**fields: object) -> MoveView:
    """Return a move in progress, with a deadline 30 minutes after noon."""
    move = MoveView(
        service='orders',
        move='m1',
        state='moving',
        old='v1',
        new='v2',
        share=0.25,
        stopped=False,
        deadline=NOON + 30 * MINUTE,
        forecast=NOON + 20 * MINUTE,
        steward='orders-1',
        reason='evidence for the next step suffices',
        evidence=(
            EvidenceBody('deposits', 900, 1, 300, 0, 12.5, 12, 48, 47.25),
            EvidenceBody('stock', 0, 0, 0, 0, 0, 0, 0, 0),
        ),
    )
    return msgspec.structs.replace(move, **fields)


def make_node(name: str, failure_domain: str = 'fd-a') -> NodeView:
    """Return the view of a node beside a server of the orders service."""
    return NodeView(
        node=name,
        status='alive',
        region='scot-central',
        failure_domain=failure_domain,
        peer='127.0.0.1:7300',
        applied=7,
        service='orders',
        version='v1',
        backend='127.0.0.1:8000',
    )


def make_status(**fields: object) -> StatusBody:
    """Return the status of a mesh of five nodes.

    One has not applied the head revision, and one is draining.
    """
    status = StatusBody(
        node='orders-1',
        mesh='thistle-quill',
        revision=7,
        ready=True,
        known_head=7,
        holders={'6': 1, '7': 4},
        moves=(make_move(),),
        draining=(make_node('orders-3'),),
        platform=PlatformView(reachable=True, head=7),
    )
    return msgspec.structs.replace(status, **fields)


def make_audit_row(action: str, minute: int, **fields: object) -> AuditRow:
    """Return an audit row ``minute`` minutes after noon."""
    row = AuditRow(
        at=NOON + minute * MINUTE,
        who='ana',
        action=action,
        subject='change-1',
        outcome=AuditOutcome.ACCEPTED,
        revision=7,
    )
    return msgspec.structs.replace(row, **fields)


def make_audit_rows() -> list[AuditRow]:
    """Return audit rows of two days, newest first."""
    move = {'subject': 'orders/m1', 'revision': 3}
    return [
        make_audit_row(
            'apply',
            50,
            who='unauthenticated',
            subject='/v1/config',
            outcome=AuditOutcome.REFUSED,
            detail='unauthenticated: The token is unknown.',
        ),
        make_audit_row(
            'move.withdrawn',
            40,
            who='orders-2',
            detail='v1 to v2, share 0, epoch 1: failures on deposits',
            **move,
        ),
        make_audit_row('move.step', 30, who='orders-2', **move),
        make_audit_row('move.begin', 20, detail='v1 to v2, share 0', **move),
        make_audit_row('apply', 10),
        make_audit_row('apply', -24 * 60, revision=6),
    ]
