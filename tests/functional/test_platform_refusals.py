"""Tests of refusals by another node that arrive in parts.

They guard against a request that was refused before it ran and counts as
possibly run, so that its caller may not send it again.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import pytest

from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.identity import Address, ServiceName
from bluebellslip._internal.proxy import forwarding
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
)

pytestmark = pytest.mark.anyio

_CONFIG = make_document_json(
    3,
    make_route_json('r-art', '/art/', 'art', kind='upload', timeout_s=30),
)
_BODY = b'x' * 60_000
_HEAD = (
    b'POST /art/1 HTTP/1.1\r\nhost: shop.example\r\n'
    b'x-request-id: u1\r\ncontent-length: %d\r\n\r\n'
) % len(_BODY)
_HANG_TIMEOUT_S = 20
_REFUSAL = b'{"kind":"overloaded","message":"no slot","context":{},"hint":""}'
_REFUSAL_HEAD = (
    b'HTTP/1.1 503 X\r\nbluebell-error: overloaded\r\nbluebell-not-run: 1\r\n'
    b'content-length: %d\r\n\r\n'
) % len(_REFUSAL)


class RefusingPeer:
    """A node that refuses an upload in two parts, before it has its body.

    It asks for the body, sends the head of the refusal, receives the body, and
    then sends the rest of the refusal or closes the connection.
    """

    def __init__(self, *, breaks: bool) -> None:
        self._breaks = breaks

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncGenerator[Address, None]:
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        try:
            yield Address(host, port)
        finally:
            server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b'\r\n\r\n')
        writer.write(b'HTTP/1.1 100 Continue\r\n\r\n')
        writer.write(_REFUSAL_HEAD)
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readexactly(len(_BODY))
        if not self._breaks:
            writer.write(_REFUSAL)
        writer.close()


@pytest.fixture
def refused(monkeypatch: pytest.MonkeyPatch) -> asyncio.Event:
    """Return an event that is set once the head of a refusal was handled."""
    refused = asyncio.Event()
    read_refusal = forwarding._read_refusal

    async def read(connection: OutboundConnection) -> BluebellError:
        refused.set()
        return await read_refusal(connection)

    monkeypatch.setattr(forwarding, '_read_refusal', read)
    return refused


@pytest.mark.parametrize('breaks', [True, False])
async def test_refusal_in_two_parts_counts_as_not_run(
    breaks: bool, refused: asyncio.Event
) -> None:
    """The caller sends the end of its body between the two parts."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    front = PlatformNode('front', 'store', store, respond_signed(b'store'))
    back = PlatformNode('back', 'art', store, respond_signed(b'art'))
    peer = RefusingPeer(breaks=breaks)
    async with run_nodes(store, [front, back]), peer.serving() as address:
        peer_table = front.node._state.peer_table
        peer_table.endpoints(ServiceName('art'))[0].address = address
        caller = await front.open_caller()
        caller.writer.write(_HEAD + _BODY[:1000])
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            await refused.wait()
            caller.writer.write(_BODY[1000:])
            response = await caller.receive()
        caller.close()
    assert response.status == 503
    assert float(response.headers['retry-after']) > 0
