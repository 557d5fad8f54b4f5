"""Generated configurations at the store's reader and at the peers' reader.

Guards against a valid configuration that is not applied as it was written, and
against an odd entry that keeps other changes of its version from being applied.
"""

import asyncio
import copy
import hashlib
import json
import zlib
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.control.peer_config import decompress_config
from bluebellslip._internal.models.mesh import ConfigRecord, RouteRule
from bluebellslip_platform.config_wire import decode_config
from bluebellslip_platform.store import PlatformStore
from lib.table_store import TableStore

JsonObject = dict[str, Any]

_VERSION = 7
_PLACES = ('routes', 'services', 'tenants')
_numbers = st.sampled_from([0, 1, 0.5, 50])
_clusters = st.lists(_numbers, min_size=1, max_size=3).filter(any)
# None stands for a field that is left out.
_optional_numbers = st.none() | _numbers
_ODD = (None, 0, -1, 1e308, '', 'x', [], {}, [None], {'name': None}, True)


def _omit(entry: JsonObject) -> JsonObject:
    return {name: value for name, value in entry.items() if value is not None}


@st.composite
def _routes(draw: st.DrawFn, index: int) -> JsonObject:
    weights = draw(st.none() | _clusters)
    clusters = weights and [
        {'service': f's{number}', 'weight': weight}
        for number, weight in enumerate(weights)
    ]
    return _omit({
        'name': f'r{index}',
        'host': 'shop.example',
        'prefix': f'/{index}/',
        'kind': draw(st.sampled_from(['safe', 'non_idempotent', 'upload'])),
        'timeout_s': draw(_numbers),
        'target_latency_s': draw(_numbers),
        'max_attempts': draw(st.sampled_from([0, 1, 3])),
        'priority': draw(st.sampled_from([None, 0, 4])),
        'service': None if clusters else 's0',
        'weighted_clusters': clusters,
        'allow_anonymous': draw(st.sampled_from([None, False, True])),
    })


@st.composite
def _accounts(draw: st.DrawFn, index: int) -> JsonObject:
    count = draw(st.integers(0, 2))
    return _omit({
        'name': f'account {index}',
        'api_keys': [f'key-{index}-{number}' for number in range(count)],
        'priority': draw(st.sampled_from([None, 0, 4])),
        'rate_per_s': draw(_optional_numbers),
        'burst': draw(_optional_numbers),
    })


@st.composite
def _documents(draw: st.DrawFn) -> JsonObject:
    """Return a configuration that the platform's pages allow."""
    counts = st.integers(0, 3)
    accounts = draw(st.none() | counts)
    return _omit({
        'version': _VERSION,
        'routes': [draw(_routes(index)) for index in range(draw(counts))],
        'services': [
            _omit({
                'name': f's{index}',
                'health_path': draw(st.sampled_from([None, '', '/health'])),
                'max_connections': draw(st.sampled_from([None, 1, 90])),
            })
            for index in range(draw(counts))
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 0,
            'header_timeout_s': 1,
            'idle_timeout_s': 0.5,
        },
        'tenants': None
        if accounts is None
        else [draw(_accounts(index)) for index in range(accounts)],
    })


def _read(document: JsonObject) -> ConfigRecord:
    """Read a configuration as from the store, and as from a peer."""
    table = TableStore()
    table.put('op', 'config', document)
    update = asyncio.run(PlatformStore(table).read_desired_state())
    assert update.config is not None
    body = update.config.body
    assert decode_config(decompress_config(zlib.compress(body))) == (
        update.config
    )
    return update.config


def _find_route(record: ConfigRecord, entry: JsonObject) -> RouteRule:
    found = {rule.prefix: rule for rule in record.config.routes}
    return found[entry['prefix']]


def _check_route(record: ConfigRecord, entry: JsonObject) -> None:
    rule = _find_route(record, entry)
    clusters = entry.get(
        'weighted_clusters', [{'service': entry.get('service'), 'weight': 1}]
    )
    assert [
        {'service': destination.service, 'weight': destination.weight}
        for destination in rule.destinations
    ] == [cluster for cluster in clusters if cluster['weight']]
    assert rule.name == entry['name']
    assert rule.timeout.total_seconds() == entry['timeout_s']
    assert rule.max_attempts == max(1, entry['max_attempts'])
    assert rule.priority == entry.get('priority', 0)
    assert rule.allow_anonymous == entry.get('allow_anonymous', False)


def _check_account(record: ConfigRecord, entry: JsonObject) -> None:
    accounts = {rule.name: rule for rule in record.config.accounts or ()}
    account = accounts[entry['name']]
    rate = entry.get('rate_per_s', 0)
    assert account.key_digests == tuple(
        hashlib.sha256(key.encode()).digest() for key in entry['api_keys']
    )
    assert account.rate == rate
    assert account.burst == bool(rate) * entry.get('burst', 0)
    assert account.priority == entry.get('priority')


def _check_service(record: ConfigRecord, entry: JsonObject) -> None:
    service = record.config.services[entry['name']]
    assert service.health_path == entry.get('health_path', '')
    assert service.max_connections == entry.get('max_connections', 64)


_CHECKS = dict(
    zip(_PLACES, (_check_route, _check_service, _check_account), strict=True)
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(document=_documents())
def test_allowed_configuration_is_applied_as_written(
    document: JsonObject,
) -> None:
    record = _read(document)
    assert record.config.revision == _VERSION
    assert not record.problems
    assert (record.config.accounts is None) is ('tenants' not in document)
    for place, check in _CHECKS.items():
        for entry in document.get(place, ()):
            check(record, entry)
    assert len(record.config.routes) == len(document['routes'])
    assert not record.config.bounds.body_bytes


@settings(derandomize=True, max_examples=400, deadline=None)
@given(document=_documents(), data=st.data())
def test_odd_entry_costs_no_other_entry(
    document: JsonObject, data: st.DataObject
) -> None:
    """A part of one entry, the entry or its list is replaced by odd values."""
    filled = [place for place in _PLACES if document.get(place)]
    place = data.draw(st.sampled_from([*filled, 'limits']))
    odd = copy.deepcopy(document)
    value = data.draw(st.sampled_from(_ODD))
    spared = None
    if place == 'limits' or (place != 'routes' and data.draw(st.booleans())):
        odd[place] = value
    else:
        spared = data.draw(st.integers(0, len(document[place]) - 1))
        entry = odd[place][spared]
        name = data.draw(st.sampled_from([None, *entry]))
        if name is None:
            odd[place][spared] = value
        else:
            entry[name] = value
    record = _read(odd)
    for checked, check in _CHECKS.items():
        for index, entry in enumerate(document.get(checked, ())):
            if checked != place or spared not in {None, index}:
                check(record, entry)
    if place == 'tenants' and spared is None and not isinstance(value, list):
        assert not record.config.accounts
        assert record.config.accounts is not None


@settings(derandomize=True, max_examples=100, deadline=None)
@given(document=_documents(), odd=st.sampled_from(_ODD))
def test_odd_limit_of_an_account_costs_none_of_its_keys(
    document: JsonObject, odd: object
) -> None:
    for name in ('rate_per_s', 'burst', 'priority'):
        changed = copy.deepcopy(document)
        for entry in changed.get('tenants', ()):
            entry[name] = odd
        accounts = _read(changed).config.accounts or ()
        assert [account.key_digests for account in accounts] == [
            account.key_digests
            for account in _read(document).config.accounts or ()
        ]


def test_number_out_of_range_costs_its_entry() -> None:
    body = json.dumps({
        'version': _VERSION,
        'routes': [],
        'services': [],
        'limits': {},
        'tenants': [
            {'name': 'a', 'api_keys': ['k'], 'rate_per_s': 'HUGE'},
            {'name': 'b', 'api_keys': ['l']},
        ],
    }).replace('"HUGE"', '1e999')
    accounts = decode_config(body.encode()).config.accounts or ()
    assert [account.name for account in accounts] == ['a', 'b']
    assert all(account.key_digests for account in accounts)
