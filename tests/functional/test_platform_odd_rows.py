"""Rows that another writer left among those of the store.

Guards against nodes that end, or no longer follow the store, because of one odd
row, also at each of their restarts.
"""

import asyncio
import json
from functools import partial

import pytest

from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

_DEPTH = 100_000
_NESTED = b''.join((b'{"more":' * _DEPTH, b'1', b'}' * _DEPTH))
_HUGE_DURATION = json.dumps({
    'service': 'odd',
    'target': 'v2',
    'duration_s': 1e300,
}).encode()
_ODD_ROWS = {
    'nested order': ('op', 'rollout/odd', _NESTED),
    'order of endless duration': ('op', 'rollout/odd', _HUGE_DURATION),
    'nested configuration': ('op', 'config', _NESTED),
    'nested registration': ('bluebell-nodes', 'a-odd', _NESTED),
    'registration with a NUL': (
        'bluebell-nodes',
        'a-odd',
        json.dumps({'beacon': 'a\0b:7620'}).encode(),
    ),
    'registration with a port out of range': (
        'bluebell-nodes',
        'a-odd',
        b'{"beacon":"127.0.0.1:99999","failure_domain":"a"}',
    ),
    'nested status': ('status', 'rollout/odd', _NESTED),
}


def write_config(store: SimulatedStore, revision: int, prefix: str) -> None:
    route = make_route_json(prefix, prefix, 'store')
    store.put('op', 'config', make_document_json(revision, route))


def make_nodes(store: SimulatedStore) -> list[PlatformNode]:
    return [
        PlatformNode(f'node-{number}', 'store', store, respond_signed(b'x'))
        for number in range(2)
    ]


async def has_status(node: PlatformNode, path: str, status: int) -> bool:
    return (await node.call(path)).status == status


@pytest.mark.parametrize('name', _ODD_ROWS)
async def test_nodes_go_on_after_an_odd_row(name: str) -> None:
    """While they run, with the next change, and after a start."""
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = make_nodes(store)
    async with run_nodes(store, nodes):
        store.put_bytes(*_ODD_ROWS[name])
        await asyncio.sleep(0.5)
        store.put(
            'op',
            'rollout/store',
            {'service': 'store', 'target': 'v2', 'duration_s': 60},
        )
        write_config(store, 2, '/b/')
        for node in nodes:
            await wait_until(partial(has_status, node, '/b/1', 200))
        await wait_until(lambda: has_rollout(store))
    if _ODD_ROWS[name][1] == 'config':
        return
    started = make_nodes(store)
    async with run_nodes(store, started):
        for node in started:
            assert await has_status(node, '/b/1', 200)


async def has_rollout(store: SimulatedStore) -> bool:
    return store.read('status', 'rollout/store') is not None
