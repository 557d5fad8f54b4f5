"""Detects progress of moves and revisions between two status responses."""

from collections.abc import Iterator
from typing import Final

import msgspec

from bluebellslip._internal.cli.formatting import format_count, format_move
from bluebellslip._internal.exceptions import NotFoundError
from bluebellslip._internal.models.views import MoveView, StatusBody

_MOVING: Final = 'moving'


class ProgressEvent(msgspec.Struct, frozen=True):
    """The state of a move or of the newest revision, printed as one line."""

    subject: str
    words: str
    state: str = ''
    share: float = 0


class ProgressTracker:
    """Compares each status with the events reported so far."""

    def __init__(self) -> None:
        self._reported: dict[str, ProgressEvent] = {}
        self._seen_moving: set[str] = set()

    @property
    def seen_moving(self) -> frozenset[str]:
        """Services that were moving in any status so far."""
        return frozenset(self._seen_moving)

    def update(self, status: StatusBody) -> tuple[ProgressEvent, ...]:
        """Return the events that changed since the last status."""
        changed = tuple(
            event
            for event in _list_events(status)
            if self._reported.get(event.subject) != event
        )
        self._seen_moving.update(
            move.service for move in status.moves if move.state == _MOVING
        )
        self._reported.update({event.subject: event for event in changed})
        return changed


def is_settled(status: StatusBody, *, whole_mesh: bool) -> bool:
    """Return whether no move is in progress.

    For the whole mesh, all known nodes must also be at the newest revision.
    """
    if any(move.state == _MOVING for move in status.moves):
        return False
    if not whole_mesh:
        return True
    newest = str(find_newest_revision(status))
    return status.ready and set(status.holders) <= {newest}


def select_service(status: StatusBody, service: str | None) -> StatusBody:
    """Return the status with the moves of one service only.

    Raises
    ------
    NotFoundError
        If the service has never had a move.
    """
    if service is None:
        return status
    moves = tuple(move for move in status.moves if move.service == service)
    if not moves:
        raise NotFoundError(
            'This service has never had a move.',
            context={'service': service},
            hint=(
                f'Begin one with "bluebell move {service} --to VERSION '
                '--by DEADLINE".'
            ),
        )
    return msgspec.structs.replace(status, moves=moves)


def find_newest_revision(status: StatusBody) -> int:
    """Return the newest accepted revision that the node knows."""
    return max(status.revision, status.known_head, status.platform.head)


def _list_events(status: StatusBody) -> Iterator[ProgressEvent]:
    yield _describe_revision(status)
    for move in status.moves:
        yield _describe_move(move)


def _describe_revision(status: StatusBody) -> ProgressEvent:
    newest = find_newest_revision(status)
    current = status.holders.get(str(newest), 0)
    total = sum(status.holders.values())
    return ProgressEvent(
        subject='revision',
        words=f'revision {newest}: {current} of {format_count(total, "node")}',
    )


def _describe_move(move: MoveView) -> ProgressEvent:
    return ProgressEvent(
        subject=move.service,
        words=format_move(move),
        state=move.state,
        share=move.share,
    )
