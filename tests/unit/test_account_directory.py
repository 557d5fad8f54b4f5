"""Accounts of requests.

Guards against requests that run without a known key, final refusals by a
configuration that is known to be replaced, and keys that stay in requests.
"""

from random import Random
from unittest.mock import Mock

import pytest

from bluebellslip._internal.accounts.directory import AccountDirectory
from bluebellslip._internal.exceptions import (
    NotReadyError,
    UnauthenticatedError,
)
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.proxy.request_keys import KeyLease, RequestKeys
from lib.accounts import make_account, make_config, make_route
from lib.proxy_requests import METADATA_HEADERS, make_inbound_request

_OPEN = make_route('open', allow_anonymous=True)
_CLOSED = make_route('closed')
_DEPOT = make_account('depot', 'k1', 'k2', priority=0)
_SHOP = make_account('shop', 'k3')
_CONFIG = make_config(1, _DEPOT, _SHOP)
_DIRECTORY = AccountDirectory.from_config(_CONFIG)
_TABLE = RoutingTable.from_config(_CONFIG, Random(1))


def _make_keys(
    table: RoutingTable = _TABLE, lease: KeyLease | None = None
) -> RequestKeys:
    if lease is None:
        lease = Mock(is_strict=False)
    return RequestKeys(Mock(table=table), METADATA_HEADERS, lease)


@pytest.mark.parametrize('rule', [_OPEN, _CLOSED])
@pytest.mark.parametrize(
    ('key', 'account'), [(b'k1', _DEPOT), (b'k2', _DEPOT), (b'k3', _SHOP)]
)
def test_known_key_identifies_its_account(rule, key, account):
    assert _DIRECTORY.identify(key, rule) is account


@pytest.mark.parametrize('rule', [_OPEN, _CLOSED])
@pytest.mark.parametrize('key', [b'k4', b'', b'k1 ', b'K1', b'\xff'])
def test_unknown_key_is_refused_on_any_route(rule, key):
    with pytest.raises(UnauthenticatedError) as refused:
        _DIRECTORY.identify(key, rule)

    assert 'k4' not in str(refused.value)


def test_only_an_anonymous_route_needs_no_key():
    assert _DIRECTORY.identify(None, _OPEN) is None
    with pytest.raises(UnauthenticatedError):
        _DIRECTORY.identify(None, _CLOSED)


def test_key_and_forged_account_are_removed_from_the_request():
    request = make_inbound_request(
        host=b'h', api_key=b'k1', client_account=b'shop'
    )

    assert _make_keys().identify(_TABLE, _CLOSED, request) is _DEPOT
    assert request.headers == [(b'host', b'h')]
    assert request.fields == {b'host': b'h'}


def test_refused_key_is_removed_too():
    request = make_inbound_request(api_key=b'k4')

    with pytest.raises(UnauthenticatedError):
        _make_keys().identify(_TABLE, _OPEN, request)
    assert not request.headers
    assert not request.fields


@pytest.mark.parametrize('rule', [_OPEN, _CLOSED])
def test_repeated_key_is_unknown(rule):
    """Another program could read the other one of two keys."""
    request = make_inbound_request(api_key=b'k1')
    request.headers.append((b'api-key', b'k1'))

    with pytest.raises(UnauthenticatedError):
        _make_keys().identify(_TABLE, rule, request)
    assert not request.headers


def test_refusal_is_not_final_while_a_newer_configuration_is_known():
    freshness = Mock()
    freshness.check_final.side_effect = NotReadyError('newer')
    keys = RequestKeys(freshness, METADATA_HEADERS, Mock(is_strict=False))

    for fields in ({'api_key': b'k4'}, {}):
        with pytest.raises(NotReadyError):
            keys.identify(_TABLE, _CLOSED, make_inbound_request(**fields))


def test_refusal_is_not_final_while_a_fact_names_a_newer_configuration():
    lease = Mock(is_strict=False)
    lease.check_final.side_effect = NotReadyError('newer')

    with pytest.raises(NotReadyError):
        _make_keys(lease=lease).identify(
            _TABLE, _CLOSED, make_inbound_request(api_key=b'k4')
        )


@pytest.mark.parametrize('key', [b'k1', b'k4'])
def test_expired_lease_refuses_any_key_but_no_anonymous_request(key):
    lease = Mock(is_strict=False)
    lease.check.side_effect = NotReadyError('old')
    keys = _make_keys(lease=lease)

    with pytest.raises(NotReadyError):
        keys.identify(_TABLE, _OPEN, make_inbound_request(api_key=key))
    assert keys.identify(_TABLE, _OPEN, make_inbound_request()) is None


def test_headers_pass_through_without_accounts():
    config = make_config(1)
    request = make_inbound_request(api_key=b'k', client_account=b'a')
    before = list(request.headers)
    table = RoutingTable.from_config(config, Random(1))
    keys = _make_keys(table)

    assert keys.identify(table, _CLOSED, request) is None
    keys.strip(request)
    assert request.headers == before
    assert request.fields == dict(before)


def test_key_that_an_outdated_node_passes_on_is_removed():
    table = RoutingTable.from_config(make_config(1, _DEPOT), Random(1))
    request = make_inbound_request(api_key=b'k', client_account=b'a')
    _make_keys(table).strip(request)

    assert not request.headers


@pytest.mark.parametrize('comes_from_peer', [True, False])
@pytest.mark.parametrize('is_strict', [True, False])
def test_key_stays_secret_when_the_accounts_are_removed(
    is_strict, comes_from_peer
):
    """A strict deployment has keys, also before the first account is seen."""
    table = RoutingTable.from_config(make_config(2), Random(1))
    keys = _make_keys(table, Mock(is_strict=is_strict))
    if not is_strict:
        keys.identify(_TABLE, _OPEN, make_inbound_request())
    request = make_inbound_request(api_key=b'k1', client_account=b'depot')
    if comes_from_peer:
        keys.strip(request)
    else:
        assert keys.identify(table, _CLOSED, request) is None
    assert not request.headers
    assert not request.fields
