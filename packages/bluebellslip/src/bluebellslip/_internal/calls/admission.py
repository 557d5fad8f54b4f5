"""Admission control for the local server: its slots and a short queue.

Absorbs bursts of one and a half to three times the server's capacity, and the
extra load when other servers of its service fail. The queue is ordered by the
priority of the request's class of work, then by whether the response can still
meet its objective, then by call depth, since deeper calls hold more slots
upstream, then by the fair shares of the client accounts, and then by the
earliest objective. Requests that can't start in time are refused immediately.
Under overload, requests that would miss their objective anyway only get slots
that no other request of their priority needs: otherwise they would delay newer
requests past their own objectives, and the overload would sustain itself.
"""

import dataclasses
import datetime as dt
import itertools
import sys
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.calls.call_reserve import CallReserve
from bluebellslip._internal.calls.fair_shares import FairShares
from bluebellslip._internal.calls.rate_limiter import RateLimiter
from bluebellslip._internal.calls.service_time import ServiceTimeEstimate
from bluebellslip._internal.calls.tickets import Ticket, TicketState
from bluebellslip._internal.kernel.clock import Clock

MAX_QUEUED_PER_SLOT: Final = 2.0
# How long a request that will miss its objective waits for an idle slot; long
# enough to get one on a server that is not overloaded.
MAX_LATE_WAIT: Final = dt.timedelta(milliseconds=100)
# Requests per slot that may wait although they will miss their objective.
MAX_LATE_PER_SLOT: Final = 0.25


_Rank = tuple[int, int, float, dt.timedelta, int]


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A waiting ticket and its arrival number, which breaks ties.

    ``tag`` is its place among the accounts; the same for all without accounts.
    """

    ticket: Ticket
    number: int
    tag: float = 0
    order: tuple[int, int, dt.timedelta] = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.order = self.ticket.order

    @property
    def rank(self) -> _Rank:
        """Sort key of the ticket, made unique by the arrival number."""
        priority, depth, objective = self.order
        return (priority, depth, self.tag, objective, self.number)

    def rank_at(self, end: dt.timedelta) -> tuple[int, bool, _Rank]:
        """Return the sort key for a response that completes at ``end``.

        Within a priority, responses that miss their objective come last.
        """
        is_late = self.ticket.is_past_objective(end)
        return (self.ticket.priority, is_late, self.rank)


class AdmissionQueue:
    """Slots of one server and the requests that wait for them.

    ``in_use`` is the number of slots taken, ``occupied`` the number of those
    that requests hold which were not admitted here. A request that waits for
    the server's rate limit has no slot.

    Parameters
    ----------
    clock
        The node's clock.
    slots
        Number of requests that the server runs concurrently.
    """

    def __init__(self, clock: Clock, slots: int) -> None:
        self._clock = clock
        self.slots = slots
        self.in_use = 0
        self.occupied = 0
        self._limiter = RateLimiter(clock)
        self._service_time_estimate = ServiceTimeEstimate()
        self._arrival_numbers = itertools.count()
        self._entries: list[_Entry] = []
        self._shares = FairShares()
        self._reserve = CallReserve()

    @property
    def waiting(self) -> int:
        """Number of requests in the queue."""
        return len(self._entries)

    @property
    def calls_running(self) -> int:
        """Number of slots held by calls of requests that run elsewhere."""
        return self._reserve.running

    @property
    def accounts(self) -> int:
        """Number of client accounts that share the slots."""
        return self._shares.count_accounts()

    @property
    def service_time(self) -> dt.timedelta:
        """Time that a request is expected to hold its slot now."""
        return self._service_time_estimate.current

    @property
    def average_service_time(self) -> dt.timedelta:
        """Average time that a request has held its slot."""
        return self._service_time_estimate.average

    @property
    def rate(self) -> float | None:
        """Requests that may start a second; none without a limit."""
        return self._limiter.rate

    @property
    def time_to_grant(self) -> dt.timedelta | None:
        """Time until the rate limit admits the next waiting request.

        None if no request waits, or all slots are in use.
        """
        if not self._entries or not self._has_free_slot:
            return None
        return self._limiter.estimate_wait(0)

    @property
    def is_rate_limited(self) -> bool:
        """Whether a request would wait for the rate limit, not for a slot."""
        return self._has_free_slot and not self._limiter.allows_start

    @property
    def _has_free_slot(self) -> bool:
        return self.in_use + self.occupied < self.slots

    @property
    def _has_slot(self) -> bool:
        return (
            self._has_free_slot
            and not self._entries
            and self._limiter.allows_start
        )

    def follow_slowness(self, read_slowness: Callable[[], float]) -> None:
        """Expect requests to take longer while the server reports that."""
        self._service_time_estimate.follow(read_slowness)

    def resize(self, slots: int) -> None:
        """Set the number of slots and admit waiting tickets to new ones."""
        self.slots = slots
        self.grant()

    def occupy(self, slots: int) -> None:
        """Count slots as held by requests that were not admitted here."""
        self.occupied = slots
        self.grant()

    def set_rate(self, rate: float | None) -> None:
        """Limit the requests that start a second; none removes the limit."""
        self._limiter.apply(rate)
        self.grant()

    def accepts(self, ticket: Ticket) -> bool:
        """Return whether a ticket would be admitted or queued now."""
        if self._has_slot:
            return True
        return self._can_wait(ticket, self._clock.elapsed())

    def offer(self, ticket: Ticket) -> None:
        """Admit, queue or refuse a ticket.

        If the queue is full, the last ticket of the heaviest account among the
        least urgent ones is refused.
        """
        now = self._clock.elapsed()
        if self._has_slot:
            self._admit(ticket, now)
            return
        if not self._can_wait(ticket, now):
            ticket.change_state(TicketState.REFUSED)
            return
        ticket.latest_start = self._find_latest_start(ticket, now)
        self._entries.append(_Entry(ticket, next(self._arrival_numbers)))
        self._update_tags()
        if len(self._entries) > self.slots * MAX_QUEUED_PER_SLOT:
            self._refuse(self._find_excess())
        self._refuse_infeasible(now)

    def release(self, ticket: Ticket, *, is_typical: bool = True) -> None:
        """Free the slot of an admitted ticket.

        Parameters
        ----------
        ticket
            The ticket.
        is_typical
            Whether the time that the ticket held its slot counts towards the
            average.
        """
        held = self._clock.elapsed() - ticket.started
        if is_typical:
            self._service_time_estimate.record(held)
        self._shares.record_release(ticket, held)
        self._reserve.record_release(ticket)
        self.in_use -= 1
        self.grant()

    def grant(self) -> None:
        """Admit waiting tickets as far as slots and the rate limit allow."""
        now = self._clock.elapsed()
        while self._entries and self._has_free_slot:
            if not self._limiter.allows_start:
                return
            entry = self._find_next(now)
            if now >= entry.ticket.latest_start:
                self._refuse(entry)
            else:
                self._entries.remove(entry)
                self._admit(entry.ticket, now)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting ticket whose request was cancelled."""
        self._entries = [
            entry for entry in self._entries if entry.ticket is not ticket
        ]

    def refuse_expired(self) -> None:
        """Refuse every waiting ticket that can no longer start in time."""
        now = self._clock.elapsed()
        for entry in tuple(self._entries):
            if now >= entry.ticket.latest_start:
                self._refuse(entry)

    def refuse_all(self) -> None:
        """Refuse every waiting ticket; the server accepts no more work."""
        for entry in tuple(self._entries):
            self._refuse(entry)

    def estimate_wait(self) -> dt.timedelta:
        """Return the expected wait of a request at the end of the queue."""
        if self._has_slot:
            return dt.timedelta()
        return self._estimate_wait_behind(len(self._entries))

    def _can_wait(self, ticket: Ticket, now: dt.timedelta) -> bool:
        wait = self._estimate_wait_of(ticket)
        end = now + wait + self.service_time
        if wait > ticket.max_wait or end > ticket.deadline:
            return False
        if not ticket.is_past_objective(end):
            return True
        return wait <= MAX_LATE_WAIT and self._accepts_late(now)

    def _estimate_wait_of(self, ticket: Ticket) -> dt.timedelta:
        ahead = self._list_ahead(ticket)
        wait = self._estimate_wait_behind(len(ahead))
        if not ticket.depth:
            return wait
        calls_ahead = sum(1 for entry in ahead if entry.ticket.depth)
        return min(wait, self._estimate_reserved_wait(calls_ahead))

    def _list_ahead(self, ticket: Ticket) -> list[_Entry]:
        """Return the waiting tickets that would be served before a new one."""
        newcomer = _Entry(ticket, sys.maxsize)
        if not self._shares.is_shared(ticket):
            order = newcomer.order
            return [entry for entry in self._entries if entry.order <= order]
        self._update_tags(newcomer)
        rank = newcomer.rank
        return [entry for entry in self._entries if entry.rank < rank]

    def _estimate_reserved_wait(self, ahead: int) -> dt.timedelta:
        """Return the wait of a call for the slots reserved for calls."""
        reserved = self._reserve.measure(self.slots)
        if not reserved:
            return dt.timedelta.max
        if self._reserve.running + ahead < reserved:
            # The next slot that is freed.
            ahead = 0
            reserved = self.slots
        return max(
            self._limiter.estimate_wait(ahead),
            self._service_time_estimate.estimate_wait(ahead, reserved),
        )

    def _list_unreserved(self) -> list[_Entry]:
        """Return the waiting tickets without the calls first in line.

        As many calls may wait as the slots reserved for them can serve.
        """
        calls = [entry for entry in self._entries if entry.ticket.depth]
        if not calls:
            return self._entries
        calls.sort(key=_rank)
        reserved = self._reserve.measure(self.slots) * MAX_QUEUED_PER_SLOT
        kept = {entry.number for entry in calls[: int(reserved)]}
        return [entry for entry in self._entries if entry.number not in kept]

    def _update_tags(self, *newcomers: _Entry) -> None:
        """Update the places among the accounts that share the slots."""
        if not self._shares.is_active:
            return
        shared = [
            entry
            for entry in (*self._entries, *newcomers)
            if self._shares.is_shared(entry.ticket)
        ]
        shared.sort(key=_order)
        self._shares.assign_tags(shared, self.service_time)

    def _find_excess(self) -> _Entry:
        """Return the waiting ticket that is refused when the queue is full."""
        entries = self._list_unreserved() or self._entries
        if not self._shares.is_active:
            return max(entries, key=_rank)
        last = max(entry.order[:2] for entry in entries)
        least_urgent = [entry for entry in entries if entry.order[:2] == last]
        return max(self._shares.select_heaviest(least_urgent), key=_rank)

    def _estimate_wait_behind(self, ahead: int) -> dt.timedelta:
        """Return the wait behind other waiting requests."""
        wait = self._limiter.estimate_wait(ahead)
        if self.in_use + self.occupied + ahead < self.slots:
            return wait
        return max(
            wait, self._service_time_estimate.estimate_wait(ahead, self.slots)
        )

    def _accepts_late(self, now: dt.timedelta) -> bool:
        """Return whether another late request may wait for an idle slot."""
        end = now + self.service_time
        late = sum(
            1 for entry in self._entries if entry.ticket.is_past_objective(end)
        )
        return late < self.slots * MAX_LATE_PER_SLOT

    def _find_latest_start(
        self, ticket: Ticket, now: dt.timedelta
    ) -> dt.timedelta:
        """Return the time by which a ticket must start or be refused."""
        latest = ticket.deadline - self.service_time
        if ticket.objective is None:
            return latest
        on_time_start = max(now, ticket.objective - self.service_time)
        return min(latest, on_time_start + MAX_LATE_WAIT)

    def _refuse_infeasible(self, now: dt.timedelta) -> None:
        """Refuse tickets at the queue's end that would start too late.

        More urgent tickets may have been queued ahead of them.
        """
        while unreserved := self._list_unreserved():
            last = max(unreserved, key=_rank)
            ahead = len(self._entries) - 1
            wait = self._estimate_wait_behind(ahead)
            if now + wait <= last.ticket.latest_start:
                return
            self._refuse(last)

    def _refuse(self, entry: _Entry) -> None:
        self._entries.remove(entry)
        entry.ticket.change_state(TicketState.REFUSED)

    def _admit(self, ticket: Ticket, now: dt.timedelta) -> None:
        self.in_use += 1
        self._limiter.start()
        self._shares.record_admission(ticket, self.service_time)
        self._reserve.record_admission(ticket)
        ticket.started = now
        ticket.change_state(TicketState.ADMITTED)

    def _find_next(self, now: dt.timedelta) -> _Entry:
        end = now + self.service_time
        self._update_tags()
        entries = self._entries
        if self._reserve.has_room(self.slots):
            calls = [entry for entry in entries if entry.ticket.depth]
            entries = calls or entries
        return min(entries, key=lambda entry: entry.rank_at(end))


def _rank(entry: _Entry) -> _Rank:
    return entry.rank


def _order(entry: _Entry) -> tuple[int, int, dt.timedelta, int]:
    return (*entry.order, entry.number)
