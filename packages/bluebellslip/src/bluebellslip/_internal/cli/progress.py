"""What changed between two looks at the mesh."""

from collections.abc import Iterator
from typing import Final

import msgspec

from bluebellslip._internal.cli.wording import say_count, say_move
from bluebellslip._internal.exceptions import NotFoundError
from bluebellslip._internal.models.views import MoveView, StatusBody

_MOVING: Final = 'moving'


class ProgressEvent(msgspec.Struct, frozen=True):
    """A change worth a line."""

    subject: str
    words: str
    state: str = ''
    share: float = 0


class Progress:
    """Remembers the last look, and tells what is new in the next."""

    def __init__(self) -> None:
        self._said: dict[str, ProgressEvent] = {}
        self._moving: set[str] = set()

    @property
    def seen_moving(self) -> frozenset[str]:
        """Services that were seen under way at any look."""
        return frozenset(self._moving)

    def update(self, status: StatusBody) -> tuple[ProgressEvent, ...]:
        """Return what changed since the last look."""
        news = tuple(
            event
            for event in _list_events(status)
            if self._said.get(event.subject) != event
        )
        self._moving.update(
            move.service for move in status.moves if move.state == _MOVING
        )
        self._said.update({event.subject: event for event in news})
        return news


def is_settled(status: StatusBody, *, whole_mesh: bool) -> bool:
    """Tell whether nothing is under way.

    For the whole mesh, every known node must hold the newest revision too.
    """
    if any(move.state == _MOVING for move in status.moves):
        return False
    if not whole_mesh:
        return True
    newest = str(find_newest(status))
    return status.ready and set(status.holders) <= {newest}


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
            hint=f'Begin one with "bluebell move {service} --to VERSION".',
        )
    return msgspec.structs.replace(status, moves=moves)


def find_newest(status: StatusBody) -> int:
    """Return the newest accepted revision that the node knows of."""
    return max(status.revision, status.known_head, status.platform.head)


def _list_events(status: StatusBody) -> Iterator[ProgressEvent]:
    yield _describe_spread(status)
    for move in status.moves:
        yield _describe_step(move)


def _describe_spread(status: StatusBody) -> ProgressEvent:
    newest = find_newest(status)
    holding = status.holders.get(str(newest), 0)
    total = sum(status.holders.values())
    return ProgressEvent(
        subject='revision',
        words=f'revision {newest}: {holding} of {say_count(total, "node")}',
    )


def _describe_step(move: MoveView) -> ProgressEvent:
    return ProgressEvent(
        subject=move.service,
        words=say_move(move),
        state=move.state,
        share=move.share,
    )
