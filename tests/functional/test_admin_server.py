"""Tests of the administration server on a socket.

They guard against malformed, oversized or incomplete HTTP that stops the
server, and against a shutdown that cuts off a call in flight.
"""

import contextlib
import datetime as dt
import signal
import socket
from collections.abc import AsyncGenerator, AsyncIterator

import anyio
import msgspec
import pytest
from expression import Result

from bluebellslip._internal.admin.connections import MAX_HEAD_BYTES
from bluebellslip._internal.admin.server import AdminPlugin
from bluebellslip._internal.exceptions import BluebellError, ListenError
from bluebellslip._internal.kernel.node import Node
from bluebellslip._internal.kernel.services import (
    Accepted,
    Acceptor,
    ChangeRequest,
)
from bluebellslip._internal.models.admin import ApplyBody
from bluebellslip._internal.models.identity import Address
from lib.admin_fakes import OPERATOR_TOKEN, make_context
from lib.snapshots import make_document

pytestmark = pytest.mark.anyio

_HANG_TIMEOUT_S = 10


@pytest.fixture
async def server() -> AsyncIterator[AdminPlugin]:
    plugin = AdminPlugin.from_context(make_context('127.0.0.1:0'))
    async with anyio.create_task_group() as group:
        await group.start(plugin.run)
        yield plugin
        await plugin.drain()


async def _exchange(address: Address, sent: bytes) -> bytes:
    """Send bytes and return all that is received until the stream ends."""
    received = b''
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        try:
            await stream.send(sent)
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


def _request(method: str, path: str, *headers: str, body: bytes = b'') -> bytes:
    lines = [
        f'{method} {path} HTTP/1.1',
        'host: node',
        'connection: close',
        f'authorization: Bearer {OPERATOR_TOKEN}',
        *headers,
    ]
    return '\r\n'.join([*lines, '', '']).encode() + body


async def _assert_responds(address: Address) -> None:
    response = await _exchange(address, _request('GET', '/v1/health'))
    assert response.startswith(b'HTTP/1.1 200')


@pytest.mark.parametrize(
    'garbage',
    [
        b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03',
        b'NONSENSE\r\n\r\n',
        b'GET / HTTP/9.9\r\n\r\n',
        b'GET /v1/health HTTP/1.1\r\ncontent-length: -5\r\n\r\n',
        b'GET /v1/health HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n',
    ],
)
async def test_malformed_http_is_refused(
    server: AdminPlugin, garbage: bytes
) -> None:
    response = await _exchange(server.address, garbage)
    assert response.startswith(b'HTTP/1.1 400')
    await _assert_responds(server.address)


@pytest.mark.parametrize(
    'head',
    [
        b'GET /v1/health HTTP/1.1\r\nx: '.ljust(MAX_HEAD_BYTES * 4, b'a'),
        b'GET /'.ljust(MAX_HEAD_BYTES * 4, b'a'),
        b'GET /v1/health HTTP/1.1\r\n%b' % (b'a: b\r\n' * MAX_HEAD_BYTES),
    ],
)
async def test_oversized_head_leaves_the_server_up(
    server: AdminPlugin, head: bytes
) -> None:
    await _exchange(server.address, head)
    await _assert_responds(server.address)


async def test_oversized_body_is_refused(server: AdminPlugin) -> None:
    size = (1 << 20) + 1
    response = await _exchange(
        server.address,
        _request(
            'PUT', '/v1/config', f'content-length: {size}', body=b' ' * size
        ),
    )
    assert b'"kind":"too-large"' in response
    await _assert_responds(server.address)


async def test_body_that_ends_early_leaves_the_server_up(
    server: AdminPlugin,
) -> None:
    address = server.address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(_request('PUT', '/v1/config', 'content-length: 99'))
    await _assert_responds(address)


async def test_incomplete_head_times_out(
    server: AdminPlugin, monkeypatch: pytest.MonkeyPatch
) -> None:
    connections = 'bluebellslip._internal.admin.connections'
    monkeypatch.setattr(f'{connections}.HEAD_TIMEOUT_SECONDS', 0.01)
    assert await _exchange(server.address, b'GET /v1/he') == b''
    await _assert_responds(server.address)


@pytest.fixture(name='signal_handlers')
def read_signal_handlers() -> dict[signal.Signals, object]:
    """Return the handlers before a server starts.

    A process that is started in the background ignores SIGINT.
    """
    return {
        number: signal.getsignal(number)
        for number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
    }


async def test_server_installs_no_signal_handlers(
    signal_handlers: dict[signal.Signals, object], server: AdminPlugin
) -> None:
    await _assert_responds(server.address)
    for number, handler in signal_handlers.items():
        assert signal.getsignal(number) is handler


async def _wait_closed(address: Address) -> None:
    while True:
        try:
            stream = await anyio.connect_tcp(address.host, address.port)
        except OSError:
            return
        await stream.aclose()


async def test_stop_waits_for_the_call_in_flight(server: AdminPlugin) -> None:
    address = server.address
    async with await anyio.connect_tcp(address.host, address.port) as stream:
        await stream.send(
            _request('PUT', '/v1/config', 'content-length: 2', body=b'{')
        )
        while not server.busy:
            await anyio.sleep(0)
        drained = anyio.Event()
        server._server.config.timeout_graceful_shutdown = None

        async def drain() -> None:
            await server.drain()
            drained.set()

        async with anyio.create_task_group() as group:
            group.start_soon(drain)
            await _wait_closed(address)
            await anyio.sleep(0.3)  # uvicorn polls connections every 0.1 s
            assert not drained.is_set()
            await stream.send(b'}')
            assert (await stream.receive()).startswith(b'HTTP/1.1 422')


class StuckAcceptor:
    """Never responds, like one whose table hangs."""

    def __init__(self) -> None:
        self.called = anyio.Event()

    async def submit(
        self, request: ChangeRequest
    ) -> Result[Accepted, BluebellError]:
        self.called.set()
        await anyio.sleep_forever()


@contextlib.asynccontextmanager
async def _stopping_server(
    acceptor: StuckAcceptor,
) -> AsyncGenerator[AdminPlugin, None]:
    """Yield a running plug-in; then stop it as a node does."""
    context = make_context('127.0.0.1:0')
    context.ports.provide(Acceptor, acceptor)
    plugin = AdminPlugin.from_context(context)
    node = Node(context, (plugin,), dt.timedelta(seconds=1))
    async with anyio.create_task_group() as group:
        await group.start(plugin.run)
        try:
            yield plugin
            await node._drain()
        finally:
            group.cancel_scope.cancel()


async def _receive_all(stream: anyio.abc.SocketStream) -> bytes:
    received = b''
    with (
        anyio.fail_after(_HANG_TIMEOUT_S),
        contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError),
    ):
        while True:
            received += await stream.receive()
    return received


async def test_change_that_outlasts_the_stop_has_an_unknown_outcome() -> None:
    acceptor = StuckAcceptor()
    body = msgspec.json.encode(
        ApplyBody(change='change-1', document=make_document())
    )
    async with _stopping_server(acceptor) as server:
        address = server.address
        stream = await anyio.connect_tcp(address.host, address.port)
        await stream.send(
            _request(
                'PUT', '/v1/config', f'content-length: {len(body)}', body=body
            )
        )
        with anyio.fail_after(_HANG_TIMEOUT_S):
            await acceptor.called.wait()
    async with stream:
        response = await _receive_all(stream)
    assert b'\r\nbluebell-error: platform-outcome-unknown\r\n' in response
    assert b'bluebell-not-run' not in response


async def test_call_without_its_body_at_the_stop_is_refused_as_not_run() -> (
    None
):
    async with _stopping_server(StuckAcceptor()) as server:
        address = server.address
        stream = await anyio.connect_tcp(address.host, address.port)
        await stream.send(
            _request('PUT', '/v1/config', 'content-length: 2', body=b'{')
        )
        while not server.busy:
            await anyio.sleep(0)
    async with stream:
        response = await _receive_all(stream)
    assert b'\r\nbluebell-error: draining\r\n' in response
    assert b'\r\nbluebell-not-run: 1\r\n' in response


async def test_address_in_use_raises_a_listen_error() -> None:
    with socket.create_server(('127.0.0.1', 0)) as taken:
        port = taken.getsockname()[1]
        plugin = AdminPlugin.from_context(make_context(f'127.0.0.1:{port}'))
        with pytest.RaisesGroup(
            pytest.RaisesExc(ListenError, match=f'127.0.0.1:{port}')
        ):
            async with anyio.create_task_group() as group:
                await group.start(plugin.run)
