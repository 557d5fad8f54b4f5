"""``bluebell move``: have a service on a version by a time."""

from typing import Annotated
from urllib.parse import quote

import typer

from bluebellslip._internal.cli.base_command import Command, make_change_id
from bluebellslip._internal.cli.status_codes import SUCCESS
from bluebellslip._internal.cli.times import parse_deadline
from bluebellslip._internal.cli.wording import describe_move
from bluebellslip._internal.models.admin import MoveBody
from bluebellslip._internal.models.views import MoveView


class MoveCommand(Command):
    """Declares a version and a deadline; the mesh does the rest."""

    def run(
        self,
        service: Annotated[str, typer.Argument(help='Service to move.')],
        version: Annotated[str, typer.Argument(help='Version to move to.')],
        by: Annotated[
            str | None,
            typer.Option(help='Deadline as a time of ISO 8601.'),
        ] = None,
        within: Annotated[
            str | None,
            typer.Option(help='Deadline as a duration from now, such as 30m.'),
        ] = None,
        change: Annotated[
            str | None,
            typer.Option(help='Id of an earlier attempt, to repeat it.'),
        ] = None,
    ) -> int:
        """Begin the move."""
        now = self._clock.now()
        body = MoveBody(
            new=version,
            deadline=parse_deadline(by, within, now),
            request=change or make_change_id(),
        )
        target = f'/v1/moves/{quote(service, safe="")}'
        move = self._client.call('PUT', target, MoveView, body)
        lines = describe_move(move, now)
        lines.append(f'Follow it with "bluebell watch {service}".')
        self._console.show(move, '\n'.join(lines))
        return SUCCESS
