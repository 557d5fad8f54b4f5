"""Odd rows, heartbeats, headers and beacons, whoever sent them.

Guards against processes that end because of one entry of another writer: very
deeply nested, with numbers too large, or with addresses that can't be used.
Whatever the bytes are, a decoder returns a model or raises one of the project's
errors, and a model that it returns can be used and sent on.
"""

import datetime as dt
import json
from collections.abc import Callable, Iterator

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.fleet.beacons import decode_beacon, encode_beacon
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import (
    NodeId,
)
from bluebellslip._internal.models.rollouts import RolloutStatus
from bluebellslip._internal.proxy.routed_request import (
    ROUTING_HEADER,
    _read_header,
    decode_load,
)
from bluebellslip._internal.proxy.server_notices import parse_rate_limit
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip_platform.config_wire import decode_config
from bluebellslip_platform.heartbeat_wire import decode_heartbeat
from bluebellslip_platform.rollout_wire import decode_order, decode_status
from bluebellslip_platform.row_wire import decode_rows
from bluebellslip_platform.store_client import StoreResponse
from lib.beacon_network import BeaconNetwork
from lib.fleet import (
    ORDERS,
    SECOND,
    SERVER_ADDRESS,
    make_beacon,
    make_server_beacon,
)
from lib.simulated_platform import make_document_json, make_route_json

_DEPTH = 100_000
_NESTED = b'[' * _DEPTH + b']' * _DEPTH
_NESTED_OBJECTS = b''.join((b'{"more":' * _DEPTH, b'1', b'}' * _DEPTH))
_ODD_VALUES = (
    None,
    True,
    '',
    '\0',
    'x' * 300,
    '10.0.0.1:0x1',
    'host:99999',
    'ho st:80',
    'a\0b:80',
    '..:80',
    [],
    {},
    -1,
    0,
    1e300,
    -1e300,
    10**15,
    2**53,
    2**63,
    2**64,
    10**30,
    int('9' * 400),
)
_CONFIG = make_document_json(3, make_route_json('r', '/a/', 'orders'))
_ORDER = {'service': 'orders', 'target': 'v2', 'duration_s': 15}
_STATUS = {'target': 'v2', 'state': 'running', 'order_ver': 7}
_HEARTBEAT = {
    'service': 'orders',
    'address': str(SERVER_ADDRESS),
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'ready',
    'seq': 1,
    'born': 1000,
    'cold_remaining_s': 0,
}
_HEADER = ['orders', 'r', True, 1, 100, 50, 'c', 1000, 'i-1', 10, False, 1, 100]
_LOAD = [1, 0, 12, 50.5, 0.1, 100]
_ROWS = {
    'ver': 7,
    'rows': [{'table': 'op', 'key': 'config', 'ver': 5, 'value': 'e30='}],
    'more_pages': False,
}


def use_config(body: bytes) -> None:
    record = decode_config(body)
    encode_beacon(make_beacon('x', revision=record.config.revision))
    for route in record.config.routes:
        assert SECOND + route.timeout + route.target_latency
        sum(destination.weight for destination in route.destinations)


def use_order(body: bytes) -> None:
    clock = ManualClock()
    clock.advance(SECOND)
    tracker = RolloutTracker(clock, NodeId('x'), 1, 0.1, lambda service: ())
    rollout = tracker.add_order(decode_order(ORDERS, body, 7), dt.timedelta())
    tracker.refresh()
    tracker.decide(rollout)
    beacon = msgspec.structs.replace(
        make_beacon('x'), rollouts=tracker.make_beacons(None)
    )
    decode_beacon(encode_beacon(beacon))


def use_status(body: bytes) -> None:
    status: RolloutStatus = decode_status(ORDERS, body, 9)
    assert status.order_revision >= 0


def use_heartbeat(body: bytes) -> None:
    clock = ManualClock()
    clock.advance(SECOND)
    server = LocalServer(clock, ORDERS, SERVER_ADDRESS, SECOND)
    server.apply_heartbeat(decode_heartbeat('i-1', body))


def use_header(body: bytes) -> None:
    header = _read_header({ROUTING_HEADER: body})
    for time in (header.time_left, header.objective_left, header.max_wait):
        assert SECOND + dt.timedelta(milliseconds=time) is not None


def use_load(body: bytes) -> None:
    load = decode_load(body)
    if load is not None:
        assert SECOND + dt.timedelta(milliseconds=load.hold_ms)


def use_rows(body: bytes) -> None:
    decode_rows(StoreResponse(200, body, 1))


_USES: dict[str, tuple[Callable[[bytes], None], object]] = {
    'configuration': (use_config, _CONFIG),
    'order': (use_order, _ORDER),
    'status': (use_status, _STATUS),
    'heartbeat': (use_heartbeat, _HEARTBEAT),
    'routing header': (use_header, _HEADER),
    'load': (use_load, _LOAD),
    'rows': (use_rows, _ROWS),
}


def list_changed(document: object) -> Iterator[object]:
    """Yield a document with each of its values replaced by each odd one."""
    yield from _ODD_VALUES
    if isinstance(document, dict):
        items = list(document.items())
    elif isinstance(document, list):
        items = list(enumerate(document))
    else:
        return
    for key, value in items:
        for changed in list_changed(value):
            copy = document.copy()
            copy[key] = changed
            yield copy


def use(name: str, body: bytes) -> None:
    try:
        _USES[name][0](body)
    except BluebellError:
        return


@pytest.mark.parametrize('name', _USES)
def test_unchanged_example_is_used(name: str) -> None:
    use_document, document = _USES[name]
    use_document(json.dumps(document).encode())


@pytest.mark.parametrize('name', _USES)
def test_odd_value_anywhere_is_used_or_refused(name: str) -> None:
    for document in list_changed(_USES[name][1]):
        use(name, json.dumps(document).encode())


@pytest.mark.parametrize('name', _USES)
def test_deep_nesting_anywhere_is_refused(name: str) -> None:
    use(name, _NESTED)
    use(name, _NESTED_OBJECTS)
    text = json.dumps(_USES[name][1]).encode()
    start, end = text[:-1], text[-1:]
    use(name, b''.join((start, b',"more":', _NESTED, end)))
    use(name, b''.join((start, b',', _NESTED_OBJECTS, end)))


@pytest.mark.parametrize('name', _USES)
@given(body=st.binary(max_size=300))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_any_bytes_are_used_or_refused(name: str, body: bytes) -> None:
    use(name, body)


def _make_large_beacon() -> list[object]:
    server = make_server_beacon('i-1', rate_limit=5)
    tracker = RolloutTracker(
        ManualClock(), NodeId('x'), 1, 0.1, lambda service: ()
    )
    tracker.add_order(
        decode_order(ORDERS, json.dumps(_ORDER).encode(), 7), dt.timedelta()
    )
    beacon = msgspec.structs.replace(
        make_beacon('four', server=server),
        rollouts=tracker.make_beacons(None),
        departures=(('five', 'i-5', 1000, 3),),
        retired_versions=(('orders', 'v0', 3, True, 5),),
        fatal_requests=((1, 2, (3,), 4, False),),
    )
    fields: list[object] = msgspec.msgpack.decode(encode_beacon(beacon))
    return fields


class _NoTransport:
    """Takes the place of a socket and drops what is sent."""

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Drop a datagram."""

    def close(self) -> None:
        """Do nothing."""


def test_odd_beacon_is_used_or_refused() -> None:
    """The node hears the beacon, and then sends its own round."""
    network = BeaconNetwork(('one', 'two'))
    network.introduce_all()
    network.clock.advance(SECOND)
    one = network.nodes['one']
    one.protocol.connect(_NoTransport())
    applied = one.table.size
    one.protocol.receive(msgspec.msgpack.encode(_make_large_beacon()))
    assert one.table.size == applied + 1
    for fields in list_changed(_make_large_beacon()):
        try:
            datagram = msgspec.msgpack.encode(fields)
        except OverflowError:
            continue
        one.protocol._receive(datagram)
        one.protocol.broadcast(0, has_update=True)


@given(datagram=st.binary(max_size=300))
@settings(derandomize=True, deadline=None, max_examples=100)
def test_any_datagram_is_used_or_refused(datagram: bytes) -> None:
    with pytest.raises(BluebellError):
        decode_beacon(datagram)


@given(text=st.binary(max_size=400))
@settings(derandomize=True, deadline=None)
def test_any_limit_of_a_server_can_be_reported(text: bytes) -> None:
    for limit in (text, b'9' * len(text)):
        rate = parse_rate_limit(limit)
        server = make_server_beacon('i-1', rate_limit=rate)
        decode_beacon(encode_beacon(make_beacon('x', server=server)))
