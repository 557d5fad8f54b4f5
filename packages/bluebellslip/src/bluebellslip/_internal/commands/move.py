"""``bluebell move``: move a service to a version by a deadline."""

from typing import Annotated
from urllib.parse import quote

import typer

from bluebellslip._internal.cli.base_command import (
    Command,
    make_change_id,
    report_change_id,
)
from bluebellslip._internal.cli.exit_codes import SUCCESS
from bluebellslip._internal.cli.formatting import describe_move
from bluebellslip._internal.cli.times import parse_deadline
from bluebellslip._internal.models.admin import MoveBody
from bluebellslip._internal.models.views import MoveView


class MoveCommand(Command):
    """Requests a move to a version by a deadline; the nodes carry it out."""

    def run(
        self,
        service: Annotated[str, typer.Argument(help='Service to move.')],
        to: Annotated[str, typer.Option(help='Version to move to.')],
        by: Annotated[
            str,
            typer.Option(
                help='Deadline: 30m from now, 17:00, or 2026-05-01T17:00.'
            ),
        ],
        change: Annotated[
            str | None,
            typer.Option(help='Id of an earlier attempt, to retry it.'),
        ] = None,
    ) -> int:
        """Begin the move."""
        now = self._clock.now()
        body = MoveBody(
            new=to,
            deadline=parse_deadline(by, now),
            request=change or make_change_id(),
        )
        target = f'/v1/moves/{quote(service, safe="")}'
        with report_change_id(body.request):
            move = self._client.call('PUT', target, MoveView, body)
        lines = describe_move(move, now)
        lines.append(f'Follow it with "bluebell watch {service}".')
        self._console.show(move, '\n'.join(lines))
        return SUCCESS
