"""Admission beside a server: its slots, and a short queue before them.

The queue is ordered by priority of the class, then by depth: deeper work
holds more slots upstream. What can't begin in time is refused at once.
"""

import dataclasses
import datetime as dt
import enum
import heapq
import itertools
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

QUEUE_PER_SLOT: Final = 2.0
MAX_WAIT: Final = dt.timedelta(milliseconds=500)
_INITIAL_SERVICE: Final = dt.timedelta(milliseconds=5)
_SMOOTHING: Final = 0.1


@enum.unique
class TicketState(enum.Enum):
    """What became of a request for a slot."""

    WAITING = 'waiting'
    ADMITTED = 'admitted'
    REFUSED = 'refused'


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """A request for a slot.

    Parameters
    ----------
    priority
        Of the class of work; the smaller, the sooner.
    depth
        Calls that already wait for this one; the greater, the sooner.
    deadline
        Time on the node's clock at which the caller gives up.
    """

    priority: int
    depth: int
    deadline: dt.timedelta
    state: TicketState = TicketState.WAITING
    started: dt.timedelta = dt.timedelta()
    on_change: Callable[[], None] | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Rank in the queue."""
        return (self.priority, -self.depth)

    def is_late(self, now: dt.timedelta, service_time: dt.timedelta) -> bool:
        """Tell whether the request can't be done by its deadline."""
        return now + service_time > self.deadline

    def become(self, state: TicketState) -> None:
        """Change the state and tell who waits for it."""
        self.state = state
        if self.on_change is not None:
            self.on_change()


class ServiceEstimate:
    """Smoothed time that a request holds its slot."""

    def __init__(self) -> None:
        self.typical = _INITIAL_SERVICE

    def learn(self, held: dt.timedelta) -> None:
        """Take in the time that one request held its slot."""
        self.typical += (held - self.typical) * _SMOOTHING

    def expect_wait(self, ahead: int, slots: int) -> dt.timedelta:
        """Return the wait behind a number of requests in the queue."""
        return self.typical * ((ahead + 1) / max(1, slots))


class AdmissionQueue:
    """Slots of one server and the requests that wait for them.

    ``slots`` is the number that the server runs at once, ``in_use`` how many
    are taken.

    Parameters
    ----------
    clock
        The node's clock.
    slots
        Requests that the server runs at once.
    """

    def __init__(self, clock: Clock, slots: int) -> None:
        self._clock = clock
        self.slots = slots
        self.in_use = 0
        self._service = ServiceEstimate()
        self._sequence = itertools.count()
        self._heap: list[tuple[tuple[int, int], int, Ticket]] = []

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._heap)

    @property
    def service_time(self) -> dt.timedelta:
        """Typical time that a request holds its slot."""
        return self._service.typical

    @property
    def _has_slot(self) -> bool:
        return self.in_use < self.slots and not self._heap

    def resize(self, slots: int) -> None:
        """Follow the number that the server announces."""
        self.slots = slots
        self._grant()

    def accepts(self, ticket: Ticket) -> bool:
        """Tell whether a ticket would be admitted or queued now."""
        if self._has_slot:
            return True
        return self._can_wait(ticket, self._clock.elapsed())

    def offer(self, ticket: Ticket) -> None:
        """Admit, queue or refuse; a better ticket displaces the last one."""
        now = self._clock.elapsed()
        if self._has_slot:
            self._admit(ticket, now)
            return
        if not self._can_wait(ticket, now):
            ticket.become(TicketState.REFUSED)
            return
        entry = (ticket.order, next(self._sequence), ticket)
        heapq.heappush(self._heap, entry)
        if len(self._heap) > self.slots * QUEUE_PER_SLOT:
            self._displace()

    def release(self, ticket: Ticket) -> None:
        """Free the slot of a ticket that was admitted."""
        self._service.learn(self._clock.elapsed() - ticket.started)
        self.in_use -= 1
        self._grant()

    def withdraw(self, ticket: Ticket) -> None:
        """Take a waiting ticket out, since its caller is gone."""
        self._heap = [entry for entry in self._heap if entry[2] is not ticket]
        heapq.heapify(self._heap)

    def refuse_late(self) -> None:
        """Refuse every waiting ticket that can't begin in time any more."""
        now = self._clock.elapsed()
        late = [
            entry
            for entry in self._heap
            if entry[2].is_late(now, self.service_time)
        ]
        for _, _, ticket in late:
            self.withdraw(ticket)
            ticket.become(TicketState.REFUSED)

    def _can_wait(self, ticket: Ticket, now: dt.timedelta) -> bool:
        ahead = sum(1 for entry in self._heap if entry[0] <= ticket.order)
        wait = self._service.expect_wait(ahead, self.slots)
        if wait > MAX_WAIT:
            return False
        return now + wait + self.service_time <= ticket.deadline

    def _displace(self) -> None:
        last = max(self._heap)
        self._heap.remove(last)
        heapq.heapify(self._heap)
        last[2].become(TicketState.REFUSED)

    def _admit(self, ticket: Ticket, now: dt.timedelta) -> None:
        self.in_use += 1
        ticket.started = now
        ticket.become(TicketState.ADMITTED)

    def _grant(self) -> None:
        now = self._clock.elapsed()
        while self._heap and self.in_use < self.slots:
            ticket = heapq.heappop(self._heap)[2]
            if ticket.is_late(now, self.service_time):
                ticket.become(TicketState.REFUSED)
            else:
                self._admit(ticket, now)
