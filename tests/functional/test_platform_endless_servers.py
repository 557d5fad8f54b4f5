"""Tests of a node's process whose servers send bytes without an end.

They guard against a process that keeps all of them and runs out of memory, with
the requests of all other callers. They check no times. The number of callers
and the bounds were fixed before the tests first ran.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncGenerator
from pathlib import Path
from typing import Any

import pytest

from lib.calls import Caller, ReceivedRequest
from lib.crowded_node import CrowdedNode
from lib.endless_input import (
    RESPONSE_BODIES,
    RESPONSE_HEADS,
    SKIPPED_RESPONSES,
    EndlessInput,
)
from lib.simulated_platform import SimulatedStore, encode_signed_response

pytestmark = pytest.mark.anyio

# A node takes some 32 MB after its start.
_MEMORY_MB = 72
_MAX_DESCRIPTORS = 160
_CALLERS = 20
# What a server sends to each caller, unless its connection is closed before.
_ENDLESS_BYTES = 8 << 20
_PIECE_BYTES = 16 * 1024
_DEADLINE_S = 1
_HANG_TIMEOUT_S = 60
_HOPS = {'own': '/read/', 'far': '/far/'}
_LETTERS = b'a' * 1000
_OK = b'HTTP/1.1 200 OK\r\nx-server-signature: s\r\n'
_EMPTY = b'content-length: 0\r\n\r\n'
_HUGE = b'content-length: 9999999999\r\n\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
_FORMS = {
    form.name.replace(' ', '-'): form
    for form in (
        EndlessInput('no response', b'', _LETTERS),
        EndlessInput(
            'body with a length',
            _OK + _HUGE,
            _LETTERS,
        ),
        EndlessInput('body without a length', b'%b\r\n' % _OK, _LETTERS),
        EndlessInput(
            'small chunks',
            _OK + _CHUNKED,
            b'1\r\nx\r\n',
        ),
        EndlessInput(
            'large chunks',
            _OK + _CHUNKED,
            b'3e8\r\n%b\r\n' % _LETTERS,
        ),
        EndlessInput(
            'failure',
            b'HTTP/1.1 500 X\r\n%b' % _HUGE,
            _LETTERS,
        ),
        EndlessInput(
            'refusal',
            b'HTTP/1.1 503 X\r\nx-not-executed: 1\r\n%b' % _HUGE,
            _LETTERS,
        ),
        EndlessInput('no content', b'HTTP/1.1 204 X\r\n\r\n', _LETTERS),
        EndlessInput(
            'further responses',
            _OK + _EMPTY,
            _OK + _EMPTY,
        ),
        EndlessInput('bytes behind a response', _OK + _EMPTY, _LETTERS),
        *RESPONSE_HEADS,
        *RESPONSE_BODIES,
        *(
            EndlessInput(f'skipped {form.name}', form.start, form.repeated)
            for form in SKIPPED_RESPONSES
        ),
    )
}


class EndlessServer:
    """Responds without an end to the requests that ask for it."""

    def __init__(self, form: EndlessInput) -> None:
        self._form = form
        self.begun = 0

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        if '/endless' not in request.request_line:
            writer.write(encode_signed_response(request, b'ok'))
            return
        self.begun += 1
        # Without the id of the request, the response would end with its head.
        request_id = request.headers['x-request-id'].encode()
        named = b'%bx-request-id: %b\r\n' % (_OK, request_id)
        form = dataclasses.replace(
            self._form,
            start=self._form.start.replace(_OK, named),
            repeated=self._form.repeated.replace(_OK, named),
        )
        await send_endlessly(writer, form)


async def send_endlessly(
    writer: asyncio.StreamWriter, form: EndlessInput
) -> None:
    """Send input until the connection is closed, or enough was sent."""
    for piece in form.chunks(_PIECE_BYTES, _ENDLESS_BYTES):
        writer.write(piece)
        await writer.drain()


class EndlessStore(SimulatedStore):
    """A store that sends bytes without an end while ``form`` is set."""

    form: EndlessInput | None = None

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.form is None:
            await super()._serve(reader, writer)
            return
        with contextlib.closing(writer), contextlib.suppress(OSError):
            await send_endlessly(writer, self.form)


def make_node(directory: Path, **options: Any) -> CrowdedNode:
    return CrowdedNode(
        directory,
        memory_mb=_MEMORY_MB,
        max_descriptors=_MAX_DESCRIPTORS,
        slots=_CALLERS + 4,
        **options,
    )


async def call_endless(
    node: CrowdedNode, number: int, path: str, body: bytes = b''
) -> None:
    """Ask for an endless response; every second caller doesn't read it."""
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_DEADLINE_S):
            caller = await Caller.open(node.get_address('callers'))
            with contextlib.closing(caller):
                size = f'content-length: {10 * len(body)}\r\n' if body else ''
                caller.writer.write(
                    (
                        f'{"POST" if body else "GET"} {path}endless{number} '
                        'HTTP/1.1\r\nhost: shop.example\r\n'
                        f'x-request-id: e{number}\r\n{size}\r\n'
                    ).encode()
                )
                for _ in range(9 if body else 0):
                    caller.writer.write(body)
                    await asyncio.sleep(_DEADLINE_S / 10)
                if number % 2:
                    await asyncio.sleep(_DEADLINE_S)
                while await caller.reader.read(_PIECE_BYTES):
                    await asyncio.sleep(0)


async def crowd(node: CrowdedNode, path: str, body: bytes = b'') -> None:
    """Let all callers ask for endless responses, and check the process."""
    async with asyncio.TaskGroup() as group:
        for number in range(_CALLERS):
            group.create_task(call_endless(node, number, path, body))
        await node.wait_served()
    check(node)
    await node.wait_served()


def check(node: CrowdedNode) -> None:
    assert node.is_running
    usage = node.read_usage()
    assert usage.peak_mb < _MEMORY_MB
    assert usage.descriptors < _MAX_DESCRIPTORS


@contextlib.asynccontextmanager
async def two_nodes(
    directory: Path, server: EndlessServer
) -> AsyncGenerator[tuple[CrowdedNode, CrowdedNode], None]:
    """Run a node with callers, and a node beside a faulty server."""
    front = make_node(directory)
    back = make_node(
        directory, handler=server.handle, service='back', store=front.store
    )
    async with front.running(), back.running():
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            while (await front.call('/far/1')).status != 200:
                await asyncio.sleep(0.1)
        yield front, back


@pytest.mark.parametrize('name', _FORMS)
async def test_endless_response_of_the_own_server(
    name: str, tmp_path: Path
) -> None:
    server = EndlessServer(_FORMS[name])
    async with make_node(tmp_path, handler=server.handle).running() as node:
        await crowd(node, '/read/')
        assert server.begun


@pytest.mark.parametrize('name', _FORMS)
async def test_endless_response_of_the_server_of_another_node(
    name: str, tmp_path: Path
) -> None:
    server = EndlessServer(_FORMS[name])
    async with two_nodes(tmp_path, server) as (front, back):
        await crowd(front, '/far/')
        assert server.begun
        check(back)


@pytest.mark.parametrize(
    'name', ['no-response', 'body-with-a-length', 'trailers']
)
async def test_endless_response_while_an_upload_goes_on(
    name: str, tmp_path: Path
) -> None:
    """The server responds as soon as it has read the head."""
    form = _FORMS[name]

    async def respond_early(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            head = await reader.readuntil(b'\r\n\r\n')
            if b'/endless' in head:
                await send_endlessly(writer, form)
            else:
                request = ReceivedRequest('', {'x-request-id': 'ordinary'}, b'')
                writer.write(encode_signed_response(request, b'ok'))
                await writer.drain()

    node = make_node(tmp_path)
    node.server._serve = respond_early  # type: ignore[method-assign]
    async with node.running():
        await crowd(node, '/upload/', b'x' * 100_000)


@pytest.mark.parametrize(
    'name', ['no-response', 'headers', 'body-with-a-length', 'small-chunks']
)
async def test_endless_response_of_the_store(name: str, tmp_path: Path) -> None:
    store = EndlessStore()
    async with make_node(tmp_path, store=store).running() as node:
        store.form = _FORMS[name]
        # Ends the watches that are open.
        store.put('op', 'config', store.read('op', 'config'))
        await asyncio.sleep(_DEADLINE_S)
        await node.wait_served()
        check(node)


async def test_endless_heartbeats(tmp_path: Path) -> None:
    async with make_node(tmp_path).running() as node:

        async def send() -> None:
            with contextlib.suppress(OSError):
                caller = await Caller.open(node.get_address('servers'))
                with contextlib.closing(caller):
                    caller.writer.write(
                        b'PUT /bluebellslip/instances/i-1 HTTP/1.1\r\n'
                        b'host: a\r\ntransfer-encoding: chunked\r\n\r\n'
                    )
                    chunk = b'%x\r\n%b\r\n' % (len(_LETTERS), _LETTERS)
                    endless = EndlessInput('heartbeat', b'', chunk)
                    await send_endlessly(caller.writer, endless)

        async with asyncio.TaskGroup() as group:
            for _ in range(_CALLERS):
                group.create_task(send())
            await node.wait_served()
        check(node)
        await node.wait_served()


@pytest.mark.parametrize(
    'name', ['no-response', 'body-with-a-length', 'small-chunks']
)
async def test_node_stops_while_its_server_responds_without_an_end(
    name: str, tmp_path: Path
) -> None:
    server = EndlessServer(_FORMS[name])
    async with (
        make_node(tmp_path, handler=server.handle).running() as node,
        asyncio.TaskGroup() as group,
    ):
        for number in range(_CALLERS):
            group.create_task(call_endless(node, number, '/read/'))
        while not server.begun:
            await asyncio.sleep(0.02)
        check(node)
        assert await node.stop() == 0
