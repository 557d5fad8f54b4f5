"""Checks of configurations in the format in which the platform stores them.

Guards against a configuration with an entry that nodes would leave out, which
an operator learns of only after it was written.
"""

import json
from pathlib import Path

import pytest

from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.commands.config_check import (
    ConfigCheckCommand,
    FileKind,
)
from bluebellslip._internal.exceptions import (
    InvalidConfigError,
    PlatformGarbledError,
)
from lib.command_runner import CommandRunner
from lib.simulated_platform import make_document_json, make_route_json

_DOCUMENT = make_document_json(3, make_route_json('r', '/a/', 'store'))


def _check(directory: Path, **changes: object) -> int:
    file = directory / 'config.json'
    file.write_text(json.dumps(_DOCUMENT | changes))
    return CommandRunner({}).run(
        ConfigCheckCommand, file=file, kind=FileKind.AUTO
    )


def test_sound_configuration_passes(tmp_path: Path) -> None:
    accounts = [{'name': 'a', 'api_keys': ['k'], 'rate_per_s': 0, 'burst': 5}]
    assert _check(tmp_path, tenants=accounts) == SUCCESS


def test_entry_that_nodes_would_leave_out_is_named(tmp_path: Path) -> None:
    accounts = [{'name': 'a', 'api_keys': ['secret', '']}]
    with pytest.raises(InvalidConfigError) as refused:
        _check(tmp_path, tenants=accounts)
    assert 'tenants[0].api_keys[1]' in refused.value.context
    assert 'secret' not in str(refused.value.context)


def test_configuration_that_nodes_would_skip_is_refused(tmp_path: Path) -> None:
    with pytest.raises(PlatformGarbledError):
        _check(tmp_path, routes='none')
