"""Servers that write an earlier refusal once more on a kept connection.

Guards against a request that is reported as not run, or sent to a second
server, although the first one runs it.
"""

import asyncio
from collections import Counter
from collections.abc import Callable

import pytest

from lib.calls import ReceivedRequest
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_not_executed,
    encode_signed_response,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
)

pytestmark = pytest.mark.anyio

_REQUESTS = 400
_WORKERS = 8
_WORK_S = 0.02
_REFUSED_SHARE = 4
# The last one comes while the next request runs.
_COPY_DELAYS_S = (0, 0.004, 0.01)
_ROUTES = {'/once/': 'upload', '/safe/': 'safe'}


class RepeatingServer:
    """Refuses one request in four, and writes that refusal once more."""

    def __init__(self, encode: Callable[[ReceivedRequest], bytes]) -> None:
        self.started: list[str] = []
        self._encode = encode
        self._received = 0

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        self._received += 1
        if self._received % _REFUSED_SHARE == 0:
            delay = _COPY_DELAYS_S[self._received % len(_COPY_DELAYS_S)]
            refusal = self._encode(request)
            writer.write(refusal)
            asyncio.get_running_loop().call_later(delay, writer.write, refusal)
            return
        self.started.append(request.headers['x-request-id'])
        await asyncio.sleep(_WORK_S)
        writer.write(encode_signed_response(request, b'done'))


def encode_without_id(request: ReceivedRequest) -> bytes:
    return encode_not_executed()


def encode_with_id(request: ReceivedRequest) -> bytes:
    request_id = request.headers['x-request-id'].encode()
    return encode_not_executed().replace(
        b'\r\n', b'\r\nX-Request-Id: %b\r\n' % request_id, 1
    )


@pytest.mark.parametrize('encode', [encode_without_id, encode_with_id])
@pytest.mark.parametrize('prefix', _ROUTES)
async def test_copy_of_a_refusal_is_not_taken_for_that_of_the_next_request(
    prefix: str, encode: Callable[[ReceivedRequest], bytes]
) -> None:
    store = SimulatedStore()
    servers = [RepeatingServer(encode) for _ in range(2)]
    nodes = [
        PlatformNode(f'orders-{number}', 'orders', store, server.handle)
        for number, server in enumerate(servers)
    ]
    front = PlatformNode('front', 'art', store, respond_signed(b'art'))
    route = make_route_json('r', prefix, 'orders', kind=_ROUTES[prefix])
    store.put('op', 'config', make_document_json(3, route))
    statuses = {}

    async def send(worker: int) -> None:
        for number in range(worker, _REQUESTS, _WORKERS):
            response = await front.call(f'{prefix}1', f'r{number}')
            statuses[f'r{number}'] = response.status

    async with run_nodes(store, [front, *nodes]):
        await asyncio.gather(*(send(worker) for worker in range(_WORKERS)))
    starts = Counter([name for server in servers for name in server.started])
    refused = {name for name, status in statuses.items() if status == 503}
    assert not refused & set(starts)
    if prefix == '/once/':
        assert max(starts.values()) == 1
    served = sum(status == 200 for status in statuses.values())
    assert served > _REQUESTS / 4
