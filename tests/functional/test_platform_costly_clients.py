"""Tests of a node's process under clients that are costly to serve.

They guard against a process that grows beyond its machine's memory or hangs,
although each client stays inside the limits: clients that leave and come back,
that send many requests at once, or whose input takes long to read. They check
no times and no shares of served requests. The number of callers and the bounds
were fixed before the code was changed.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest

from lib.crowded_node import (
    CrowdedNode,
    Script,
    chunk,
    crowd,
    make_request_head,
    pestering,
)

pytestmark = pytest.mark.anyio

# A node takes some 32 MB after its start.
_MEMORY_MB = 72
_MAX_DESCRIPTORS = 1000
_CALLERS = 40
_MANY_CALLERS = 300
_RETURNING_CALLERS = 400
_WAVES = 5
_CHUNKED = b'transfer-encoding: chunked\r\n'
_LARGE_CHUNKS = 8
_SMALL_CHUNKS = 60_000
_PIPELINED = 9
_HEADERS = b''.join(b'A%d: vvvvvvvv\r\n' % number for number in range(120))
# The configuration allows heads of 16,384 bytes.
_LONG_BYTES = 15_500
_LISTENERS = ('callers', 'peers')


def make_node(directory: Path) -> CrowdedNode:
    return CrowdedNode(
        directory, memory_mb=_MEMORY_MB, max_descriptors=_MAX_DESCRIPTORS
    )


def check_usage(node: CrowdedNode) -> None:
    assert node.is_running
    usage = node.read_usage()
    assert usage.peak_mb <= _MEMORY_MB
    assert usage.descriptors <= _MAX_DESCRIPTORS


def upload_without_end(listener: str) -> Script:
    """Send 480 KB of an upload in large chunks, without its end."""

    def script(number: int) -> Iterator[bytes]:
        yield b'%b\r\n' % make_request_head(listener, number, _CHUNKED)
        for _ in range(_LARGE_CHUNKS):
            yield chunk(b'x' * 60_000)

    return script


def request_behind_one_another(listener: str) -> Script:
    """Send small requests with many headers, all at once."""

    def script(number: int) -> Iterator[bytes]:
        yield b''.join(
            b'%bx-deadline-ms: 2500\r\n%b\r\n'
            % (
                make_request_head(
                    listener, number * 100 + index, b'', b'/read/1'
                ),
                _HEADERS,
            )
            for index in range(_PIPELINED)
        )

    return script


def request(listener: str, target: bytes, fields: bytes = b'') -> Script:
    """Send one request."""

    def script(number: int) -> Iterator[bytes]:
        head = make_request_head(listener, number, b'', target)
        yield b'%bconnection: close\r\n%b\r\n' % (head, fields)

    return script


def upload(listener: str, framed_body: bytes) -> Script:
    """Send one upload, whose body has chunks already."""

    def script(number: int) -> Iterator[bytes]:
        head = make_request_head(listener, number, _CHUNKED)
        yield b'%bconnection: close\r\n\r\n' % head
        yield framed_body

    return script


def send(text: bytes) -> Script:
    """Send the same bytes each time."""
    return lambda number: (text,)


@pytest.mark.parametrize('listener', _LISTENERS)
async def test_uploads_that_stop_come_back(
    tmp_path: Path, listener: str
) -> None:
    async with make_node(tmp_path).running() as node:
        address = node.get_address(listener)
        for _ in range(_WAVES):
            script = upload_without_end(listener)
            async with crowd(address, script, _RETURNING_CALLERS):
                check_usage(node)
                await node.wait_served()
            await node.wait_served()
            check_usage(node)


@pytest.mark.parametrize('listener', _LISTENERS)
async def test_requests_with_many_headers_at_once(
    tmp_path: Path, listener: str
) -> None:
    async with make_node(tmp_path).running() as node:
        address = node.get_address(listener)
        script = request_behind_one_another(listener)
        for _ in range(2):
            async with crowd(address, script, _MANY_CALLERS):
                check_usage(node)
                await node.wait_served()
            await node.wait_served()
            check_usage(node)


async def check_costly_input(
    directory: Path, listener: str, script: Script
) -> None:
    """Check that an ordinary request is answered beside costly ones."""
    async with make_node(directory).running() as node:
        async with pestering(node.get_address(listener), script, _CALLERS):
            for _ in range(3):
                await node.wait_served()
                check_usage(node)
        await node.wait_served()
        check_usage(node)


_LONG_PATHS = {
    'slashes': b'/' * _LONG_BYTES,
    'slashes-behind-a-prefix': b'/read/%b' % (b'/' * _LONG_BYTES),
    'short-segments': b'/a' * (_LONG_BYTES // 2),
}


@pytest.mark.parametrize('form', _LONG_PATHS)
async def test_long_paths(tmp_path: Path, form: str) -> None:
    script = request('callers', _LONG_PATHS[form])
    await check_costly_input(tmp_path, 'callers', script)


@pytest.mark.parametrize('listener', _LISTENERS)
async def test_uploads_in_chunks_of_one_byte(
    tmp_path: Path, listener: str
) -> None:
    body = b'%b0\r\n\r\n' % chunk(b'x', _SMALL_CHUNKS)
    await check_costly_input(tmp_path, listener, upload(listener, body))


_TINY_REQUESTS = b'GET / HTTP/1.1\r\n\r\n' * 20_000
_LONG_ID = b'x-request-id: %b\r\n' % (b'i' * 15_000)
_OTHER_FORMS = {
    'chunk-extensions': upload('callers', b'1;%b\r\nx\r\n' % (b'x' * 14_000)),
    'zeros-of-a-chunk-size': upload(
        'callers', b'%b1\r\nx\r\n' % (b'0' * 14_000)
    ),
    'blank-lines': send(b'\r\n' * 100_000),
    'tiny-requests': send(_TINY_REQUESTS),
    'tiny-requests-behind-a-body': upload(
        'callers', b'1\r\nx\r\n0\r\n\r\n%b' % _TINY_REQUESTS
    ),
    'long-query': request('callers', b'/read/1?%b' % (b'&a=/' * 3_800)),
    'long-name': request('callers', b'/none/%b' % (b'a' * _LONG_BYTES)),
    'many-headers': request('callers', b'/read/1', _HEADERS),
    'connection-tokens': request(
        'callers', b'/read/1', b'connection: %b\r\n' % (b'a,' * 7_000)
    ),
    'long-deadline': request(
        'callers', b'/read/1', b'x-deadline-ms: %b\r\n' % (b'9' * 15_000)
    ),
    'long-id': send(
        b'GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n%b\r\n' % _LONG_ID
    ),
    'not-http': send(b'\x16\x03\x01' * 50_000),
}


@pytest.mark.parametrize('form', _OTHER_FORMS)
async def test_other_costly_input(tmp_path: Path, form: str) -> None:
    await check_costly_input(tmp_path, 'callers', _OTHER_FORMS[form])
