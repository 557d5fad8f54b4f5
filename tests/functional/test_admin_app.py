"""Tests of the administration API, called without a socket.

They guard against tokens that act beyond their scopes, against refused calls
that are not audited or fill the audit table, and against invalid input that
reaches the acceptor or the moves service.
"""

import datetime as dt

import msgspec
import pytest

from bluebellslip._internal.exceptions import ConflictError
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.services import (
    Acceptor,
    AuditTrail,
    Membership,
    Moves,
    MoveStatus,
)
from bluebellslip._internal.models.facts import MoveState
from bluebellslip._internal.models.identity import (
    MoveId,
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.rows import AuditOutcome
from lib.admin_fakes import (
    OPERATOR_TOKEN,
    PRINT_TEAM_TOKEN,
    READER_TOKEN,
    SERVER_TOKEN,
    AdminAppClient,
    FakeAcceptor,
    FakeAuditTrail,
    FakeMembership,
    FakeMoves,
    make_context,
)
from lib.snapshots import make_document, make_snapshot

pytestmark = pytest.mark.anyio
_MOVE = {
    'new': 'v2',
    'deadline': '2026-01-01T17:00:00+00:00',
    'request': 'request-1',
}


class _AdminHarness:
    """The administration API of one node, with fakes behind it."""

    def __init__(self) -> None:
        self.context: Context = make_context()
        self.trail = FakeAuditTrail()
        self.acceptor = FakeAcceptor()
        self.membership = FakeMembership()
        self.moves = FakeMoves(
            MoveStatus(
                service=ServiceName('orders'),
                move=MoveId('m1'),
                state=MoveState.MOVING,
                old=VersionName('v1'),
                new=VersionName('v2'),
                share=500,
                stopped=False,
                deadline=dt.datetime(2026, 1, 1, 17, tzinfo=dt.UTC),
                forecast=None,
                steward=NodeId('orders-1'),
                reason='',
                evidence=(),
            )
        )
        ports = self.context.ports
        ports.provide(AuditTrail, self.trail)
        ports.provide(Acceptor, self.acceptor)
        ports.provide(Moves, self.moves)
        ports.provide(Membership, self.membership)
        self.context.applied.apply(make_snapshot(1))
        self.admin = AdminAppClient(self.context)


@pytest.fixture
def harness() -> _AdminHarness:
    return _AdminHarness()


def _change(**fields: object) -> dict[str, object]:
    document = msgspec.to_builtins(make_document())
    return {'change': 'change-1', 'document': {**document, **fields}}


async def test_wrong_token_is_refused_and_audited(
    harness: _AdminHarness,
) -> None:
    response = await harness.admin.call('GET', '/v1/status', token='guess')
    assert response.status == 401
    assert response.body['kind'] == 'unauthenticated'
    assert [row.outcome for row in harness.trail.rows] == [AuditOutcome.REFUSED]
    assert harness.trail.rows[0].who == 'unauthenticated'
    assert 'guess' not in str(harness.trail.rows)


async def test_audit_rows_for_wrong_tokens_are_rate_limited(
    harness: _AdminHarness,
) -> None:
    """A flood of wrong tokens does not fill the audit table."""
    for _ in range(200):
        await harness.admin.call('PUT', '/v1/config', token='guess')
    assert len(harness.trail.rows) == 5
    clock = harness.context.clock
    assert isinstance(clock, ManualClock)
    clock.advance(dt.timedelta(seconds=10))
    await harness.admin.call('PUT', '/v1/config', token='guess')
    assert harness.trail.rows[-1].detail.startswith('195 more refused before')


@pytest.mark.parametrize(
    ('method', 'target', 'token'),
    [
        ('PUT', '/v1/config', READER_TOKEN),
        ('PUT', '/v1/moves/orders', READER_TOKEN),
        ('DELETE', '/v1/moves/orders', READER_TOKEN),
        ('PUT', '/v1/backend', OPERATOR_TOKEN),
        ('GET', '/v1/status', SERVER_TOKEN),
        ('PUT', '/v1/moves/storefront', PRINT_TEAM_TOKEN),
    ],
)
async def test_token_without_the_scope_is_refused_and_audited(
    harness: _AdminHarness, method: str, target: str, token: str
) -> None:
    response = await harness.admin.call(method, target, token, _MOVE)
    assert response.status == 403
    assert harness.trail.rows[-1].outcome is AuditOutcome.REFUSED
    assert harness.trail.rows[-1].detail.startswith('forbidden')
    assert not harness.acceptor.requests
    assert not harness.moves.requests


async def test_change_is_submitted_under_the_name_of_the_token_holder(
    harness: _AdminHarness,
) -> None:
    response = await harness.admin.call('PUT', '/v1/config', body=_change())
    assert response.body == {
        'revision': 2,
        'digest': 'd2',
        'replayed': False,
        'rebased': False,
    }
    assert harness.acceptor.requests[0].who == 'operator'
    assert not harness.trail.rows, 'the acceptor audits accepted changes'


async def test_configuration_of_another_mesh_is_refused(
    harness: _AdminHarness,
) -> None:
    body = _change(mesh='tawhiri')
    response = await harness.admin.call('PUT', '/v1/config', body=body)
    assert (response.status, response.body['kind']) == (422, 'bad-value')
    assert not harness.acceptor.requests


async def test_team_may_change_its_own_routes_only(
    harness: _AdminHarness,
) -> None:
    routes = msgspec.to_builtins(make_document().routes)
    own_route = {**routes[1], 'path': '/payments'}
    other_route = {**routes[0], 'path': '/suites'}
    for changed, status in ((own_route, 200), (other_route, 403)):
        kept = [route for route in routes if route['name'] != changed['name']]
        response = await harness.admin.call(
            'PUT',
            '/v1/config',
            PRINT_TEAM_TOKEN,
            _change(routes=[*kept, changed]),
        )
        assert response.status == status
    assert len(harness.acceptor.requests) == 1
    assert harness.acceptor.requests[0].base == 1


async def test_team_may_not_change_shared_settings(
    harness: _AdminHarness,
) -> None:
    response = await harness.admin.call(
        'PUT', '/v1/config', PRINT_TEAM_TOKEN, _change(preference='deadline')
    )
    assert response.status == 403
    assert response.body['context']['path'] == '$.preference'


async def test_team_may_not_take_over_a_service(harness: _AdminHarness) -> None:
    services = msgspec.to_builtins(make_document().services)
    taken = [{**service, 'team': 'print'} for service in services]
    response = await harness.admin.call(
        'PUT', '/v1/config', PRINT_TEAM_TOKEN, _change(services=taken)
    )
    assert response.status == 403


async def test_team_change_of_an_older_revision_is_a_conflict(
    harness: _AdminHarness,
) -> None:
    body = {**_change(preference='deadline'), 'base': 0}
    response = await harness.admin.call(
        'PUT', '/v1/config', PRINT_TEAM_TOKEN, body
    )
    assert response.status == 409


async def test_refused_move_is_audited(harness: _AdminHarness) -> None:
    started = await harness.admin.call(
        'PUT', '/v1/moves/orders', PRINT_TEAM_TOKEN, _MOVE
    )
    assert started.body['share'] == pytest.approx(0.05)
    harness.moves.error = ConflictError('A move is under way.')
    refused = await harness.admin.call('PUT', '/v1/moves/orders', body=_MOVE)
    assert refused.status == 409
    assert [
        (row.who, row.action, row.subject, row.outcome)
        for row in harness.trail.rows
    ] == [('operator', 'move', 'orders', AuditOutcome.REFUSED)], (
        'the moves service audits the started move'
    )


@pytest.mark.parametrize(
    ('target', 'body', 'kind'),
    [
        ('/v1/config', b'{"change": ', 'malformed'),
        ('/v1/config', b'[]', 'wrong-type'),
        ('/v1/config', b'{"x":1,"x":2}', 'duplicate-key'),
        ('/v1/config', b'\xff', 'malformed'),
        ('/v1/config', b'{}'.rjust((1 << 20) + 1), 'too-large'),
        ('/v1/moves/orders', {**_MOVE, 'by': 'now'}, 'unknown-key'),
        ('/v1/moves/orders', {**_MOVE, 'deadline': 'noon'}, 'bad-value'),
        ('/v1/moves/nothing', _MOVE, 'not-found'),
    ],
)
async def test_invalid_body_is_refused_and_audited(
    harness: _AdminHarness, target: str, body: bytes, kind: str
) -> None:
    response = await harness.admin.call('PUT', target, body=body)
    assert response.body['kind'] == kind
    assert response.headers['bluebell-not-run'] == '1'
    assert harness.trail.rows[-1].outcome is AuditOutcome.REFUSED
    assert not harness.acceptor.requests
    assert not harness.moves.requests


async def test_announcement_is_passed_to_the_membership(
    harness: _AdminHarness,
) -> None:
    body = {
        'service': 'orders',
        'version': 'v1',
        'address': '127.0.0.1:8000',
        'slots': 12,
        'connections': 120,
    }
    response = await harness.admin.call(
        'PUT', '/v1/backend', SERVER_TOKEN, body
    )
    assert response.status == 200
    assert str(harness.membership.announced[0].address) == '127.0.0.1:8000'
    assert not harness.trail.rows, 'announcements are not operator changes'


async def test_node_without_plugins_responds_not_ready() -> None:
    admin = AdminAppClient(make_context())
    for method, target in (
        ('GET', '/v1/config'),
        ('GET', '/v1/moves'),
        ('GET', '/v1/audit'),
        ('GET', '/v1/metrics'),
        ('PUT', '/v1/moves/orders'),
    ):
        response = await admin.call(method, target, body=_MOVE)
        assert (response.status, response.body['kind']) == (503, 'not-ready')
    status = await admin.call('GET', '/v1/status')
    assert status.body['ready'] is False
    assert status.body['platform']['reachable'] is False


async def test_audit_rows_lost_to_an_outage_are_counted(
    harness: _AdminHarness,
) -> None:
    harness.trail.reachable = False
    await harness.admin.call('PUT', '/v1/moves/orders', READER_TOKEN, _MOVE)
    counters = harness.context.counters
    assert isinstance(counters, InMemoryCounters)
    assert counters.sums['admin_audit_lost'] == 1


async def test_client_that_does_not_read_times_out(
    harness: _AdminHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    app = 'bluebellslip._internal.admin.app'
    monkeypatch.setattr(f'{app}.CALL_TIMEOUT_SECONDS', 0.01)
    await harness.admin.call('GET', '/v1/nodes', read_response=False)
    counters = harness.context.counters
    assert isinstance(counters, InMemoryCounters)
    assert counters.sums['admin_calls_given_up'] == 1


async def test_health_needs_no_token(harness: _AdminHarness) -> None:
    response = await harness.admin.call('GET', '/v1/health', token=None)
    assert response.body == {'ready': True, 'revision': 1, 'draining': False}


async def test_unknown_route_is_not_found(harness: _AdminHarness) -> None:
    response = await harness.admin.call('GET', '/v1/weights')
    assert response.status == 404
    assert 'GET /v1/status' in response.body['hint']
