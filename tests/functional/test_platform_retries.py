"""Tests of retries whose servers make calls of their own, on real nodes.

They guard against retry storms: a retried request makes its calls again, so a
service that refuses its callers got more retries than the deployment allows.
"""

import asyncio
from collections.abc import Sequence

import anyio
import msgspec
import pytest

from bluebellslip._internal.models.identity import ServiceName
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
    """Servers that call the store in each run, and fail if a call fails."""

    def __init__(self, store: SimulatedStore, calls: int = 1) -> None:
        self._calls = calls
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
            parent = request.headers['x-request-id']
            call_ids = [
                f'{parent}.{self._runs}{"-" * call}'
                for call in range(self._calls)
            ]
            responses = [
                await self.nodes[number].call('/read/1', call_id)
                for call_id in call_ids
            ]
            is_failed = any(response.status != 200 for response in responses)
            status = 500 if is_failed else 200
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


class SheddingPortal(Portal):
    """Portal servers of which the first to get a request refuses it."""

    def __init__(self, store: SimulatedStore, calls: int = 1) -> None:
        self._refused: set[str] = set()
        super().__init__(store, calls)

    def _make(self, number: int) -> RequestHandler:
        run = super()._make(number)

        async def handler(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            request: ReceivedRequest,
        ) -> None:
            request_id = request.headers['x-request-id']
            if request_id in self._refused:
                await run(reader, writer, request)
                return
            self._refused.add(request_id)
            writer.write(encode_not_executed())

        return handler


def set_bounds(nodes: Sequence[PlatformNode], bounds: Bounds) -> None:
    """Apply bounds as if the nodes had run for longer than their window."""
    for node in nodes:
        node.node._data_plane.callers.apply(bounds)
        node.node._state.retry_budgets._forgot_at = None


def make_nodes(
    store: SimulatedStore,
    portal: Portal,
    shedding: SheddingStore,
    others: Sequence[PlatformNode] = (),
) -> tuple[PlatformNode, list[PlatformNode]]:
    """Return a node whose server gets no requests, and all nodes."""
    front = PlatformNode('front', 'art', store, respond_signed(b'art'))
    backs = [
        PlatformNode(f'store-{number}', 'store', store, shedding.handle)
        for number in range(2)
    ]
    nodes = [front, *others, *portal.nodes, *backs]
    set_bounds(nodes, _BOUNDS)
    store.put('op', 'config', _CONFIG)
    return front, nodes


async def test_request_whose_call_was_refused_is_not_retried() -> None:
    """Its call was retried; another run would only repeat it once more."""
    store, shedding = SimulatedStore(), SheddingStore()
    front, nodes = make_nodes(store, Portal(store), shedding)
    async with run_nodes(store, nodes):
        response = await front.call('/page/1', 'r1')
    assert response.status == 500
    assert shedding.arrivals == ['r1.1', 'r1.1']


async def test_request_whose_call_timed_out_is_retried() -> None:
    """The call was not retried: its own time was over."""
    store = SimulatedStore()
    arrivals: list[str] = []

    async def outlast_the_first(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        arrivals.append(request.headers['x-request-id'])
        await asyncio.sleep(1 if len(arrivals) == 1 else 0)
        writer.write(encode_signed_response(request, b'read'))

    shedding = SheddingStore()
    shedding.handle = outlast_the_first  # type: ignore[method-assign]
    front, nodes = make_nodes(store, Portal(store), shedding)
    set_bounds(nodes, msgspec.structs.replace(_BOUNDS, retry_reserve=15))
    read = make_route_json('r-read', '/read/', 'store', timeout_s=0.4)
    page = make_route_json('r-page', '/page/', 'portal', timeout_s=60)
    store.put('op', 'config', make_document_json(4, page, read))
    async with run_nodes(store, nodes):
        response = await front.call('/page/1', 'r1')
    assert response.status == 200
    assert arrivals == ['r1.1', 'r1.2']


async def test_calls_of_retried_requests_stay_within_the_limit_of_their_service() -> (  # ruff: ignore[line-too-long]
    None
):
    """Each of nine nodes retries one request, and each run makes four calls."""
    store, shedding = SimulatedStore(), SheddingStore()
    portal = SheddingPortal(store, calls=4)
    fronts = [
        PlatformNode(f'front-{number}', 'art', store, respond_signed(b'art'))
        for number in range(8)
    ]
    front, nodes = make_nodes(store, portal, shedding, fronts)
    limit = 2 * len(nodes)
    set_bounds(nodes, msgspec.structs.replace(_BOUNDS, retry_reserve=limit))
    async with run_nodes(store, nodes), anyio.create_task_group() as group:
        for number, node in enumerate((front, *fronts)):
            group.start_soon(node.call, '/page/1', f'r{number}')
    assert len(shedding.arrivals) <= limit


async def test_call_of_a_retried_request_uses_the_budget_of_its_service() -> (
    None
):
    """The call counts as a retry, and so does its own retry."""
    store, shedding = SimulatedStore(), SheddingStore()
    portal = SheddingPortal(store)
    front, nodes = make_nodes(store, portal, shedding)
    # Each of the five nodes may make two retries for each service.
    set_bounds(nodes, msgspec.structs.replace(_BOUNDS, retry_reserve=15))
    async with run_nodes(store, nodes):
        response = await front.call('/page/1', 'r1')
        states = [
            node.node._state.retry_budgets.read_state(ServiceName('store'))
            for node in portal.nodes
        ]
    assert response.status == 500
    assert shedding.arrivals == ['r1.1', 'r1.1']
    assert sum(state.calls for state in states) == 1
    assert sum(state.retries for state in states) == 1
    assert not sum(state.requests for state in states)
