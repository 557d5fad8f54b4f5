"""Decoding of the platform's heartbeats, configurations and roll-outs.

Guards against malformed or truncated documents that would be applied in part,
and against unknown fields or kinds that would make a document unreadable.
"""

import datetime as dt
import json
from typing import Any

import pytest

from bluebellslip._internal.exceptions import (
    MalformedError,
    PlatformGarbledError,
)
from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.models.servers import Lifetime, ServerState
from bluebellslip_platform.config_wire import decode_config
from bluebellslip_platform.heartbeat_wire import decode_heartbeat
from bluebellslip_platform.rollout_wire import (
    decode_order,
    decode_status,
    encode_status,
)
from lib.simulated_platform import make_document_json, make_route_json

_HEARTBEAT = {
    'service': 'orders',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 18,
    'state': 'draining',
    'cold_remaining_s': 1.5,
    'seq': 4,
    'born': 1700000000000,
    'something_new': True,
}


def encode(document: Any) -> bytes:
    return json.dumps(document).encode()


def test_heartbeat() -> None:
    heartbeat = decode_heartbeat('i-1', encode(_HEARTBEAT))
    assert heartbeat.lifetime == Lifetime(1700000000000, 'i-1')
    assert heartbeat.state is ServerState.DRAINING
    assert heartbeat.warmup_remaining == dt.timedelta(seconds=1.5)


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'slots': 'many'},
        {'born': None},
        {'born': 1.5},
        {'address': 'nowhere'},
        {'seq': '4'},
    ],
)
def test_malformed_heartbeat_is_refused(change: dict[str, Any]) -> None:
    with pytest.raises(MalformedError):
        decode_heartbeat('i-1', encode(_HEARTBEAT | change))


@pytest.mark.parametrize('missing', ['service', 'born', 'seq', 'state'])
def test_heartbeat_without_a_field_is_refused(missing: str) -> None:
    heartbeat = {
        name: _HEARTBEAT[name] for name in _HEARTBEAT if name != missing
    }
    with pytest.raises(MalformedError):
        decode_heartbeat('i-1', encode(heartbeat))


def test_configuration() -> None:
    split = [{'service': 'a', 'weight': 9}, {'service': 'b', 'weight': 1}]
    document = make_document_json(
        7,
        make_route_json('r-1', '/a/', 'a', weighted_clusters=split),
        make_route_json('r-2', '/b/', 'b', kind='upload', host='Shop.Example'),
        make_route_json('r-3', '/c/', 'b', kind='something_new'),
    )
    config = decode_config(encode(document)).config
    first, second, third = config.routes
    assert config.revision == 7
    assert [destination.weight for destination in first.destinations] == [9, 1]
    assert first.runs is ExecutionSemantics.IDEMPOTENT
    assert (second.runs, second.host) == (
        ExecutionSemantics.ONCE,
        'shop.example',
    )
    assert third.runs is ExecutionSemantics.ONCE
    assert config.bounds.idle_timeout == dt.timedelta(seconds=5)


@pytest.mark.parametrize(
    'change',
    [
        {'version': 'seven'},
        {'version': None},
        {'version': -1},
        {'routes': None},
        {'routes': {}},
    ],
)
def test_malformed_configuration_is_refused_as_a_whole(
    change: dict[str, Any],
) -> None:
    document = make_document_json(7, make_route_json('r-1', '/a/', 'a'))
    with pytest.raises(PlatformGarbledError):
        decode_config(encode(document | change))


def test_truncated_configuration_is_refused() -> None:
    body = encode(make_document_json(7, make_route_json('r-1', '/a/', 'a')))
    with pytest.raises(PlatformGarbledError):
        decode_config(body[:-20])


def test_order_and_status() -> None:
    order = decode_order(
        's', encode({'service': 's', 'target': 'v2', 'duration_s': 12.5}), 9
    )
    assert order.duration == dt.timedelta(seconds=12.5)
    for state in RolloutState:
        body = encode_status(order, state)
        status = decode_status('s', body, 11)
        assert (status.state, status.target) == (state, 'v2')
    assert json.loads(body)['state'] == 'rolled_back'


@pytest.mark.parametrize(
    'body', [b'', b'[]', b'{"state": "odd", "target": ""}']
)
def test_malformed_status_is_refused(body: bytes) -> None:
    with pytest.raises(PlatformGarbledError):
        decode_status('s', body, 1)
