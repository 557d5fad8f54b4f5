"""``bluebell watch``: follow moves and revisions to their end."""

import datetime as dt
from typing import Annotated, Final

import msgspec
import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.progress import Progress, is_settled
from bluebellslip._internal.cli.status_codes import SUCCESS, WITHDRAWN
from bluebellslip._internal.exceptions import DeadlineError, NotFoundError
from bluebellslip._internal.models.views import MoveView, StatusBody
from bluebellslip._internal.utils.durations import parse_duration

_PERIOD: Final = dt.timedelta(seconds=1)


class WatchCommand(Command):
    """Prints every change until all is settled, then says how it ended."""

    def run(
        self,
        service: Annotated[
            str | None,
            typer.Argument(help='Service whose move to follow; else all.'),
        ] = None,
        timeout: Annotated[
            str | None, typer.Option(help='Longest time to watch.')
        ] = None,
    ) -> int:
        """Follow until the end."""
        limit = None if timeout is None else parse_duration(timeout)
        started = self._clock.elapsed()
        progress = Progress()
        while True:
            status = select_service(
                self._client.get('/v1/status', StatusBody), service
            )
            for event in progress.update(status):
                self._console.show(event, event.words)
            if is_settled(status, whole_mesh=service is None):
                return find_exit(status.moves)
            if limit is not None and self._clock.elapsed() - started > limit:
                raise DeadlineError(
                    'Not all was settled in time.',
                    context={'timeout': timeout or ''},
                    hint='See "bluebell status" for what is left.',
                )
            self._client.pause(_PERIOD)


def select_service(status: StatusBody, service: str | None) -> StatusBody:
    """Return the status with the moves of one service only.

    Raises
    ------
    NotFoundError
        When the service never had a move.
    """
    if service is None:
        return status
    moves = tuple(move for move in status.moves if move.service == service)
    if not moves:
        raise NotFoundError(
            'This service has had no move.',
            context={'service': service},
            hint=f'Begin one with "bluebell move {service} VERSION".',
        )
    return msgspec.structs.replace(status, moves=moves)


def find_exit(moves: tuple[MoveView, ...]) -> int:
    """Return the status for how the moves ended."""
    if any(move.state == 'withdrawn' for move in moves):
        return WITHDRAWN
    return SUCCESS
