"""``bluebell apply``: put a configuration in force."""

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
    """Checks a configuration, hands it to a node and says what came of it."""

    def run(
        self,
        file: Annotated[
            Path, typer.Argument(help='Configuration in JSON with comments.')
        ],
        base: Annotated[
            int | None,
            typer.Option(help='Revision that the file was made from.'),
        ] = None,
        change: Annotated[
            str | None,
            typer.Option(help='Id of an earlier attempt, to repeat it.'),
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
    """Say what came of a change."""
    if applied.replayed:
        return (
            f'This change was accepted before, as revision {applied.revision}.'
        )
    lines = [f'Revision {applied.revision} is accepted.']
    if applied.rebased:
        lines.append('It was joined with a change that came in between.')
    lines.append('See "bluebell status" for the nodes that hold it.')
    return '\n'.join(lines)
