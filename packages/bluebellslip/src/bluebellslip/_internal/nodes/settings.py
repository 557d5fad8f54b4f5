"""Reads a node's settings and checks what their schema can't express."""

from pathlib import Path
from typing import Final

from bluebellslip._internal.exceptions import (
    BadValueError,
    DuplicateNameError,
    MalformedError,
)
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.models.settings import (
    NodeSettings,
    TokenSettings,
)
from bluebellslip._internal.utils.jsonc import load_document

_SCOPES: Final = ('read', 'apply', 'move', 'announce')
_TEAM_SCOPES: Final = ('apply', 'move')
_LISTENERS: Final = ('egress', 'ingress', 'peer', 'admin')
_MESH_LISTENERS: Final = ('callers', 'peers', 'health', 'servers', 'metrics')


def load_settings(path: Path) -> NodeSettings:
    """Read and check a settings file.

    Raises
    ------
    MalformedError
        When the file can't be read or parsed.
    InvalidConfigError
        When a setting is invalid; the subclass names the kind of fault.
    """
    settings = load_document(path, NodeSettings)
    check_settings(settings, str(path))
    return settings


def load_mesh_settings(path: Path) -> MeshSettings:
    """Read and check the settings file of a mesh node.

    Raises
    ------
    MalformedError
        When the file can't be read or parsed.
    InvalidConfigError
        When a setting is invalid; the subclass names the kind of fault.
    """
    settings = load_document(path, MeshSettings)
    check_mesh_settings(settings, str(path))
    return settings


def check_mesh_settings(settings: MeshSettings, source: str) -> None:
    """Check addresses; ``source`` names the file.

    Raises
    ------
    BadValueError
        For an address that can't be used.
    DuplicateNameError
        For an address that occurs twice.
    """
    seen: dict[str, str] = {}
    for name in _MESH_LISTENERS:
        address = getattr(settings.listen, name)
        if address is not None:
            _check_address(address, f'$.listen.{name}', source)
            _check_unique(seen, address, f'$.listen.{name}', source)
    _check_address(settings.listen.beacons, '$.listen.beacons', source)
    _check_address(settings.server, '$.server', source)
    _check_address(settings.store.address, '$.store.address', source)


def check_settings(settings: NodeSettings, source: str) -> None:
    """Check addresses, scopes and tokens; ``source`` names the file.

    Raises
    ------
    BadValueError
        For an address or scope that can't be used.
    DuplicateNameError
        For an address or a token that occurs twice.
    """
    seen: dict[str, str] = {}
    for name in _LISTENERS:
        address = getattr(settings.listen, name)
        path = f'$.listen.{name}'
        _check_address(address, path, source)
        _check_unique(seen, address, path, source)
    for index, seed in enumerate(settings.seeds):
        _check_address(seed, f'$.seeds[{index}]', source)
    digests: dict[str, str] = {}
    for position, token in enumerate(settings.tokens):
        token_path = f'$.tokens[{position}]'
        _check_unique(digests, token.digest, f'{token_path}.digest', source)
        _check_scopes(token, token_path, source)


def _check_address(text: str, path: str, source: str) -> None:
    try:
        Address.from_text(text)
    except MalformedError as error:
        raise BadValueError(
            error.message,
            context={'file': source, 'path': path, 'found': text},
            hint=error.hint,
        ) from error


def _check_unique(
    seen: dict[str, str], text: str, path: str, source: str
) -> None:
    first_path = seen.setdefault(text, path)
    if first_path != path:
        raise DuplicateNameError(
            'A value that must be unique occurs twice.',
            context={'file': source, 'path': path, 'found': text},
            hint=f'The value is already used by {first_path}; choose another.',
        )


def _check_scopes(token: TokenSettings, path: str, source: str) -> None:
    known = ', '.join(_SCOPES)
    for index, scope in enumerate(token.scopes):
        name, separator, team = scope.partition(':')
        allowed = _TEAM_SCOPES if separator else _SCOPES
        if name not in allowed or (separator and not team):
            raise BadValueError(
                'A scope is not allowed.',
                context={
                    'file': source,
                    'path': f'{path}.scopes[{index}]',
                    'found': scope,
                },
                hint=f'Allowed are {known}, and apply:TEAM or move:TEAM.',
            )
