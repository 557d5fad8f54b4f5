"""Tests of servers that refuse requests although they have free slots.

They guard against requests that gather at such a server and use up the retry
budget of its service.
"""

import asyncio

import pytest

from lib.calls import ReceivedRequest
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_not_executed,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
)

pytestmark = pytest.mark.anyio


async def test_server_that_refuses_with_free_slots_is_avoided() -> None:
    """Its load stays low, so it would get more requests than the others."""
    store, refused = SimulatedStore(), []

    async def refuse(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        refused.append(request.headers['x-request-id'])
        writer.write(encode_not_executed())

    handlers = (refuse, respond_signed(b'a', 0.01), respond_signed(b'b', 0.01))
    nodes = [
        PlatformNode(f'orders-{number}', 'orders', store, handler)
        for number, handler in enumerate(handlers)
    ]
    front = PlatformNode('front', 'art', store, respond_signed(b'art'))
    route = make_route_json('r-orders', '/orders/', 'orders')
    store.put('op', 'config', make_document_json(3, route))
    requests = 60
    async with run_nodes(store, [front, *nodes]):
        for number in range(requests):
            await front.call('/orders/1', f'r{number}')
    # Half of an even share.
    assert len(refused) < requests / len(handlers) / 2
