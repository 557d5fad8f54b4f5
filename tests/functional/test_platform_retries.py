"""Tests of retries whose servers make calls of their own, on real nodes.

They guard against retry storms: a retried request makes its calls again, so a
service that refuses its callers got more retries than the deployment allows.
"""

import asyncio

import pytest

from bluebellslip._internal.models.mesh_settings import Bounds
from lib.calls import ReceivedRequest, RequestHandler
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

_CONFIG = make_document_json(
    3,
    make_route_json('r-page', '/page/', 'portal', timeout_s=60),
    make_route_json('r-read', '/read/', 'store', timeout_s=60),
)
# Each of the five nodes may make one retry for each service.
_BOUNDS = Bounds(retry_ratio=0, retry_reserve=10, retry_window=600)


class Portal:
    """Servers that call the store once in each run, and fail if it fails."""

    def __init__(self, store: SimulatedStore) -> None:
        self.nodes = [
            PlatformNode(
                f'portal-{number}', 'portal', store, self._make(number)
            )
            for number in range(2)
        ]
        self._runs = 0

    def _make(self, number: int) -> RequestHandler:
        async def handler(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            request: ReceivedRequest,
        ) -> None:
            self._runs += 1
            call_id = f'{request.headers["x-request-id"]}.{self._runs}'
            response = await self.nodes[number].call('/read/1', call_id)
            status = 200 if response.status == 200 else 500
            writer.write(encode_signed_response(request, b'page', status))

        return handler


class SheddingStore:
    """Servers that refuse all requests and record their ids."""

    def __init__(self) -> None:
        self.arrivals: list[str] = []

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        self.arrivals.append(request.headers['x-request-id'])
        writer.write(encode_not_executed())


async def test_call_of_a_retried_request_uses_the_budget_of_its_service() -> (
    None
):
    store, shedding = SimulatedStore(), SheddingStore()
    store.put('op', 'config', _CONFIG)
    portal = Portal(store)
    front = PlatformNode('front', 'art', store, respond_signed(b'art'))
    backs = [
        PlatformNode(f'store-{number}', 'store', store, shedding.handle)
        for number in range(2)
    ]
    nodes = [front, *portal.nodes, *backs]
    for node in nodes:
        node.node._data_plane.callers.apply(_BOUNDS)
    async with run_nodes(store, nodes):
        response = await front.call('/page/1', 'r1')
    assert response.status == 500
    # The call of the first run is retried, that of the second one is a retry.
    assert shedding.arrivals == ['r1.1', 'r1.1', 'r1.2']
