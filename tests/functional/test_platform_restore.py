"""A store that comes back from a copy some seconds old.

Guards against changes that are missed because the store gives out versions
again, against a node that stays unregistered, against a finished roll-out that
runs again, and against writes under conditions from before the restore.
"""

import asyncio
import datetime as dt

import pytest

from bluebellslip._internal.control.ports import (
    HistoryLostError,
    NodeRegistration,
    StatusChange,
)
from bluebellslip._internal.exceptions import PlatformDownError
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import (
    Address,
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.rollouts import RolloutOrder, RolloutState
from bluebellslip_platform.store import PlatformStore
from bluebellslip_platform.store_client import StoreClient
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

_ORDER = {'service': 'store', 'target': 'v2', 'duration_s': 3}


def make_node(
    store: SimulatedStore, number: int = 0, version: str = 'v1'
) -> PlatformNode:
    return PlatformNode(
        f'node-{number}',
        'store',
        store,
        respond_signed(version.encode()),
        version=version,
    )


def write_config(store: SimulatedStore, revision: int, prefix: str) -> None:
    route: JsonObject = make_route_json(prefix, prefix, 'store')
    store.put('op', 'config', make_document_json(revision, route))


async def has_status(node: PlatformNode, path: str, status: int) -> bool:
    return (await node.call(path)).status == status


async def has_rollout_state(store: SimulatedStore, state: str) -> bool:
    status = store.read('status', 'rollout/store')
    return status is not None and status['state'] == state


async def is_registered(store: SimulatedStore, node: PlatformNode) -> bool:
    return store.read('bluebell-nodes', node.name) is not None


async def are_registered(
    store: SimulatedStore, nodes: list[PlatformNode]
) -> bool:
    return all([await is_registered(store, node) for node in nodes])


def write_to_version(store: SimulatedStore, version: int) -> None:
    while store.version < version:
        store.put('servers', 'other', {})


def make_platform_store(store: SimulatedStore) -> PlatformStore:
    return PlatformStore(StoreClient(store.address, InMemoryCounters()))


async def test_change_under_a_version_given_out_again_is_applied() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    node = make_node(store)
    async with run_nodes(store, [node]):
        copy = store.copy()
        write_config(store, 2, '/b/')
        await wait_until(lambda: has_status(node, '/b/1', 200))
        await asyncio.sleep(1)
        version = store.version
        store.restore(copy)
        write_config(store, 3, '/c/')
        write_to_version(store, version)
        await wait_until(lambda: has_status(node, '/c/1', 200))


async def test_applied_config_stays_while_the_store_has_an_older_one() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    node = make_node(store)
    async with run_nodes(store, [node]):
        copy = store.copy()
        write_config(store, 2, '/b/')
        await wait_until(lambda: has_status(node, '/b/1', 200))
        store.restore(copy)
        for _ in range(20):
            assert (await node.call('/b/1')).status == 200
            await asyncio.sleep(0.05)
        assert node.counters.sums['store_restores'] == 1


async def test_node_registers_again() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    node = make_node(store)
    copy = store.copy()
    async with run_nodes(store, [node]):
        assert await is_registered(store, node)
        store.restore(copy)
        assert not await is_registered(store, node)
        await wait_until(lambda: is_registered(store, node))


async def test_node_on_standby_registers_again_by_a_beacon() -> None:
    """Two nodes of a failure domain watch the store, the third does not."""
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = [make_node(store, number) for number in range(3)]
    copy = store.copy()
    async with run_nodes(store, nodes):
        # A node that starts polls the store more often for up to 3 s.
        await asyncio.sleep(4)
        store.restore(copy)
        await wait_until(lambda: are_registered(store, nodes))
    assert store.requested_names.count('rows-tx') == 2 * len(nodes)


async def complete_rollout(store: SimulatedStore, node: PlatformNode) -> None:
    for number in range(60):
        await node.call('/a/1', f'id{number}')
        await asyncio.sleep(0.02)
    await wait_until(lambda: has_rollout_state(store, 'completed'))
    await wait_until(lambda: is_served_by_target(node))


async def is_served_by_target(node: PlatformNode) -> bool:
    bodies = {
        (await node.call('/a/1', f'x{number}')).body for number in range(5)
    }
    return bodies == {b'v2'}


@pytest.mark.parametrize('copied', ['before the order', 'while running'])
async def test_finished_rollout_is_stored_again(copied: str) -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = [make_node(store), make_node(store, 1, 'v2')]
    async with run_nodes(store, nodes):
        copy = store.copy()
        store.put('op', 'rollout/store', _ORDER)
        if copied == 'while running':
            await wait_until(lambda: has_rollout_state(store, 'running'))
            copy = store.copy()
        await complete_rollout(store, nodes[0])
        store.restore(copy)
        await asyncio.sleep(1)
        if copied == 'before the order':
            store.put('op', 'rollout/store', _ORDER)
        await wait_until(lambda: has_rollout_state(store, 'completed'))
        assert await is_served_by_target(nodes[0])
        assert await is_served_by_target(nodes[1])
    assert store.written_states == ['running', 'completed', 'completed']


async def test_replaced_order_in_the_copy_does_not_run_again() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    nodes = [make_node(store), make_node(store, 1, 'v2')]
    async with run_nodes(store, nodes):
        store.put('op', 'rollout/store', _ORDER | {'target': 'v0'})
        await wait_until(lambda: has_rollout_state(store, 'running'))
        copy = store.copy()
        store.put('op', 'rollout/store', _ORDER)
        await complete_rollout(store, nodes[0])
        store.restore(copy)
        for _ in range(20):
            assert await is_served_by_target(nodes[0])
            await asyncio.sleep(0.05)
        order_version = store.put('op', 'rollout/store', _ORDER)
        await wait_until(lambda: has_rollout_state(store, 'completed'))
    assert store.read('status', 'rollout/store') == {
        'target': 'v2',
        'state': 'completed',
        'service': 'store',
        'order_ver': order_version,
    }


async def test_position_from_before_a_restore_is_not_used() -> None:
    store = SimulatedStore()
    store.put('op', 'config', {})
    platform_store = make_platform_store(store)
    async with store.serving():
        copy = store.copy()
        write_config(store, 1, '/a/')
        position = (await platform_store.read_desired_state()).position
        version = store.version
        store.restore(copy)
        write_config(store, 2, '/b/')
        write_to_version(store, version)
        with pytest.raises(HistoryLostError):
            await platform_store.watch_desired_state(position, dt.timedelta())
        update = await platform_store.read_desired_state()
    assert update.config is not None
    assert update.config.config.revision == 2
    assert update.position > position


async def test_condition_from_before_a_restore_lets_no_write_through() -> None:
    """The status that another node wrote has the version of the lost one."""
    store = SimulatedStore()
    store.put('op', 'rollout/store', _ORDER)
    platform_store = make_platform_store(store)
    async with store.serving():
        update = await platform_store.read_desired_state()
        order = update.rollouts[0]
        copy = store.copy()
        lost = await platform_store.store_status(
            StatusChange(order, RolloutState.RUNNING, 0)
        )
        store.restore(copy)
        store.put(
            'status',
            'rollout/store',
            {'target': 'v2', 'state': 'rolled_back'},
        )
        await platform_store.read_nodes()
        with pytest.raises(PlatformDownError):
            await platform_store.store_status(
                StatusChange(order, RolloutState.COMPLETED, lost.revision)
            )
    assert await has_rollout_state(store, 'rolled_back')


async def test_late_response_from_before_a_restore_is_not_used() -> None:
    store = SimulatedStore()
    write_config(store, 1, '/a/')
    platform_store = make_platform_store(store)
    async with store.serving():
        position = (await platform_store.read_desired_state()).position
        store.era = 2
        late = asyncio.create_task(
            platform_store.watch_desired_state(
                position, dt.timedelta(seconds=5)
            )
        )
        await asyncio.sleep(0.1)
        store.era = 3
        await platform_store.read_nodes()
        store.era = 1
        write_config(store, 2, '/b/')
        with pytest.raises(PlatformDownError):
            await late


@pytest.mark.parametrize('era', [None, 0])
async def test_missing_or_fallen_era_changes_nothing(era: int | None) -> None:
    store = SimulatedStore()
    platform_store = make_platform_store(store)
    eras: list[int] = []
    platform_store.on_restore(eras.append)
    async with store.serving():
        write_config(store, 1, '/a/')
        position = (await platform_store.read_desired_state()).position
        store.era = era
        write_config(store, 2, '/b/')
        update = await platform_store.watch_desired_state(
            position, dt.timedelta()
        )
        await platform_store.register_node(
            NodeRegistration(NodeId('n'), Address('10.0.0.1', 1), 'a')
        )
    assert update.config is not None
    assert not eras


async def test_status_of_an_order_from_before_a_restore_is_not_stored() -> None:
    store = SimulatedStore()
    order = RolloutOrder(
        ServiceName('store'), VersionName('v2'), dt.timedelta(seconds=3), 7
    )
    platform_store = make_platform_store(store)
    async with store.serving():
        await platform_store.read_nodes()
        with pytest.raises(PlatformDownError):
            await platform_store.store_status(
                StatusChange(order, RolloutState.RUNNING, 0)
            )
    assert not store.written_states
