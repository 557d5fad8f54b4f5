"""Asynchronous admission to the slots of the local server."""

import asyncio
import datetime as dt
from collections.abc import Callable

from bluebellslip._internal.calls.admission import AdmissionQueue
from bluebellslip._internal.calls.call import Call
from bluebellslip._internal.calls.tickets import Ticket, TicketState
from bluebellslip._internal.exceptions import DrainingError, OverloadedError
from bluebellslip._internal.kernel.clock import Clock


class AdmissionGate:
    """Lets coroutines wait in the admission queue.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._queue = AdmissionQueue(clock, slots=1)
        self._closed = False
        self._grant_timer: asyncio.TimerHandle | None = None
        self._vacate_timer: asyncio.TimerHandle | None = None

    @property
    def load(self) -> float:
        """Running and waiting requests, as a share of the slots."""
        demand = self._queue.in_use + self._queue.waiting
        return demand / max(1, self._queue.slots)

    @property
    def in_use(self) -> int:
        """Number of slots taken."""
        return self._queue.in_use

    @property
    def occupied(self) -> int:
        """Number of slots held by requests that were not admitted here."""
        return self._queue.occupied

    @property
    def calls_running(self) -> int:
        """Number of slots held by calls of requests that run elsewhere."""
        return self._queue.calls_running

    @property
    def accounts(self) -> int:
        """Number of client accounts that share the slots."""
        return self._queue.accounts

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return self._queue.waiting

    @property
    def slots(self) -> int:
        """Total number of slots."""
        return self._queue.slots

    @property
    def rate(self) -> float | None:
        """Requests that may start a second; none without a limit."""
        return self._queue.rate

    @property
    def service_time(self) -> dt.timedelta:
        """Time that a request is expected to hold its slot now."""
        return self._queue.service_time

    @property
    def average_service_time(self) -> dt.timedelta:
        """Average time that a request has held its slot."""
        return self._queue.average_service_time

    def estimate_wait(self) -> dt.timedelta:
        """Return the expected wait of a request that arrives now."""
        return self._queue.estimate_wait()

    def close(self) -> None:
        """Refuse all requests that have no slot, from now on."""
        self._closed = True
        self._queue.refuse_all()

    def check_open(self) -> None:
        """Check that the gate is not closed.

        Raises
        ------
        DrainingError
            When it is.
        """
        if self._closed:
            raise DrainingError('The server is draining.')

    def refuse_all(self) -> None:
        """Refuse all waiting requests; the server accepts no more work."""
        self._queue.refuse_all()

    def follow_slowness(self, read_slowness: Callable[[], float]) -> None:
        """Expect requests to take longer while the server reports that."""
        self._queue.follow_slowness(read_slowness)

    def resize(self, slots: int) -> None:
        """Set the number of slots and admit waiting requests to new ones."""
        if slots != self._queue.slots:
            self._queue.resize(slots)

    def occupy(self, slots: int, period: dt.timedelta) -> None:
        """Count slots as held by requests that were not admitted here.

        Replaces the earlier number. The slots become free one after another.

        Parameters
        ----------
        slots
            Number of slots.
        period
            Time after which all of them count as free.
        """
        if self._vacate_timer is not None:
            self._vacate_timer.cancel()
            self._vacate_timer = None
        if slots:
            self._schedule_vacating(period.total_seconds() / slots)
        if slots != self._queue.occupied:
            self._queue.occupy(slots)
            self._schedule_grant()

    def set_rate(self, rate: float | None) -> None:
        """Limit the requests that start a second; none removes the limit."""
        self._queue.set_rate(rate)
        self._schedule_grant()

    def accepts_call(self, call: Call) -> bool:
        """Return whether a call would be admitted or queued now."""
        return self.accepts(self._make_ticket(call))

    def accepts(self, ticket: Ticket) -> bool:
        """Return whether a ticket would be admitted or queued now."""
        return self._queue.accepts(ticket)

    async def admit_call(self, call: Call) -> Ticket:
        """Wait for a slot for a call and return the ticket that holds it.

        Raises
        ------
        DrainingError
            When the gate is closed.
        OverloadedError
            When the call can't start in time.
        """
        return await self.admit(self._make_ticket(call))

    async def admit(self, ticket: Ticket) -> Ticket:
        """Wait until a ticket holds a slot and return it.

        Raises
        ------
        DrainingError
            When the gate is closed.
        OverloadedError
            When the call can't start in time.
        """
        self.check_open()
        is_rate_limited = self._queue.is_rate_limited
        self._queue.offer(ticket)
        if ticket.state is TicketState.WAITING:
            self._schedule_grant()
            await self._wait(ticket)
        if ticket.state is TicketState.REFUSED:
            self.check_open()
            raise self._make_refusal(is_rate_limited=is_rate_limited)
        return ticket

    def release(self, ticket: Ticket, *, is_typical: bool = True) -> None:
        """Free the slot of a ticket; see ``AdmissionQueue.release``."""
        self._queue.release(ticket, is_typical=is_typical)
        self._schedule_grant()

    def _make_refusal(self, *, is_rate_limited: bool) -> OverloadedError:
        hint = 'Retry after the delay given in the retry-after header.'
        if is_rate_limited:
            return OverloadedError(
                "The server's rate limit doesn't allow this call in time.",
                context={'limit': f'{self._queue.rate} a second'},
                hint=hint,
            )
        return OverloadedError(
            'The server has no free slot to start this call in time.',
            context={'slots': str(self._queue.slots)},
            hint=hint,
        )

    def _schedule_grant(self) -> None:
        """Admit the next waiting request once the rate limit allows it."""
        delay = self._queue.time_to_grant
        if self._grant_timer is not None or delay is None:
            return
        self._grant_timer = asyncio.get_running_loop().call_later(
            delay.total_seconds(), self._grant
        )

    def _grant(self) -> None:
        self._grant_timer = None
        self._queue.grant()
        self._schedule_grant()

    def _schedule_vacating(self, interval_s: float) -> None:
        self._vacate_timer = asyncio.get_running_loop().call_later(
            interval_s, self._vacate, interval_s
        )

    def _vacate(self, interval_s: float) -> None:
        """Count one occupied slot as free."""
        self._vacate_timer = None
        if self._queue.occupied > 1:
            self._schedule_vacating(interval_s)
        self._queue.occupy(self._queue.occupied - 1)
        self._schedule_grant()

    async def _wait(self, ticket: Ticket) -> None:
        loop = asyncio.get_running_loop()
        changed = loop.create_future()
        ticket.on_change = lambda: _notify(changed)
        timer = loop.call_later(
            self._time_to_start(ticket).total_seconds(),
            self._queue.refuse_expired,
        )
        try:
            await changed
        except asyncio.CancelledError:
            self._abandon_wait(ticket)
            raise
        finally:
            ticket.on_change = None
            timer.cancel()

    def _make_ticket(self, call: Call) -> Ticket:
        return Ticket(call.route.work.priority, call.depth, call.deadline)

    def _abandon_wait(self, ticket: Ticket) -> None:
        if ticket.state is TicketState.ADMITTED:
            self._queue.release(ticket)
        else:
            self._queue.withdraw(ticket)

    def _time_to_start(self, ticket: Ticket) -> dt.timedelta:
        time_left = ticket.latest_start - self._clock.elapsed()
        return max(dt.timedelta(), time_left)


class HeldSlot:
    """Context manager that releases the slot of a ticket on exit."""

    __slots__ = ('_gate', '_ticket')

    def __init__(self, gate: AdmissionGate, ticket: Ticket) -> None:
        self._gate = gate
        self._ticket = ticket

    def __enter__(self) -> None:
        """Do nothing: the ticket already holds the slot."""

    def __exit__(self, *raised: object) -> None:
        self._gate.release(self._ticket)


def _notify(changed: 'asyncio.Future[None]') -> None:
    if not changed.done():
        changed.set_result(None)
