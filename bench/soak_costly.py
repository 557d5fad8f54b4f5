"""Clients of a soak that cost a node more than they send.

They stay inside the limits of the configuration, or a little outside, and
nothing is expected of the responses to them. Their server runs are not
recorded.
"""

import asyncio
import contextlib
from collections.abc import Callable, Iterator
from random import Random
from typing import Final

import anyio

from bench.soak_plan import make_prefix
from bench.soak_records import RouteKind
from bluebellslip._internal.models.identity import Address

COSTLY_PREFIX: Final = 'costly-'
# Longest time for which a client sends, and stays afterwards.
_MAX_STAY_S: Final = 4.0
_MAX_PAUSE_S: Final = 0.5
# One client in so many reads no responses.
_READERS: Final = 5
_SLICE_BYTES: Final = 16 * 1024
_LONG_BYTES: Final = 15_000
_MANY_HEADERS: Final = b''.join(
    b'a%d: vvvvvvvv\r\n' % number for number in range(110)
)
_CHUNKED: Final = b'transfer-encoding: chunked\r\n'
_END: Final = b'\r\n'

_Form = Callable[[bytes], bytes]


def _make_head(
    request_id: bytes, kind: RouteKind, tail: bytes, fields: bytes
) -> bytes:
    method = b'GET' if kind is RouteKind.SAFE else b'POST'
    prefix = make_prefix(kind).encode()
    return (
        b'%b %b%b HTTP/1.1\r\nhost: shop.example\r\nx-request-id: %b\r\n'
        b'x-deadline-ms: 4000\r\n%b'
        % (method, prefix, tail, request_id, fields)
    )


def _upload(request_id: bytes, body: bytes) -> bytes:
    head = _make_head(request_id, RouteKind.UPLOAD, b'1', _CHUNKED)
    return b'%b\r\n%b' % (head, body)


def _read(request_id: bytes, tail: bytes, fields: bytes = b'') -> bytes:
    return _make_head(request_id, RouteKind.SAFE, tail, fields) + _END


_FORMS: Final[tuple[_Form, ...]] = (
    # Uploads that stop before their end.
    lambda name: _upload(name, b'4e20\r\n%b\r\n' % (b'x' * 20_000) * 12),
    lambda name: _upload(name, b'1\r\nx\r\n' * 60_000),
    lambda name: _upload(name, b'1;%b\r\nx\r\n' % (b'e' * 8000) * 8),
    lambda name: _upload(
        name, b'1\r\nx\r\n0\r\n%b' % (b'a-trailer: x\r\n' * 9000)
    ),
    # Requests behind one another.
    lambda name: _read(name, b'1', _MANY_HEADERS) * 9,
    lambda name: b'GET / HTTP/1.1\r\n\r\n' * 2000,
    lambda name: _upload(
        name, b'1\r\nx\r\n0\r\n\r\n%b' % (_read(name, b'1') * 50)
    ),
    # Long heads.
    lambda name: _read(name, b'/' * _LONG_BYTES),
    lambda name: _read(name, b'1?%b' % (b'a=/&' * (_LONG_BYTES // 4))),
    lambda name: _read(name, b'1', b'a-header: x\r\n' * 9000),
    # No requests.
    lambda name: _END * 50_000,
    lambda name: b'\x16\x03\x01' * 20_000,
    lambda name: b'',
)


class CostlyClient:
    """Connects, sends something costly, stays for a while and comes back.

    Parameters
    ----------
    name
        Name in the ids of its requests.
    address
        The callers' address of a node.
    """

    def __init__(self, name: str, address: Address) -> None:
        self._name = f'{COSTLY_PREFIX}{name}'
        self._address = address
        self._random = Random(name)
        self._stopped = False

    def stop(self) -> None:
        """End after the current connection."""
        self._stopped = True

    async def run(self) -> None:
        """Send until stopped."""
        number = 0
        while not self._stopped:
            number += 1
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(_MAX_STAY_S):
                    await self._use_connection(f'{self._name}-{number}')
            await anyio.sleep(self._random.uniform(0, _MAX_PAUSE_S))

    async def _use_connection(self, request_id: str) -> None:
        text = self._random.choice(_FORMS)(request_id.encode())
        reads = self._random.randrange(_READERS) > 0
        stays_s = self._random.uniform(0, _MAX_STAY_S)
        reader, writer = await asyncio.open_connection(
            self._address.host, self._address.port, limit=_SLICE_BYTES
        )
        with contextlib.ExitStack() as stack:
            stack.callback(writer.transport.abort)
            if reads:
                reading = asyncio.create_task(_read_all(reader))
                stack.callback(reading.cancel)
            for piece in _split(text):
                writer.write(piece)
                await writer.drain()
            await anyio.sleep(stays_s)


def _split(text: bytes) -> Iterator[bytes]:
    for start in range(0, len(text), _SLICE_BYTES):
        yield text[start : start + _SLICE_BYTES]


async def _read_all(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while not reader.at_eof():
            await reader.read(_SLICE_BYTES)
