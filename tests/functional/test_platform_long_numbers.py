"""Numbers of hundreds of digits in headers.

Guards against a response that a server has given but that its caller does not
get, since a number in its head can't be computed with.
"""

import asyncio

import pytest

from bluebellslip._internal.calls.headers import parse_count
from lib.calls import ReceivedRequest
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    run_nodes,
)

pytestmark = pytest.mark.anyio

_LONG = b'9' * 5000


@pytest.mark.parametrize(
    'header',
    [
        b'Keep-Alive: timeout=%b' % _LONG,
        b'X-Server-Load: %b,%b,%b' % (_LONG, _LONG, _LONG),
        b'Server-Limit: %b' % _LONG,
    ],
)
async def test_response_with_a_long_number_is_delivered(header: bytes) -> None:
    async def respond(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        response = encode_signed_response(request, b'done')
        writer.write(response.replace(b'\r\n', b'\r\n%b\r\n' % header, 1))

    store = SimulatedStore()
    node = PlatformNode('node', 'orders', store, respond)
    route = make_route_json('r', '/a/', 'orders', kind='upload')
    store.put('op', 'config', make_document_json(3, route))
    async with run_nodes(store, [node]):
        for number in range(3):
            response = await node.call('/a/1', f'r{number}')
            assert (response.status, response.body) == (200, b'done')


@pytest.mark.parametrize(
    ('text', 'count'),
    [
        (b'0', 0),
        (b' 42 ', 42),
        (b'7'.rjust(5000, b'0'), 7),
        (_LONG, 100),
        (b'101', 100),
        (b'', None),
        (b'-1', None),
        (b'1.5', None),
        ('²'.encode(), None),
    ],
)
def test_number_of_any_length_is_parsed(text: bytes, count: int | None) -> None:
    assert parse_count(text, 100) == count
