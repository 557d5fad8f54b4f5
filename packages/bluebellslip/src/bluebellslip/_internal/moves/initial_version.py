"""The version that a service runs before its first move.

The first node that finds no row for the service records this version in the
table, so that servers of another version that start later get no calls until a
move is requested.
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
    """Return the row that records which version a service runs."""
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
    """Return whether a fact records an initial version and not a move."""
    return fact.old == fact.new
