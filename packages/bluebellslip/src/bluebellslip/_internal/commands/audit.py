"""``bluebell audit``: show the audit trail."""

from typing import Annotated

import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.formatting import format_time
from bluebellslip._internal.models.rows import AuditOutcome, AuditRow
from bluebellslip._internal.models.views import AuditBody


class AuditCommand(Command):
    """Shows the newest audited actions, newest first."""

    def run(
        self,
        limit: Annotated[
            int, typer.Option(help='Maximum number of rows.')
        ] = 50,
    ) -> int:
        """Show the rows."""
        body = self._client.get(f'/v1/audit?limit={limit}', AuditBody)
        lines = [describe_row(row) for row in body.rows]
        self._console.show(
            body, '\n'.join(lines) or 'The audit trail is empty.'
        )
        return SUCCESS


def describe_row(row: AuditRow) -> str:
    """Return an audited action and its outcome as one line."""
    line = f'{format_time(row.at)}  {row.who} {row.action} {row.subject}'
    parts = [f'{line}: {row.outcome}']
    if row.action == 'apply' and row.outcome is AuditOutcome.ACCEPTED:
        parts.append(f'at revision {row.revision}')
    if row.detail:
        parts.append(f'({row.detail})')
    return ' '.join(parts)
