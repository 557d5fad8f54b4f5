"""Requests of client accounts through real nodes on a simulated platform.

Guards against requests that run without a known key, servers that are told
another account than the key's, and keys that reach a server, another node or a
log line.
"""

import contextlib
import logging
from collections.abc import AsyncGenerator, Sequence

import pytest

from bluebellslip._internal.calls.exchange import Exchange
from lib.simulated_platform import (
    JsonObject,
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

_KEY = 'secret-key-of-depot'
_UNKNOWN_KEY = 'secret-key-of-nobody'


def _make_document(
    revision: int, accounts: Sequence[JsonObject] | None
) -> JsonObject:
    document = make_document_json(
        revision,
        make_route_json('closed', '/closed/', 'store'),
        make_route_json('open', '/open/', 'store', allow_anonymous=True),
        make_route_json('local', '/local/', 'art'),
    )
    return document if accounts is None else document | {'tenants': accounts}


_DEPOT = {'name': 'depot', 'api_keys': [_KEY], 'priority': 0}


class _Mesh:
    """A node that gets requests, and one beside the server that runs them."""

    def __init__(self, accounts: Sequence[JsonObject] | None) -> None:
        self.store = SimulatedStore()
        self.store.put('op', 'config', _make_document(1, accounts))
        self.front = PlatformNode(
            'front', 'art', self.store, respond_signed(b'art')
        )
        self.back = PlatformNode(
            'back', 'store', self.store, respond_signed(b'store')
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['_Mesh', None]:
        async with run_nodes(self.store, [self.front, self.back]):
            yield self


@pytest.fixture
async def mesh() -> AsyncGenerator[_Mesh, None]:
    async with _Mesh([_DEPOT]).running() as running:
        yield running


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        ('/closed/1', {'api_key': _KEY}, 200),
        ('/closed/1', {}, 401),
        ('/closed/1', {'api_key': _UNKNOWN_KEY}, 401),
        ('/closed/1', {'api_key': ''}, 401),
        ('/open/1', {'api_key': _KEY}, 200),
        ('/open/1', {}, 200),
        ('/open/1', {'api_key': _UNKNOWN_KEY}, 401),
    ],
)
async def test_requests_run_only_with_a_known_key(
    mesh: _Mesh, path: str, headers: dict[str, str], status: int
) -> None:
    response = await mesh.front.call(path, **headers)

    assert response.status == status
    received = mesh.back.server.received_requests
    assert len(received) == (status == 200)


@pytest.mark.parametrize('path', ['/closed/1', '/local/1'])
async def test_server_gets_the_account_in_place_of_the_key(
    mesh: _Mesh, path: str
) -> None:
    await mesh.front.call(path, api_key=_KEY, x_tenant='forged')

    server = (mesh.back if path == '/closed/1' else mesh.front).server
    assert len(server.received_requests) == 1
    headers = server.received_requests[0].headers
    assert headers['x-tenant'] == 'depot'
    assert 'api-key' not in headers


async def test_server_gets_no_account_of_an_anonymous_request(
    mesh: _Mesh,
) -> None:
    await mesh.front.call('/open/1', x_tenant='forged')

    received = mesh.back.server.received_requests
    assert len(received) == 1
    assert 'x-tenant' not in received[0].headers


async def test_headers_pass_through_without_accounts() -> None:
    async with _Mesh(None).running() as mesh:
        response = await mesh.front.call(
            '/closed/1', api_key=_KEY, x_tenant='any'
        )
        headers = mesh.back.server.received_requests[0].headers

    assert response.status == 200
    assert (headers['api-key'], headers['x-tenant']) == (_KEY, 'any')


async def test_key_reaches_no_server_node_or_log_line(
    mesh: _Mesh,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    sent: list[str] = []
    send = Exchange.send

    async def record(
        self: Exchange, request: object, fields: object, upload: object
    ) -> object:
        sent.append(repr(fields))
        return await send(self, request, fields, upload)  # type: ignore[arg-type]

    monkeypatch.setattr(Exchange, 'send', record)
    caplog.set_level(logging.DEBUG)
    keys = (_KEY, _UNKNOWN_KEY)
    for path in ('/closed/1', '/open/1', '/local/1', '/none/1'):
        for key in keys:
            # A request id beyond the sample, and one whose trace is logged.
            for request_id in ('r1', 'r-54'):
                await mesh.front.call(path, request_id, api_key=key)
    mesh.back.server.crash()
    await mesh.front.call('/closed/1', api_key=_KEY)

    assert any("b'x-tenant', b'depot'" in fields for fields in sent)
    lines = [str(record.__dict__) for record in caplog.records]
    assert any("'account': 'depot'" in line for line in lines)
    for text in (*sent, *lines):
        assert _KEY not in text
        assert _UNKNOWN_KEY not in text


async def test_removed_key_is_refused_by_the_new_configuration(
    mesh: _Mesh,
) -> None:
    mesh.store.put(
        'op', 'config', _make_document(2, [_DEPOT | {'api_keys': ['another']}])
    )

    async def is_refused() -> bool:
        return (await mesh.front.call('/closed/1', api_key=_KEY)).status == 401

    await wait_until(is_refused)
    assert (await mesh.front.call('/closed/1', api_key='another')).status == 200


@pytest.mark.parametrize('accounts', [[], [_DEPOT | {'api_keys': []}]])
async def test_no_key_is_accepted_once_the_last_one_was_removed(
    mesh: _Mesh, accounts: list[JsonObject]
) -> None:
    """An empty list of accounts was read as "requests need no key"."""
    mesh.store.put('op', 'config', _make_document(2, accounts))
    nodes = (mesh.front, mesh.back)

    async def is_applied() -> bool:
        return {node.node._state.holder.revision for node in nodes} == {2}

    await wait_until(is_applied)
    for node in nodes:
        for headers in ({'api_key': _KEY}, {'api_key': _UNKNOWN_KEY}, {}):
            response = await node.call('/closed/1', **headers)
            assert response.status == 401
        assert (await node.call('/open/1')).status == 200
    received = mesh.back.server.received_requests
    assert len(received) == len(nodes)
