"""Configurations with one odd entry, through real nodes.

Guards against a version that is left out whole for one entry, so that the key
that it takes away is accepted on and the route that it adds is missing.
"""

import asyncio

import pytest

from bluebellslip._internal.models.mesh_settings import Bounds
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

_KEY = 'key-of-depot'
_BOUNDS = Bounds(strict_revoke=True, revoke=5)
_SHORT = Bounds(strict_revoke=True, revoke=1.5)
_GOOD = {'name': 'good', 'api_keys': ['a', 'b']}


def _account(**fields: object) -> JsonObject:
    return {'tenants': [_GOOD, {'name': 'odd', 'api_keys': ['c']} | fields]}


def _route(**fields: object) -> JsonObject:
    return {'routes': [make_route_json('odd', '/odd/', 'store') | fields]}


_ODD_PARTS: dict[str, JsonObject] = {
    'burst without a rate': _account(rate_per_s=0, burst=50),
    'empty key': _account(api_keys=['', 'c']),
    'key of two accounts': _account(api_keys=['a']),
    'account twice': _account(name='good'),
    'null rate': _account(rate_per_s=None),
    'null burst': _account(burst=None),
    'null keys': _account(api_keys=None),
    'tab in a name': _account(name='o\td'),
    'line break in a name': _account(name='o\nd'),
    'negative rate': _account(rate_per_s=-1),
    'odd account': {'tenants': [_GOOD, 7]},
    'no weight': _route(
        service=None, weighted_clusters=[{'service': 'store', 'weight': 0}]
    ),
    'null clusters': _route(weighted_clusters=None),
    'odd clusters': _route(weighted_clusters=[{'service': 'store'}]),
    'null attempts': _route(max_attempts=None),
    'null timeout': _route(timeout_s=None),
    'odd prefix': _route(prefix='odd'),
    'null health path': {'services': [{'name': 'store', 'health_path': None}]},
    'no limits': {'limits': None},
}


def _make_document(revision: int, odd: JsonObject, *keys: str) -> JsonObject:
    document = make_document_json(
        revision,
        make_route_json('read', '/read/', 'store'),
        make_route_json(f'new-{revision}', f'/new-{revision}/', 'store'),
        *odd.get('routes', ()),
    )
    depot = {'name': 'depot', 'api_keys': list(keys)}
    accounts = [depot, *odd.get('tenants', [_GOOD])]
    return (
        document
        | {name: odd[name] for name in odd if name != 'routes'}
        | {'tenants': accounts}
    )


async def test_odd_entry_keeps_no_other_change_from_being_applied() -> None:
    """In each version one key is removed and one route added."""
    store = SimulatedStore()
    store.put('op', 'config', _make_document(1, {}, _KEY))
    nodes = [
        PlatformNode(
            name,
            service,
            store,
            respond_signed(service.encode()),
            domain=domain,
            bounds=_BOUNDS,
        )
        for name, service, domain in (
            ('front', 'art', 'a'),
            ('back', 'store', 'a'),
            ('far', 'store', 'b'),
        )
    ]
    revision = 1
    async with run_nodes(store, nodes):
        for name, odd in _ODD_PARTS.items():
            for node in nodes:
                served = await node.call('/read/1', api_key=_KEY)
                assert served.status == 200
            revision += 2
            store.put('op', 'config', _make_document(revision, odd, 'other'))
            for node in nodes:
                await _wait_until_applied(node, revision, name)
            revision += 2
            store.put('op', 'config', _make_document(revision, {}, _KEY))
            for node in nodes:
                await _wait_until_served(node, revision)


async def _wait_until_applied(
    node: PlatformNode, revision: int, name: str
) -> None:
    async def is_applied() -> bool:
        removed = await node.call('/read/1', api_key=_KEY)
        added = await node.call(f'/new-{revision}/1', api_key='a')
        return (removed.status, added.status) == (401, 200)

    try:
        await wait_until(is_applied, 5)
    except TimeoutError:
        raise AssertionError(f'not applied at {node.name}: {name}') from None


async def _wait_until_served(node: PlatformNode, revision: int) -> None:
    async def is_served() -> bool:
        added = await node.call(f'/new-{revision}/1', api_key=_KEY)
        return added.status == 200

    await wait_until(is_served)


async def test_key_is_not_accepted_on_below_a_version_that_nobody_can_read():
    """The lease was renewed from answers with that version."""
    store = SimulatedStore()
    store.put('op', 'config', _make_document(1, {}, _KEY))
    nodes = [
        PlatformNode(name, 'store', store, respond_signed(b'x'), bounds=_SHORT)
        for name in ('node-0', 'node-1')
    ]
    async with run_nodes(store, nodes):
        for node in nodes:
            await _wait_until_served(node, 1)
        store.put('op', 'config', {'version': 3, 'routes': 'none'})
        await asyncio.sleep(_SHORT.revoke)
        for node in nodes:
            refused = await node.call('/read/1', api_key=_KEY)
            assert refused.status == 503
        store.put('op', 'config', _make_document(5, {}, _KEY))
        for node in nodes:
            await _wait_until_served(node, 5)


async def test_route_without_a_destination_is_refused_at_once() -> None:
    """No shorter prefix may take its requests."""
    store = SimulatedStore()
    document = make_document_json(
        1,
        make_route_json('all', '/', 'store'),
        *_ODD_PARTS['no weight']['routes'],
    )
    store.put('op', 'config', document)
    node = PlatformNode('node', 'store', store, respond_signed(b'store'))
    async with run_nodes(store, [node]):
        refused = await node.call('/odd/1')
        assert (await node.call('/1')).status == 200
    assert refused.status == 503
    assert float(refused.headers['retry-after']) > 0
