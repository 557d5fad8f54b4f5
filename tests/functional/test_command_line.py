"""Tests of the command line: parsing, exit codes, deployment files.

They guard against shipped deployment files that do not pass the check, and
against errors that exit with the code of another kind of error.
"""

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from bluebellslip._internal.cli.exit_codes import USAGE_ERROR
from bluebellslip._internal.cli.parser import build_app
from bluebellslip._internal.commands.registry import COMMANDS
from bluebellslip._internal.exceptions import ErrorKind
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

_ROOT = Path(__file__).parents[2]
_DEPLOYMENTS = sorted((_ROOT / 'deployments').glob('*/*.json5'))
_MESH = _ROOT / 'deployments/thistle-quill/mesh.json5'
_NODE = _ROOT / 'deployments/thistle-quill/node.json5'
# By kind of error: a valid file, a text in it, and its invalid replacement.
_INVALID = {
    ErrorKind.UNKNOWN_KEY: (_MESH, "mesh: '", "weight: 3, mesh: '"),
    ErrorKind.DANGLING_REFERENCE: (
        _MESH,
        "service: 'artwork'",
        "service: 'artwrok'",
    ),
    ErrorKind.BAD_DURATION: (_MESH, "timeout: '2s'", "timeout: '2 s'"),
    ErrorKind.DUPLICATE_NAME: (_MESH, "name: 'artwork',", "name: 'orders',"),
    ErrorKind.WRONG_TYPE: (_MESH, 'priority: 2', "priority: 'high'"),
    ErrorKind.BAD_VALUE: (_MESH, 'priority: 2', 'priority: 12'),
    ErrorKind.MALFORMED: (_MESH, 'classes: [', 'classes: [['),
    ErrorKind.DUPLICATE_KEY: (_NODE, "node: '", "mesh: 'x', node: '"),
    ErrorKind.MISSING_KEY: (_NODE, "mesh: 'thistle-quill',", ''),
}


def _run(*arguments: str) -> tuple[int, str]:
    result = CliRunner().invoke(build_app(), list(arguments))
    return result.exit_code, result.output


@pytest.mark.parametrize('file', _DEPLOYMENTS, ids=str)
def test_deployments_are_valid(file: Path) -> None:
    status, output = _run('config', 'check', str(file))
    assert (status, ' is fine: ' in output) == (0, True)


@pytest.mark.parametrize('kind', _INVALID)
def test_invalid_file_exits_with_the_code_of_its_error(
    tmp_path: Path, kind: ErrorKind
) -> None:
    source, good, bad = _INVALID[kind]
    text = source.read_text()
    assert good in text
    file = tmp_path / 'broken.json5'
    file.write_text(text.replace(good, bad, 1))
    status, output = _run('config', 'check', str(file), '--json')
    assert status == ERROR_RESPONSES[kind].exit_code
    body = json.loads(output)
    assert body['kind'] == kind
    assert body['context']['file'] == str(file)
    assert body['hint']


def test_missing_or_binary_file_is_malformed(tmp_path: Path) -> None:
    binary = tmp_path / 'binary'
    binary.write_bytes(b'\xff\xfe\x00')
    for file in (tmp_path / 'gone', binary, tmp_path):
        status, _ = _run('config', 'check', str(file))
        assert status == ERROR_RESPONSES[ErrorKind.MALFORMED].exit_code


@pytest.mark.parametrize('name', COMMANDS)
def test_every_command_has_a_help_page(name: str) -> None:
    status, output = _run(*name.split(), '--help')
    assert status == 0
    assert COMMANDS[name].summary in output


def test_unknown_command_is_a_usage_error() -> None:
    status, output = _run('aply')
    assert status == USAGE_ERROR
    assert 'aply' in output


def test_unreachable_node_has_its_own_exit_code() -> None:
    status, output = _run('status', '--node', '127.0.26.9:26998')
    assert status == ERROR_RESPONSES[ErrorKind.NODE_UNREACHABLE].exit_code
    assert '127.0.26.9:26998' in output
