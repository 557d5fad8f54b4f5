"""Requests that end the servers that run them.

Guards against a request that is sent to one server after another although
three have ended under it, and against refusing those that ran beside it.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import pytest

from lib.calls import ReceivedRequest
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

# After the third server has ended, the request may reach this many more, in
# retries that are sent later than CONTACT_S.
SERVERS_TO_END = 3
MAX_LATER_ARRIVALS = 3
CONTACT_S = 3
RESTART_S = 0.3
FATAL_PATH = '/store/fatal'
POPULAR_PATH = '/store/popular'
SLOW_PATH = '/store/slow'


class CrashingMesh:
    """Nodes whose servers end when they run the request for FATAL_PATH."""

    def __init__(self, nodes: int) -> None:
        self.store = SimulatedStore()
        self.store.put(
            'op',
            'config',
            make_document_json(1, make_route_json('r', '/store/', 'store')),
        )
        self.ended: list[str] = []
        self.restarts: set[asyncio.Task[None]] = set()
        self.nodes = [
            self._make_node(f'node-{number}', 'ab'[number % 2])
            for number in range(nodes)
        ]

    def _make_node(self, name: str, domain: str) -> PlatformNode:
        async def handle(
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
            request: ReceivedRequest,
        ) -> None:
            path = request.request_line.split()[1]
            if path == FATAL_PATH:
                self._end_server(node)
                return
            await asyncio.sleep(0.3 if path == SLOW_PATH else 0)
            writer.write(encode_signed_response(request, b'served'))

        node = PlatformNode(name, 'store', self.store, handle, domain=domain)
        return node

    def _end_server(self, node: PlatformNode) -> None:
        self.ended.append(node.name)
        node.server.crash()
        self.restarts.add(asyncio.create_task(self._restart(node)))

    async def _restart(self, node: PlatformNode) -> None:
        await asyncio.sleep(RESTART_S)
        await node.restart_server()

    async def call(self, number: int, path: str, **options: object) -> int:
        """Send a request at one of the nodes; return the status."""
        node = self.nodes[number % len(self.nodes)]
        response = await node.call(path, f'{path}-{number}', **options)
        return response.status

    async def call_until_ended(self, count: int, **options: object) -> None:
        """Repeat the fatal request until this many servers have ended."""
        for number in range(100):
            if len(self.ended) >= count:
                return
            with contextlib.suppress(ConnectionError):
                await self.call(number, FATAL_PATH, **options)
            await asyncio.sleep(0.1)

    async def wait_for_servers(self) -> None:
        """Wait until all servers listen and are known everywhere."""

        async def are_known() -> bool:
            return all(
                len(node.node._state.peer_table.endpoints('store'))  # type: ignore[arg-type]
                == len(self.nodes)
                for node in self.nodes
            )

        await asyncio.gather(*self.restarts)
        await wait_until(are_known)


@pytest.fixture
async def mesh() -> AsyncGenerator[CrashingMesh, None]:
    crashing_mesh = CrashingMesh(4)
    async with run_nodes(crashing_mesh.store, crashing_mesh.nodes):
        yield crashing_mesh
        await asyncio.gather(*crashing_mesh.restarts)


@pytest.mark.parametrize(
    'options',
    [{}, {'method': 'POST', 'body': b'the same body'}],
    ids=['without-body', 'with-body'],
)
async def test_request_that_ended_three_servers_is_not_sent_to_more(
    mesh: CrashingMesh, options: dict[str, object]
) -> None:
    await mesh.call_until_ended(SERVERS_TO_END, **options)
    await asyncio.sleep(CONTACT_S)
    await mesh.wait_for_servers()
    earlier = len(mesh.ended)
    for number in range(12):
        await mesh.call(number, FATAL_PATH, **options)
        await mesh.wait_for_servers()
    assert len(mesh.ended) - earlier <= MAX_LATER_ARRIVALS


async def test_refusal_of_a_fatal_request_says_that_it_did_not_run(
    mesh: CrashingMesh,
) -> None:
    await mesh.call_until_ended(SERVERS_TO_END)
    await asyncio.sleep(CONTACT_S)
    await mesh.wait_for_servers()
    response = await mesh.nodes[0].call(FATAL_PATH)
    assert response.status == 503
    # A time would invite all its callers to come back together.
    assert 'retry-after' not in response.headers


async def test_requests_that_run_beside_a_fatal_one_are_not_refused(
    mesh: CrashingMesh,
) -> None:
    """The slow one runs at servers that end, and completes at others."""
    for ended in range(1, SERVERS_TO_END + 2):
        calls = [
            asyncio.create_task(mesh.call(number, SLOW_PATH))
            for number in range(8)
        ]
        await asyncio.sleep(0.1)
        await mesh.call_until_ended(ended)
        await asyncio.gather(*calls)
        await mesh.wait_for_servers()
    for number in range(8):
        assert await mesh.call(number, SLOW_PATH) == 200
        assert await mesh.call(number, POPULAR_PATH) == 200
