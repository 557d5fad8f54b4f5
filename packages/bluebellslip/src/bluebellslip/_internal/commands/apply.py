"""``bluebell apply``: apply a configuration to the mesh."""

from pathlib import Path
from typing import Annotated

import typer

from bluebellslip._internal.cli.base_command import (
    Command,
    make_change_id,
    report_change_id,
)
from bluebellslip._internal.cli.config_files import load_config
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.models.admin import AppliedBody, ApplyBody


class ApplyCommand(Command):
    """Checks a configuration, submits it to a node and prints the result."""

    def run(
        self,
        file: Annotated[
            Path, typer.Argument(help='Configuration in JSON with comments.')
        ],
        base: Annotated[
            int | None,
            typer.Option(help='Revision that the file is based on.'),
        ] = None,
        change: Annotated[
            str | None,
            typer.Option(help='Id of an earlier attempt, to retry it.'),
        ] = None,
    ) -> int:
        """Apply the file."""
        body = ApplyBody(
            change=change or make_change_id(),
            document=load_config(file),
            base=base,
        )
        with report_change_id(body.change):
            applied = self._client.call('PUT', '/v1/config', AppliedBody, body)
        self._console.show(applied, describe_applied(applied))
        return SUCCESS


def describe_applied(applied: AppliedBody) -> str:
    """Return the result of a change as text."""
    if applied.replayed:
        return (
            f'This change was accepted before, as revision {applied.revision}.'
        )
    lines = [f'Revision {applied.revision} is accepted.']
    if applied.rebased:
        lines.append('It was merged with a change accepted in the meantime.')
    lines.append('See "bluebell status" for the nodes that have applied it.')
    return '\n'.join(lines)
