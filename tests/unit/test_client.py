"""Failover of the command line's client between nodes.

Every node gets the same change id. Otherwise a change whose response was lost
could be accepted a second time at the next node.
"""

import msgspec
import pytest

from bluebellslip._internal.cli.transport import (
    AdminRequest,
    AdminResponse,
    ResponseLostError,
)
from bluebellslip._internal.exceptions import (
    BluebellError,
    ConflictError,
    ErrorKind,
    NodeUnreachableError,
    OutcomeUnknownError,
)
from bluebellslip._internal.models.admin import (
    AppliedBody,
    ApplyBody,
    ErrorBody,
)
from bluebellslip._internal.models.views import HealthBody
from lib.admin_fakes import FakeTransport, make_admin_response, make_client
from lib.snapshots import make_document

_APPLIED = AppliedBody(revision=3, digest='d3')


def _apply(transport: FakeTransport, *nodes: str) -> AppliedBody:
    body = ApplyBody(change='change-1', document=make_document())
    client = make_client(transport, *nodes)
    return client.call('PUT', '/v1/config', AppliedBody, body)


def test_next_node_is_tried_with_the_same_change_id() -> None:
    def respond(request: AdminRequest) -> AdminResponse:
        if request.node == 'n1:1':
            raise ResponseLostError('The response was lost.')
        return make_admin_response(_APPLIED)

    transport = FakeTransport(respond)
    assert _apply(transport, 'n1:1', 'n2:1') == _APPLIED
    assert [sent.node for sent in transport.sent] == ['n1:1', 'n2:1']
    ids = {msgspec.json.decode(sent.body)['change'] for sent in transport.sent}
    assert ids == {'change-1'}


def test_lost_response_from_every_node_is_an_unknown_outcome() -> None:
    def respond(request: AdminRequest) -> AdminResponse:
        raise ResponseLostError('The response was lost.')

    with pytest.raises(OutcomeUnknownError):
        _apply(FakeTransport(respond), 'n1:1')


def test_unreachable_nodes_are_retried_and_reported() -> None:
    def respond(request: AdminRequest) -> AdminResponse:
        raise NodeUnreachableError('Connection refused.')

    pauses: list[float] = []
    transport = FakeTransport(respond)
    client = make_client(transport, 'n1:1', 'n2:1', pauses=pauses)
    with pytest.raises(NodeUnreachableError):
        client.get('/v1/health', HealthBody)
    assert len(transport.sent) == 6
    assert len(pauses) == 2


def test_permanent_refusal_is_not_retried_at_another_node() -> None:
    refusal = ErrorBody(kind='conflict', message='Revision 4 came first.')
    transport = FakeTransport(lambda request: make_admin_response(refusal, 409))
    with pytest.raises(ConflictError, match=r'Revision 4 came first\.'):
        _apply(transport, 'n1:1', 'n2:1')
    assert len(transport.sent) == 1


@pytest.mark.parametrize(
    'reply',
    [
        AdminResponse(200, b'<html>'),
        AdminResponse(200, b'{"revision": "three"}'),
        AdminResponse(404, b'not here'),
        AdminResponse(500, b'{"kind": "made-up", "message": ""}'),
    ],
)
def test_garbled_response_is_one_clear_error(reply: AdminResponse) -> None:
    with pytest.raises(BluebellError) as caught:
        _apply(FakeTransport(lambda request: reply), 'n1:1')
    assert caught.value.kind is ErrorKind.INTERNAL
    assert caught.value.context['node'] == 'n1:1'
