"""Client accounts in a stored configuration."""

import hashlib

import msgspec
import pytest

from bluebellslip._internal.exceptions import PlatformGarbledError
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


@pytest.mark.parametrize(
    'accounts',
    [
        (_ACCOUNT, _ACCOUNT | {'api_keys': ['k3']}),
        (_ACCOUNT, {'name': 'other', 'api_keys': ['k2']}),
        (_ACCOUNT | {'api_keys': ['k1', 'k1']},),
        (_ACCOUNT | {'rate_per_s': -1},),
        ({'name': 'depot', 'api_keys': ['k1'], 'burst': 5},),
        (_ACCOUNT | {'name': 'depot\r\nx: y'},),
    ],
    ids=[
        'name-twice',
        'shared-key',
        'key-twice',
        'negative',
        'burst-alone',
        'second-header',
    ],
)
def test_contradicting_accounts_leave_the_configuration_in_force(accounts):
    with pytest.raises(PlatformGarbledError) as refused:
        decode_config(_encode(*accounts))

    assert 'k1' not in str(refused.value)


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
