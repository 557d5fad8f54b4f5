"""Tests of servers that name a limit on their requests, or that they leave.

They guard against a server in need that gets more requests than it takes from
all nodes together, and against requests to a server after its node's peers have
passed on that it leaves.
"""

import asyncio
import contextlib
import dataclasses
from collections.abc import AsyncGenerator

import anyio
import pytest

from bluebellslip._internal.models.servers import ServerState
from lib.limiting_server import LimitingServer
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    run_nodes,
)

pytestmark = pytest.mark.anyio

_CONFIG = make_document_json(
    3, make_route_json('r-page', '/page/', 'portal', timeout_s=10)
)
_FRONTS = 8
_WINDOW_S = 4
# Time for all nodes to learn of a limit.
_LEARNING_S = 0.5


def find_limit(limit: float) -> float:
    """Return what a server with a limit may get within a window."""
    return 1.5 * limit * _WINDOW_S + 5


@contextlib.asynccontextmanager
async def run_mesh(
    servers: list[LimitingServer],
) -> AsyncGenerator[tuple[list[PlatformNode], list[PlatformNode]], None]:
    """Run a node beside each server, and further nodes with callers."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    backs = [
        PlatformNode(f'portal-{number}', 'portal', store, server.handle)
        for number, server in enumerate(servers)
    ]
    fronts = [
        PlatformNode(f'front-{number}', 'art', store, LimitingServer().handle)
        for number in range(_FRONTS)
    ]
    async with run_nodes(store, [*backs, *fronts]):
        yield backs, fronts


async def send_steadily(
    fronts: list[PlatformNode], rate: float, seconds: float
) -> list[int]:
    """Send requests at a rate from all nodes in turn; return the statuses."""
    statuses: list[int] = []

    async def send(number: int) -> None:
        front = fronts[number % len(fronts)]
        response = await front.call('/page/1', f'r{number}')
        statuses.append(response.status)

    async with anyio.create_task_group() as group:
        for number in range(int(rate * seconds)):
            group.start_soon(send, number)
            await asyncio.sleep(1 / rate)
    return statuses


@pytest.mark.parametrize('status', [200, 500])
async def test_server_gets_no_more_than_its_limit_from_all_nodes(
    status: int,
) -> None:
    limited, other = LimitingServer(), LimitingServer()
    limited.limit = '8'
    limited.status = status
    async with run_mesh([limited, other]) as (_, fronts):
        statuses = await send_steadily(fronts, 60, 6)
    assert limited.named_at is not None
    most = limited.count_most(_WINDOW_S, limited.named_at + _LEARNING_S)
    assert most <= find_limit(8)
    assert len(statuses) == 360


async def test_request_over_the_only_limit_is_refused_at_once() -> None:
    limited = LimitingServer()
    limited.limit = '5'
    async with run_mesh([limited]) as (_, fronts):
        statuses = await send_steadily(fronts, 40, 6)
    assert limited.named_at is not None
    most = limited.count_most(_WINDOW_S, limited.named_at + _LEARNING_S)
    assert most <= find_limit(5)
    assert set(statuses) <= {200, 503}


async def test_server_that_says_that_it_leaves_gets_no_more_requests() -> None:
    """Its heartbeats still say that it is ready."""
    leaving, other = LimitingServer(), LimitingServer()
    async with run_mesh([leaving, other]) as (backs, fronts):
        await send_steadily(fronts, 40, 1)
        assert leaving.arrivals
        leaving.leaving = True
        await send_steadily(fronts, 40, 1)
        await backs[0].send_heartbeat()
        arrived = len(leaving.arrivals)
        statuses = await send_steadily(fronts, 40, 1)
    assert len(leaving.arrivals) == arrived
    assert set(statuses) == {200}


async def test_node_that_passed_on_that_a_server_leaves_remembers_it() -> None:
    """The node beside the server has started again and knows nothing of it."""
    leaving, other = LimitingServer(), LimitingServer()
    leaving.leaving = True
    async with run_mesh([leaving, other]) as (backs, fronts):
        await send_steadily(fronts, 60, 1)
        forgetful = backs[0].node._state.server
        forgetful._info = dataclasses.replace(
            forgetful._info, state=ServerState.READY
        )
        backs[0].node._apply_server_change()
        await anyio.sleep(0.3)
        arrived = len(leaving.arrivals)
        told = {
            number
            for number, front in enumerate(fronts)
            if front.node._state.peer_table.departures.make_reports()
        }
        await send_steadily([fronts[number] for number in told], 60, 1)
    assert told
    assert len(leaving.arrivals) == arrived
