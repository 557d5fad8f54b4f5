"""Headers of the mesh that a caller or a backend server sends.

Guards against a caller that gets the answer to a query between nodes, such as
the configuration with all keys, in place of a server's response.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncGenerator, Awaitable, Callable

import pytest

from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.proxy.ingress import PeerHandler
from bluebellslip._internal.proxy.peer_queries import PeerQueries
from lib.calls import Caller, ReceivedRequest
from lib.mesh_headers import find_mesh_headers
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
)

pytestmark = pytest.mark.anyio

_CONFIG = make_document_json(
    3,
    make_route_json('r-read', '/read/', 'store'),
    make_route_json('r-buy', '/buy/', 'store', kind='non_idempotent'),
)
# Strict revocation adds a query.
_BOUNDS = Bounds(strict_revoke=True, revoke=5)
_REQUESTS = (('GET', '/read/1', b''), ('POST', '/buy/1', b'[]'))
_CHUNKED_WITH_TRAILER = (
    b'POST /buy/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n'
    b'transfer-encoding: chunked\r\ntrailer: %b\r\n\r\n'
    b'2\r\n[]\r\n0\r\n%b: %b\r\n\r\n'
)


def _find_mesh_names(headers: dict[str, str]) -> list[str]:
    return [name for name in headers if name.startswith('bluebell')]


class _Mesh:
    """Nodes in two domains: one without, two beside servers of the service."""

    def __init__(self) -> None:
        self.store = SimulatedStore()
        self.store.put('op', 'config', _CONFIG)
        self.front = self._make_node('front', 'art')
        self.back = self._make_node('back', 'store')
        self.far = self._make_node('far', 'store', domain='b')

    def _make_node(
        self, name: str, service: str, domain: str = 'a'
    ) -> PlatformNode:
        return PlatformNode(
            name,
            service,
            self.store,
            respond_signed(b'own'),
            domain=domain,
            bounds=_BOUNDS,
        )

    @property
    def received(self) -> list[ReceivedRequest]:
        return [
            *self.back.server.received_requests,
            *self.far.server.received_requests,
        ]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['_Mesh', None]:
        async with run_nodes(self.store, [self.front, self.back, self.far]):
            yield self


@pytest.fixture
def queries(monkeypatch: pytest.MonkeyPatch) -> set[bytes]:
    """Collects the names of all queries that the nodes register."""
    names: set[bytes] = set()
    register = PeerQueries.register

    def record(
        self: PeerQueries,
        name: bytes,
        handler: Callable[[InboundRequest], Awaitable[None]],
    ) -> None:
        names.add(name)
        register(self, name, handler)

    monkeypatch.setattr(PeerQueries, 'register', record)
    return names


@pytest.fixture
async def mesh(queries: set[bytes]) -> AsyncGenerator[_Mesh, None]:
    async with _Mesh().running() as running:
        yield running


async def test_header_of_the_mesh_from_a_caller_has_no_effect(
    mesh: _Mesh, queries: set[bytes]
) -> None:
    headers = find_mesh_headers()
    values = sorted(name.decode() for name in queries)
    assert {'bluebell-ask', 'bluebell-work'} <= set(headers)
    assert len(values) >= 3
    faults = []
    cases = itertools.product(
        (mesh.front, mesh.back), _REQUESTS, headers, (*values, '1', '[]')
    )
    for number, (node, request, header, value) in enumerate(cases):
        method, path, body = request
        response = await node.call(
            path,
            f'r{number}',
            method=method,
            body=body,
            **{header.replace('-', '_'): value},
        )
        signature = response.headers.get('x-server-signature')
        if (response.status, response.body, signature) != (200, b'own', 's'):
            faults.append((node.name, method, header, value, response))
    assert not faults
    assert len(mesh.received) == number + 1
    for seen in mesh.received:
        assert not _find_mesh_names(seen.headers)


async def test_trailer_with_a_header_of_the_mesh_has_no_effect(
    mesh: _Mesh, queries: set[bytes]
) -> None:
    for value in queries:
        caller = await mesh.front.open_caller()
        caller.writer.write(
            _CHUNKED_WITH_TRAILER % (b'bluebell-ask', b'bluebell-ask', value)
        )
        response = await caller.receive()
        caller.close()
        assert (response.status, response.body) == (200, b'own')


async def test_header_of_the_mesh_in_a_response_has_no_effect(
    mesh: _Mesh,
) -> None:
    fields = ''.join(f'\r\n{name}: 1' for name in find_mesh_headers())

    async def respond(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        head, end, body = encode_signed_response(request, b'own').partition(
            b'\r\n\r\n'
        )
        writer.write(b''.join((head, fields.encode(), end, body)))

    mesh.back.server._handler = respond
    mesh.far.server._handler = respond
    for node in (mesh.front, mesh.back):
        for method, path, body in _REQUESTS:
            response = await node.call(path, method=method, body=body)
            assert (response.status, response.body) == (200, b'own')
            assert not _find_mesh_names(response.headers)


async def test_header_of_the_mesh_in_a_heartbeat_has_no_effect(
    mesh: _Mesh, queries: set[bytes]
) -> None:
    for value in queries:
        caller = await Caller.open(Address.from_text(mesh.back.listen.servers))
        response = await caller.call(
            '/bluebellslip/instances/i-1-back',
            method='DELETE',
            bluebell_ask=value.decode(),
        )
        caller.close()
        assert (response.status, response.body) == (200, b'{}')


async def test_other_headers_of_a_caller_are_forwarded(mesh: _Mesh) -> None:
    foreign = {'x_bluebell_ask': 'config', 'bluebellslip': '1', 'ask': 'config'}
    for node in (mesh.front, mesh.back):
        await node.call('/read/1', **foreign)
    assert len(mesh.received) == 2
    for seen in mesh.received:
        assert seen.headers['x-bluebell-ask'] == 'config'
        assert seen.headers['bluebellslip'] == '1'
        assert seen.headers['ask'] == 'config'


@pytest.mark.parametrize('request_id', ['r1', 'r2'])
async def test_unsigned_success_of_another_node_is_no_response(
    mesh: _Mesh, monkeypatch: pytest.MonkeyPatch, request_id: str
) -> None:
    """A node beside a server may run other code, and answer by itself."""
    fields = ((b'x-request-id', b'r1'),)
    if request_id == 'r2':
        fields += ((b'x-server-signature', b's'),)

    async def respond(self: PeerHandler, request: InboundRequest) -> None:
        request.reply.respond(200, fields, b'unsigned')

    monkeypatch.setattr(PeerHandler, 'handle', respond)
    response = await mesh.front.call('/buy/1', request_id, method='POST')
    assert response.status == 502
    assert b'unsigned' not in response.body
