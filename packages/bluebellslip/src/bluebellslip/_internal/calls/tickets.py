"""Admission tickets: what a request asks of the local server's slots."""

import dataclasses
import datetime as dt
import enum
from collections.abc import Callable
from typing import Final

DEFAULT_MAX_WAIT: Final = dt.timedelta(milliseconds=500)


@enum.unique
class TicketState(enum.Enum):
    """Admission state of a request."""

    WAITING = 'waiting'
    ADMITTED = 'admitted'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Admission ticket of a request: its place in the queue and its state.

    Parameters
    ----------
    priority
        Priority of the request's class; lower values are served first.
    depth
        Number of upstream calls that wait for this one; higher values are
        served first.
    deadline
        Time on the node's clock at which the caller gives up.
    objective
        Time on the node's clock by which the response should be complete;
        None if only the deadline matters.
    max_wait
        Expected wait above which the ticket is refused at once, since another
        server is the better choice.
    account
        The client account that sent the request; empty if none.
    latest_start
        Time on the node's clock from which a waiting ticket is refused; set by
        the queue.
    """

    priority: int
    depth: int
    deadline: dt.timedelta
    objective: dt.timedelta | None = None
    max_wait: dt.timedelta = DEFAULT_MAX_WAIT
    account: str = ''
    state: TicketState = TicketState.WAITING
    started: dt.timedelta = dt.timedelta()
    latest_start: dt.timedelta = dt.timedelta.max
    on_change: Callable[[], None] | None = None

    @property
    def order(self) -> tuple[int, int, dt.timedelta]:
        """Sort key: priority, depth, then the objective or the deadline."""
        objective = self.deadline if self.objective is None else self.objective
        return (self.priority, -self.depth, objective)

    def is_past_objective(self, end: dt.timedelta) -> bool:
        """Return whether completing at ``end`` would miss the objective."""
        return self.objective is not None and end > self.objective

    def change_state(self, state: TicketState) -> None:
        """Set the state and notify the waiter, if there is one."""
        self.state = state
        if self.on_change is not None:
            self.on_change()
