"""Client accounts in a stored configuration."""

import hashlib

import msgspec
import pytest

from bluebellslip_platform.config_wire import decode_config

_LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 65536,
    'header_timeout_s': 3,
    'idle_timeout_s': 15,
}
_ACCOUNT = {'name': 'depot', 'api_keys': ['k1', 'k2'], 'rate_per_s': 5}


def _encode(*accounts):
    return msgspec.json.encode({
        'version': 1,
        'routes': [],
        'services': [],
        'limits': _LIMITS,
        'tenants': accounts,
    })


def test_keys_are_kept_as_digests_only():
    config = decode_config(_encode(_ACCOUNT)).config

    assert config.accounts[0].key_digests == tuple(
        hashlib.sha256(key).digest() for key in (b'k1', b'k2')
    )
    assert 'k1' not in repr(config)


def _read(*accounts):
    """Return the usable accounts: keys, rate and burst by name."""
    record = decode_config(_encode(*accounts))
    assert not any('k1' in problem for problem in record.problems)
    found = {
        account.name: (account.key_digests, account.rate, account.burst)
        for account in record.config.accounts
    }
    return found, len(record.problems)


def _digest(*keys):
    return tuple(hashlib.sha256(key.encode()).digest() for key in keys)


@pytest.mark.parametrize(
    ('odd', 'problems'),
    [
        ((_ACCOUNT | {'api_keys': ['k3']},), 1),
        (({'name': 'other', 'api_keys': ['k2']},), 1),
        ((_ACCOUNT | {'api_keys': ['k1']},), 2),
        (({'name': 'x', 'rate_per_s': -1},), 1),
        (({'name': 'x', 'rate_per_s': None},), 1),
        (({'name': 'x', 'burst': 10**400},), 1),
        (({'name': 'x', 'burst': 5},), 0),
        (({'name': 'x\r\ny: z'},), 1),
        (({'name': ' x'},), 1),
        (({'name': 'x\ty'},), 0),
        (({'name': ''},), 2),
        ((None, 7, [], 'x', {}), 5),
        (({'name': 'x', 'api_keys': 'k1'},), 1),
        (({'name': 'x', 'api_keys': None},), 1),
    ],
)
def test_odd_account_leaves_the_others_in_force(odd, problems):
    """A version that was left out for one kept a removed key alive."""
    for accounts in ((_ACCOUNT, *odd), (*odd, _ACCOUNT)):
        found, count = _read(*accounts)
        known = {key for keys, _, _ in found.values() for key in keys}
        assert known >= set(_digest('k1', 'k2'))
        assert found['depot'][1:] == (5, 0)
        assert count == problems


def test_shared_key_belongs_to_the_first_account():
    other = {'name': 'other', 'api_keys': ['k2', 'k3']}
    found, _ = _read(_ACCOUNT, other)
    assert found['depot'][0] == _digest('k1', 'k2')
    assert found['other'][0] == _digest('k3')


def test_keys_beside_an_odd_one_are_known():
    keys = ['', None, 7, 'k', {}, 'k']
    found, problems = _read({'name': 'depot', 'api_keys': keys})
    assert found['depot'][0] == _digest('k')
    assert problems == 5


def test_odd_limit_costs_the_limit_and_no_key():
    for odd in ({'rate_per_s': 'x', 'burst': 9}, {'rate_per_s': 0, 'burst': 9}):
        found, _ = _read({'name': 'depot', 'api_keys': ['k']} | odd)
        assert found == {'depot': (_digest('k'), 0, 0)}


@pytest.mark.parametrize('accounts', [None, 5, 'k1', {}, {'api_keys': ['k1']}])
def test_anything_but_a_list_of_accounts_lets_nobody_in(accounts):
    document = msgspec.json.decode(_encode()) | {'tenants': accounts}
    record = decode_config(msgspec.json.encode(document))
    assert record.config.accounts == ()
    assert len(record.problems) == 1


def test_missing_rate_is_no_limit():
    config = decode_config(_encode({'name': 'depot', 'api_keys': ['k']})).config

    assert config.accounts[0].rate == 0
    assert config.accounts[0].priority is None


def test_missing_accounts_are_not_the_same_as_none():
    """Without the field requests need no key, with no account none gets in."""
    document = msgspec.json.decode(_encode())
    assert decode_config(msgspec.json.encode(document)).config.accounts == ()
    del document['tenants']
    assert decode_config(msgspec.json.encode(document)).config.accounts is None
