"""``bluebell diff``: show what a configuration would change."""

import itertools
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.config_files import load_config
from bluebellslip._internal.cli.differences import (
    Difference,
    compare_documents,
    describe_difference,
)
from bluebellslip._internal.cli.exit_codes import DIFFERENCES_FOUND, SUCCESS
from bluebellslip._internal.models.admin import ConfigBody


class DiffBody(msgspec.Struct, frozen=True):
    """The differences of a file from the applied revision."""

    revision: int
    differences: tuple[Difference, ...]


class DiffCommand(Command):
    """Compares a file with the configuration that a node applies."""

    def run(
        self,
        file: Annotated[
            Path, typer.Argument(help='Configuration in JSON with comments.')
        ],
        exit_code: Annotated[
            bool,
            typer.Option('--exit-code', help='Exit with 1 on differences.'),
        ] = False,
    ) -> int:
        """Show what the file would change."""
        document = load_config(file)
        current = self._client.get('/v1/config', ConfigBody)
        found = compare_documents(current.document, document)
        body = DiffBody(current.revision, found)
        self._console.show(body, describe_diff(body))
        return DIFFERENCES_FOUND if found and exit_code else SUCCESS


def describe_diff(body: DiffBody) -> str:
    """Return the differences of a file as text."""
    if not body.differences:
        return f'The file changes nothing of revision {body.revision}.'
    lines = [f'The file would change revision {body.revision}:']
    described = map(describe_difference, body.differences)
    lines.extend(itertools.chain.from_iterable(described))
    return '\n'.join(lines)
