"""Client accounts of a soak, and headers of the mesh that callers send.

Each version of the configuration may take the callers' key away, also as the
last one, and have an odd entry beside it.
"""

import datetime as dt
from collections.abc import Iterator
from random import Random
from typing import Any, Final

from bench.soak_records import Finding, History, KeyChange
from bluebellslip._internal.models.mesh_settings import Bounds
from lib.calls import ReceivedRequest
from lib.mesh_headers import find_mesh_headers

# No configuration ever has the second one.
CALLERS_KEY: Final = 'key-of-the-callers'
UNKNOWN_KEY: Final = 'key-of-nobody'
ACCOUNT: Final = 'callers'
REVOKE: Final = dt.timedelta(seconds=5)
BOUNDS: Final = Bounds(strict_revoke=True, revoke=REVOKE.total_seconds())
_ACCOUNT_ENTRY: Final = {'name': ACCOUNT, 'api_keys': [CALLERS_KEY]}
_ODD_ENTRIES: Final[tuple[Any, ...]] = (
    {'name': 'odd', 'api_keys': ['odd'], 'rate_per_s': 0, 'burst': 50},
    {'name': 'odd', 'api_keys': ['', 'odd', None]},
    {'name': 'odd', 'api_keys': None, 'rate_per_s': None},
    {'name': 'o\ndd', 'api_keys': ['odd']},
    {'name': 'odd', 'api_keys': ['odd'], 'rate_per_s': -1},
    7,
)
_KEY_SHARE: Final = 0.8
_ODD_SHARE: Final = 0.5
_UNKNOWN_SHARE: Final = 0.1
_HEADER_SHARE: Final = 0.2
_HEADER_VALUES: Final = ('config', 'withdraw', 'store-clock', '1', '[]')
_MESH_HEADERS: Final = tuple(find_mesh_headers())


def add_accounts(document: dict[str, Any], source: Random) -> bool:
    """Add random accounts; return whether the callers' key is among them."""
    has_key = source.random() < _KEY_SHARE
    accounts: list[Any] = [_ACCOUNT_ENTRY] if has_key else []
    if source.random() < _ODD_SHARE:
        accounts.insert(0, source.choice(_ODD_ENTRIES))
    document['tenants'] = accounts
    return has_key


def choose_key(source: Random) -> str:
    """Return the key of a request."""
    return UNKNOWN_KEY if source.random() < _UNKNOWN_SHARE else CALLERS_KEY


def choose_mesh_headers(source: Random) -> dict[str, str]:
    """Return headers that only nodes may send; mostly none."""
    if source.random() >= _HEADER_SHARE:
        return {}
    return {source.choice(_MESH_HEADERS): source.choice(_HEADER_VALUES)}


def describe_leak(request: ReceivedRequest) -> str:
    """Return what a server must not have got in a request; empty if none."""
    if 'api-key' in request.headers:
        return 'got the key of a request'
    if request.headers.get('x-tenant', ACCOUNT) != ACCOUNT:
        return 'got another account than the key has'
    names = [name for name in request.headers if name.startswith('bluebell-')]
    return f'got the header {names[0]}' if names else ''


def check_keys(history: History) -> Iterator[Finding]:
    """Yield the requests that ran although their key was unknown."""
    requests = {request.request_id: request for request in history.requests}
    for run in history.runs:
        request = requests.get(run.request_id)
        if request is None or not request.key:
            continue
        if request.key == UNKNOWN_KEY:
            text = 'run with a key that no configuration had'
            yield Finding(run.started, run.node, run.request_id, text)
        elif _is_revoked(history.key_changes, request.begun):
            text = 'run with a key that was removed before'
            yield Finding(run.started, run.node, run.request_id, text)


def _is_revoked(changes: list[KeyChange], begun: dt.timedelta) -> bool:
    """Return whether all configurations of the time allowed lack the key."""
    known = [change for change in changes if change.acknowledged <= begun]
    recent = [
        change for change in known[:-1] if change.acknowledged > begun - REVOKE
    ]
    before = [
        change for change in known if change.acknowledged <= begun - REVOKE
    ]
    in_force = [*before[-1:], *recent, *known[-1:]]
    return bool(before) and not any(change.has_key for change in in_force)
