"""Tests of configuration and roll-outs from a simulated platform store.

They guard against changes that do not reach every node, requests that fail
while the store is unreachable or has invalid rows, and roll-outs that are
started or completed more than once.
"""

import asyncio
from collections.abc import Sequence

import pytest

from lib.simulated_platform import (
    JsonObject,
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio


def make_nodes(
    store: SimulatedStore, versions: Sequence[str] = ('v1', 'v1', 'v1')
) -> list[PlatformNode]:
    return [
        PlatformNode(
            f'node-{number}',
            'store',
            store,
            respond_signed(version.encode()),
            version=version,
        )
        for number, version in enumerate(versions)
    ]


def write_config(store: SimulatedStore, revision: int, *prefixes: str) -> None:
    routes: list[JsonObject] = [
        make_route_json(prefix, prefix, 'store') for prefix in prefixes
    ]
    store.put('op', 'config', make_document_json(revision, *routes))


async def has_status(node: PlatformNode, path: str, status: int) -> bool:
    return (await node.call(path)).status == status


async def test_config_change_is_applied_on_every_node() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store)
    async with run_nodes(store, nodes):
        write_config(store, 5, '/b/')
        for node in nodes:
            await wait_until(lambda node=node: has_status(node, '/b/1', 200))
            assert (await node.call('/a/1')).status == 404


async def test_invalid_rows_keep_the_applied_config() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1'])
    async with run_nodes(store, nodes):
        store.put('op', 'config', {'version': 2, 'routes': 'none'})
        store.put('op', 'rollout/store', ['not', 'an', 'order'])
        await asyncio.sleep(0.8)
        assert (await nodes[0].call('/a/1')).status == 200
        write_config(store, 3, '/c/')
        await wait_until(lambda: has_status(nodes[0], '/c/1', 200))


async def test_expired_feed_position_causes_a_full_read() -> None:
    """The store responds 410 to positions older than its history."""
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1'])
    async with run_nodes(store, nodes):
        write_config(store, 2, '/b/')
        await wait_until(lambda: has_status(nodes[0], '/b/1', 200))
        store.oldest_version = 10**9
        write_config(store, 3, '/c/')
        await wait_until(lambda: has_status(nodes[0], '/c/1', 200))


@pytest.mark.parametrize('mode', ['refusing', 'silent'])
async def test_requests_are_served_while_the_store_is_unreachable(
    mode: str,
) -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store)
    async with run_nodes(store, nodes):
        store.mode = mode
        await asyncio.sleep(0.5)
        assert (await nodes[0].call('/a/1')).status == 200
        store.mode = 'up'
        write_config(store, 2, '/b/')
        for node in nodes:
            await wait_until(lambda node=node: has_status(node, '/b/1', 200))


async def test_unconfigured_node_is_not_ready_and_refuses_requests() -> None:
    store = SimulatedStore()
    [node] = make_nodes(store, ['v1'])
    async with store.serving(), node.running():
        assert await node.get_ready_status() == 503
        response = await node.call('/a/1')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0


async def has_rollout_state(store: SimulatedStore, state: str) -> bool:
    status = store.read('status', 'rollout/store')
    return status is not None and status['state'] == state


async def test_rollout_is_started_by_one_node_at_a_small_share() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1', 'v1', 'v2'])
    async with run_nodes(store, nodes):
        desired_rollout = {'service': 'store', 'target': 'v2', 'duration_s': 60}
        store.put('op', 'rollout/store', desired_rollout)
        await wait_until(lambda: has_rollout_state(store, 'running'))
        bodies = [
            (await nodes[0].call('/a/1', f'id{number}')).body
            for number in range(20)
        ]
    assert bodies.count(b'v2') <= 3
    # One registration per node, and the start of the roll-out.
    assert store.requested_names.count('rows-tx') == len(nodes) + 1


@pytest.mark.parametrize('mode', ['up', 'losing'])
async def test_rollout_is_completed_once(mode: str) -> None:
    """In the mode ``losing``, writes take effect but get no response."""
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1', 'v2'])
    async with run_nodes(store, nodes):
        store.mode = mode
        desired_rollout = {'service': 'store', 'target': 'v2', 'duration_s': 3}
        store.put('op', 'rollout/store', desired_rollout)
        for number in range(60):
            await nodes[0].call('/a/1', f'id{number}')
            await asyncio.sleep(0.02)
        store.mode = 'up'
        await wait_until(lambda: has_rollout_state(store, 'completed'))
        await wait_until(lambda: is_served_only_by(nodes[0], b'v2'))


async def is_served_only_by(node: PlatformNode, body: bytes) -> bool:
    bodies = {(await node.call('/a/1', f'x{n}')).body for n in range(5)}
    return bodies == {body}
