"""The version that a service runs before it ever had a move.

It is entered into the table once, by the first node that finds no row, so
that servers of another version which start beside the old ones get no calls
until a move is asked for.
"""

import datetime as dt
from typing import Final

from bluebellslip._internal.models.facts import (
    FULL_SHARE,
    Backend,
    MoveFact,
    MoveState,
)
from bluebellslip._internal.models.identity import MoveId, NodeId
from bluebellslip._internal.models.move_rows import MoveRow

INITIAL_MOVE: Final = MoveId('first')
ADOPT_ACTION: Final = 'move.adopt'


def make_initial_row(
    backend: Backend, node: NodeId, now: dt.datetime
) -> MoveRow:
    """Return the row that says which version a service runs."""
    return MoveRow(
        service=backend.service,
        move=INITIAL_MOVE,
        state=MoveState.DONE,
        old=backend.version,
        new=backend.version,
        share=FULL_SHARE,
        started=now,
        deadline=now,
        who=node,
        steward=node,
        epoch=0,
        renewed=now,
        stepped=now,
        reason='The first version of the service.',
    )


def is_initial_version(fact: MoveFact) -> bool:
    """Tell whether a fact is of a first version and no move."""
    return fact.old == fact.new
