"""Rows that another writer left in the tables of the store.

Guards against an odd row that hides the others, or withdraws an order.
"""

import asyncio
import json

import pytest

from bluebellslip._internal.models.identity import ServiceName
from bluebellslip_platform.store import PlatformStore
from lib.fleet import ORDERS
from lib.simulated_platform import make_document_json, make_route_json
from lib.table_store import TableStore

_DEPTH = 100_000
_CONFIG = make_document_json(3, make_route_json('r', '/a/', 'orders'))
_ORDER = {'service': 'orders', 'target': 'v2', 'duration_s': 15}
_ODD_BODIES = (
    b'[' * _DEPTH + b']' * _DEPTH,
    b''.join((b'{"more":' * _DEPTH, b'1', b'}' * _DEPTH)),
    b'',
    b'\xff',
    b'{}',
    json.dumps(_ORDER | {'duration_s': 1e300}).encode(),
    json.dumps(_ORDER | {'duration_s': -1}).encode(),
    json.dumps(_ORDER | {'target': ''}).encode(),
    json.dumps(_ORDER).encode(),
)


@pytest.mark.parametrize('body', _ODD_BODIES)
def test_odd_row_leaves_the_others_in_force(body: bytes) -> None:
    table = TableStore()
    table.put('op', 'config', _CONFIG)
    table.put('op', 'rollout/orders', _ORDER)
    table.put_bytes('op', 'rollout/stock', body)
    table.put_bytes('bluebell-nodes', 'odd', body)
    table.put('bluebell-nodes', 'odd-2', {'beacon': 'a\0b:80'})
    table.put('bluebell-nodes', 'sound', {'beacon': '10.0.0.1:80'})
    table.put_bytes('status', 'rollout/stock', body)
    store = PlatformStore(table)
    update = asyncio.run(store.read_desired_state())
    assert update.config is not None
    assert [order.service for order in update.rollouts] == [ORDERS]
    assert update.unreadable == (ServiceName('stock'),)
    nodes = asyncio.run(store.read_nodes())
    assert [entry.node for entry in nodes] == ['sound']
    asyncio.run(store.read_statuses())
