"""``bluebell watch``: follow moves and revisions until complete."""

import datetime as dt
from typing import Annotated, Final

import typer

from bluebellslip._internal.cli.base_command import Command
from bluebellslip._internal.cli.exit_codes import MOVE_WITHDRAWN, SUCCESS
from bluebellslip._internal.cli.progress import (
    ProgressTracker,
    is_settled,
    select_service,
)
from bluebellslip._internal.exceptions import DeadlineExceededError
from bluebellslip._internal.models.views import StatusBody
from bluebellslip._internal.utils.durations import parse_duration

_POLL_INTERVAL: Final = dt.timedelta(seconds=1)


class WatchCommand(Command):
    """Prints progress until all moves end and all nodes are up to date.

    If a service is given, the command waits only for that service's move. The
    exit code is ``MOVE_WITHDRAWN`` if a followed move was withdrawn.
    """

    def run(
        self,
        service: Annotated[
            str | None,
            typer.Argument(help='Service whose move to follow; default: all.'),
        ] = None,
        timeout: Annotated[
            str | None, typer.Option(help='Longest time to watch, such as 5m.')
        ] = None,
    ) -> int:
        """Poll the status until nothing is in progress."""
        max_duration = None if timeout is None else parse_duration(timeout)
        started_at = self._clock.elapsed()
        tracker = ProgressTracker()
        while True:
            status = select_service(
                self._client.get('/v1/status', StatusBody), service
            )
            for event in tracker.update(status):
                self._console.show(event, event.words)
            if is_settled(status, whole_mesh=service is None):
                return _find_exit_code(tracker, status, service)
            if (
                max_duration is not None
                and self._clock.elapsed() - started_at > max_duration
            ):
                raise DeadlineExceededError(
                    'Moves or revisions are still in progress at the timeout.',
                    context={'timeout': timeout or ''},
                    hint='See "bluebell status" for what is in progress.',
                )
            self._client.pause(_POLL_INTERVAL)


def _find_exit_code(
    tracker: ProgressTracker, status: StatusBody, service: str | None
) -> int:
    """Return the exit code for the outcome of the followed moves."""
    followed = tracker.seen_moving if service is None else {service}
    withdrawn = {
        move.service for move in status.moves if move.state == 'withdrawn'
    }
    return MOVE_WITHDRAWN if followed & withdrawn else SUCCESS
