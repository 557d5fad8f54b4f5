"""``bluebell report``: a plain account of a day."""

import datetime as dt
from typing import Annotated, Final

import typer

from bluebellslip._internal.cli.accounts import (
    build_account,
    describe_account,
)
from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.status_codes import SUCCESS
from bluebellslip._internal.cli.times import parse_moment
from bluebellslip._internal.models.views import AuditBody

_LIMIT: Final = 5000  # rows
_DAY: Final = dt.timedelta(days=1)


class ReportCommand(Command):
    """Tells changes, moves and refusals of a day from the audit trail."""

    def run(
        self,
        day: Annotated[
            str | None,
            typer.Option(
                help='Day such as 2026-05-01; else the last 24 hours.'
            ),
        ] = None,
    ) -> int:
        """Tell the day."""
        end = self._clock.now()
        if day is not None:
            end = parse_moment(day) + _DAY
        start = end - _DAY
        body = self._client.get(f'/v1/audit?limit={_LIMIT}', AuditBody)
        complete = len(body.rows) < _LIMIT or body.rows[-1].at < start
        account = build_account(body.rows, start, end, complete=complete)
        self._console.show(account, describe_account(account))
        return SUCCESS
