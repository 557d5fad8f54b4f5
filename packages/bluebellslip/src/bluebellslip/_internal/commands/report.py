"""``bluebell report``: summarise the audit trail of a day."""

import datetime as dt
from typing import Annotated, Final

import typer

from bluebellslip._internal.cli.activity_report import (
    build_report,
    describe_report,
)
from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.times import parse_datetime
from bluebellslip._internal.models.views import AuditBody

_MAX_ROWS: Final = 5000
_DAY: Final = dt.timedelta(days=1)


class ReportCommand(Command):
    """Shows changes, moves and refusals of a day from the audit trail."""

    def run(
        self,
        day: Annotated[
            str | None,
            typer.Option(
                help='Day such as 2026-05-01; default: the last 24 hours.'
            ),
        ] = None,
    ) -> int:
        """Show the report."""
        end = self._clock.now()
        if day is not None:
            end = parse_datetime(day) + _DAY
        start = end - _DAY
        body = self._client.get(f'/v1/audit?limit={_MAX_ROWS}', AuditBody)
        complete = len(body.rows) < _MAX_ROWS or body.rows[-1].at < start
        report = build_report(body.rows, start, end, complete=complete)
        self._console.show(report, describe_report(report))
        return SUCCESS
