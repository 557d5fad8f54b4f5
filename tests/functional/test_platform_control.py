"""Configuration and roll-outs from the stand-in of the users' store."""

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


async def answers(node: PlatformNode, path: str, status: int) -> bool:
    return (await node.call(path)).status == status


async def test_change_comes_into_force_on_every_node() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store)
    async with run_nodes(store, nodes):
        write_config(store, 5, '/b/')
        for node in nodes:
            await wait_until(lambda node=node: answers(node, '/b/1', 200))
            assert (await node.call('/a/1')).status == 404


async def test_row_that_can_not_be_read_leaves_the_config_in_force() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1'])
    async with run_nodes(store, nodes):
        store.put('op', 'config', {'version': 2, 'routes': 'none'})
        store.put('op', 'rollout/store', ['not', 'an', 'order'])
        await asyncio.sleep(0.8)
        assert (await nodes[0].call('/a/1')).status == 200
        write_config(store, 3, '/c/')
        await wait_until(lambda: answers(nodes[0], '/c/1', 200))


async def test_lost_history_is_read_anew() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1'])
    async with run_nodes(store, nodes):
        write_config(store, 2, '/b/')
        await wait_until(lambda: answers(nodes[0], '/b/1', 200))
        store.oldest_version = 10**9
        write_config(store, 3, '/c/')
        await wait_until(lambda: answers(nodes[0], '/c/1', 200))


@pytest.mark.parametrize('mode', ['refusing', 'silent'])
async def test_requests_are_served_while_the_store_is_away(mode: str) -> None:
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
            await wait_until(lambda node=node: answers(node, '/b/1', 200))


async def test_node_without_a_configuration_says_so_and_runs_nothing() -> None:
    store = SimulatedStore()
    [node] = make_nodes(store, ['v1'])
    async with store.serving(), node.running():
        assert await node.get_ready_status() == 503
        got = await node.call('/a/1')
        assert got.status == 503
        assert float(got.headers['retry-after']) > 0


async def is_said(store: SimulatedStore, state: str) -> bool:
    status = store.read('status', 'rollout/store')
    return status is not None and status['state'] == state


async def test_roll_out_is_begun_by_one_node_and_nobody_rushes() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1', 'v1', 'v2'])
    async with run_nodes(store, nodes):
        order = {'service': 'store', 'target': 'v2', 'duration_s': 60}
        store.put('op', 'rollout/store', order)
        await wait_until(lambda: is_said(store, 'running'))
        bodies = [
            (await nodes[0].call('/a/1', f'id{number}')).body
            for number in range(20)
        ]
    assert bodies.count(b'v2') <= 3
    assert store.requested_names.count('rows-tx') == len(nodes) + 1


@pytest.mark.parametrize('mode', ['up', 'losing'])
async def test_roll_out_is_ended_once(mode: str) -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store, ['v1', 'v2'])
    async with run_nodes(store, nodes):
        store.mode = mode
        order = {'service': 'store', 'target': 'v2', 'duration_s': 3}
        store.put('op', 'rollout/store', order)
        for number in range(60):
            await nodes[0].call('/a/1', f'id{number}')
            await asyncio.sleep(0.02)
        store.mode = 'up'
        await wait_until(lambda: is_said(store, 'completed'))
        await wait_until(lambda: goes_to(nodes[0], b'v2'))


async def goes_to(node: PlatformNode, body: bytes) -> bool:
    bodies = {(await node.call('/a/1', f'x{n}')).body for n in range(5)}
    return bodies == {body}
