"""What changed between two looks at the mesh."""

from collections.abc import Iterator

import msgspec

from bluebellslip._internal.cli.wording import say_count, say_move
from bluebellslip._internal.models.views import MoveView, StatusBody


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

    def update(self, status: StatusBody) -> tuple[ProgressEvent, ...]:
        """Return what changed since the last look."""
        news = tuple(
            event
            for event in _list_events(status)
            if self._said.get(event.subject) != event
        )
        self._said.update({event.subject: event for event in news})
        return news


def is_settled(status: StatusBody, *, whole_mesh: bool) -> bool:
    """Tell whether nothing is under way.

    For the whole mesh, every known node must hold the newest revision too.
    """
    if any(move.state == 'moving' for move in status.moves):
        return False
    if not whole_mesh:
        return True
    newest = str(find_newest(status))
    return set(status.holders) <= {newest}


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
