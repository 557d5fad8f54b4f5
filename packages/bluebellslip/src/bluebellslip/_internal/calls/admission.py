"""Admission beside a server: its slots, and a short queue before them.

Answers bursts of one and a half to three times what the server runs, and the
loss of other servers of its service. The queue is ordered by priority of the
class, then by whether the answer can still come while it is worth most to its
caller, then by depth: deeper work holds more slots upstream; then the earliest
objective goes first. What can't begin in time is refused at once. While more
comes than the server can run, work whose answer would come late anyway only
fills gaps: it would push fresh work past its objective, and so on for ever.
"""

import dataclasses
import datetime as dt
import enum
import itertools
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

MAX_QUEUED_PER_SLOT: Final = 2.0
DEFAULT_MAX_WAIT: Final = dt.timedelta(milliseconds=500)
# How long work waits for a gap when its answer will come late; long enough for
# a slot of a server that is not overloaded.
MAX_LATE_WAIT: Final = dt.timedelta(milliseconds=100)
# Such work that waits for one slot.
MAX_LATE_PER_SLOT: Final = 0.25
_INITIAL_SERVICE_TIME: Final = dt.timedelta(milliseconds=5)
_MIN_SAMPLE_WEIGHT: Final = 0.1


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
    objective
        Time on the node's clock until which an answer is worth most; none if
        it is worth the same until the deadline.
    patience
        Longest wait that is better than asking another server.
    latest_start
        Time on the node's clock after which it is refused; the queue sets it.
    """

    priority: int
    depth: int
    deadline: dt.timedelta
    objective: dt.timedelta | None = None
    max_wait: dt.timedelta = DEFAULT_MAX_WAIT
    state: TicketState = TicketState.WAITING
    started: dt.timedelta = dt.timedelta()
    latest_start: dt.timedelta = dt.timedelta.max
    on_change: Callable[[], None] | None = None

    @property
    def order(self) -> tuple[int, int, dt.timedelta]:
        """Rank in the queue; among equals the earliest objective first."""
        objective = self.deadline if self.objective is None else self.objective
        return (self.priority, -self.depth, objective)

    def is_past_objective(self, end: dt.timedelta) -> bool:
        """Tell whether an answer at a time is worth less."""
        return self.objective is not None and end > self.objective

    def change_state(self, state: TicketState) -> None:
        """Change the state and tell who waits for it."""
        self.state = state
        if self.on_change is not None:
            self.on_change()


class ServiceTimeEstimate:
    """Smoothed time that a request holds its slot."""

    def __init__(self) -> None:
        self.average = _INITIAL_SERVICE_TIME
        self.sample_count = 0

    def record(self, held: dt.timedelta) -> None:
        """Take in the time that one request held its slot."""
        self.sample_count += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.sample_count)
        self.average += (held - self.average) * weight

    def estimate_wait(self, ahead: int, slots: int) -> dt.timedelta:
        """Return the wait behind a number of requests in the queue."""
        return self.average * ((ahead + 1) / max(1, slots))


_Rank = tuple[int, int, dt.timedelta, int]


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    """A waiting ticket and its place among those of the same rank."""

    ticket: Ticket
    number: int

    @property
    def rank(self) -> _Rank:
        """Place in the queue."""
        return (*self.ticket.order, self.number)

    def rank_at(self, end: dt.timedelta) -> tuple[int, bool, _Rank]:
        """Return the place in the queue if it were served until a time."""
        past = self.ticket.is_past_objective(end)
        return (self.ticket.priority, past, self.rank)


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
        self._service = ServiceTimeEstimate()
        self._arrival_numbers = itertools.count()
        self._entries: list[_Entry] = []

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._entries)

    @property
    def service_time(self) -> dt.timedelta:
        """Typical time that a request holds its slot."""
        return self._service.average

    @property
    def _has_slot(self) -> bool:
        return self.in_use < self.slots and not self._entries

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
            ticket.change_state(TicketState.REFUSED)
            return
        ticket.latest_start = self._find_latest_start(ticket, now)
        self._entries.append(_Entry(ticket, next(self._arrival_numbers)))
        if len(self._entries) > self.slots * MAX_QUEUED_PER_SLOT:
            self._refuse(max(self._entries, key=_rank))
        self._refuse_hopeless(now)

    def release(self, ticket: Ticket, *, is_typical: bool = True) -> None:
        """Free the slot of a ticket that was admitted.

        Parameters
        ----------
        ticket
            The ticket.
        learns
            Whether the time that it held the slot is typical for the server.
        """
        if is_typical:
            self._service.record(self._clock.elapsed() - ticket.started)
        self.in_use -= 1
        self._grant()

    def withdraw(self, ticket: Ticket) -> None:
        """Take a waiting ticket out, since its caller is gone."""
        self._entries = [
            entry for entry in self._entries if entry.ticket is not ticket
        ]

    def refuse_late(self) -> None:
        """Refuse every waiting ticket that can't begin in time any more."""
        now = self._clock.elapsed()
        for entry in tuple(self._entries):
            if now >= entry.ticket.latest_start:
                self._refuse(entry)

    def refuse_all(self) -> None:
        """Refuse every waiting ticket, since the server is leaving."""
        for entry in tuple(self._entries):
            self._refuse(entry)

    def estimate_wait(self) -> dt.timedelta:
        """Return the wait of a request behind all that are in the queue."""
        if self._has_slot:
            return dt.timedelta()
        return self._service.estimate_wait(len(self._entries), self.slots)

    def _can_wait(self, ticket: Ticket, now: dt.timedelta) -> bool:
        wait = self._estimate_wait_of(ticket)
        end = now + wait + self.service_time
        if wait > ticket.max_wait or end > ticket.deadline:
            return False
        if not ticket.is_past_objective(end):
            return True
        return wait <= MAX_LATE_WAIT and self._accepts_late(now)

    def _estimate_wait_of(self, ticket: Ticket) -> dt.timedelta:
        ahead = sum(
            1 for entry in self._entries if entry.ticket.order <= ticket.order
        )
        return self._service.estimate_wait(ahead, self.slots)

    def _accepts_late(self, now: dt.timedelta) -> bool:
        """Tell whether few enough wait whose answers will come late."""
        end = now + self.service_time
        late = sum(
            1 for entry in self._entries if entry.ticket.is_past_objective(end)
        )
        return late < self.slots * MAX_LATE_PER_SLOT

    def _find_latest_start(
        self, ticket: Ticket, now: dt.timedelta
    ) -> dt.timedelta:
        """Return when a ticket must have begun, or is refused."""
        latest = ticket.deadline - self.service_time
        if ticket.objective is None:
            return latest
        in_time = max(now, ticket.objective - self.service_time)
        return min(latest, in_time + MAX_LATE_WAIT)

    def _refuse_hopeless(self, now: dt.timedelta) -> None:
        """Refuse who is pushed back too far by a more urgent arrival."""
        while self._entries:
            last = max(self._entries, key=_rank)
            ahead = len(self._entries) - 1
            wait = self._service.estimate_wait(ahead, self.slots)
            if now + wait + self.service_time <= last.ticket.deadline:
                return
            self._refuse(last)

    def _refuse(self, entry: _Entry) -> None:
        self._entries.remove(entry)
        entry.ticket.change_state(TicketState.REFUSED)

    def _admit(self, ticket: Ticket, now: dt.timedelta) -> None:
        self.in_use += 1
        ticket.started = now
        ticket.change_state(TicketState.ADMITTED)

    def _grant(self) -> None:
        now = self._clock.elapsed()
        while self._entries and self.in_use < self.slots:
            entry = self._find_next(now)
            if now >= entry.ticket.latest_start:
                self._refuse(entry)
            else:
                self._entries.remove(entry)
                self._admit(entry.ticket, now)

    def _find_next(self, now: dt.timedelta) -> _Entry:
        end = now + self.service_time
        return min(self._entries, key=lambda entry: entry.rank_at(end))


def _rank(entry: _Entry) -> _Rank:
    return entry.rank
