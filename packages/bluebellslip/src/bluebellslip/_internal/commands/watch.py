"""``bluebell watch``: follow moves and revisions to their end."""

import datetime as dt
from typing import Annotated, Final

import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.progress import (
    Progress,
    is_settled,
    select_service,
)
from bluebellslip._internal.cli.status_codes import SUCCESS, WITHDRAWN
from bluebellslip._internal.exceptions import DeadlineExceededError
from bluebellslip._internal.models.views import StatusBody
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
                return _find_exit(progress, status, service)
            if limit is not None and self._clock.elapsed() - started > limit:
                raise DeadlineExceededError(
                    'Not all was settled in time.',
                    context={'timeout': timeout or ''},
                    hint='See "bluebell status" for what is left.',
                )
            self._client.pause(_PERIOD)


def _find_exit(
    progress: Progress, status: StatusBody, service: str | None
) -> int:
    """Return the status for how the moves that were followed ended."""
    followed = progress.seen_moving if service is None else {service}
    ended = {move.service for move in status.moves if move.state == 'withdrawn'}
    return WITHDRAWN if followed & ended else SUCCESS
