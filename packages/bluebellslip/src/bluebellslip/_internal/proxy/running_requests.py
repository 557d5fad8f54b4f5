"""Requests that the local server is running, to recognize their child calls.

While a child call waits, its parent request keeps a slot of the local server,
and refusing the call wastes the work done for the parent. A parent that was
retried makes its calls again, which count as retries too. Servers derive the id
of a child call from that of its parent: the parent's id, a separator, and a
suffix. A call with any other id is treated as a client's.
"""

import dataclasses
import datetime as dt
from collections import Counter, deque
from typing import Final

from bluebellslip._internal.exceptions import OverloadedError
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import RouteName, ServiceName
from bluebellslip._internal.proxy.call_reservations import (
    CallHistory,
    CallReservations,
)
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets

_SEPARATORS: Final = (b'.', b'-', b':', b'/')


@dataclasses.dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that the local server is running.

    Parameters
    ----------
    request_id
        Id that its caller sent.
    route
        The route that it matched.
    retry_calls
        The calls reserved for it if it is a retry; otherwise none.
    calls
        The calls that it has made, by service.
    has_failed_call
        Whether one of them failed at a server, after the retries that the
        budget allowed.
    priority
        Its priority under load, which its calls have at least; smaller values
        go first. None if unknown.
    """

    request_id: bytes
    route: RouteName
    retry_calls: CallReservations | None = None
    calls: Counter[ServiceName] = dataclasses.field(default_factory=Counter)
    has_failed_call: bool = False
    priority: int | None = None

    @property
    def is_retry(self) -> bool:
        """Whether it was retried, so that its calls count as retries."""
        return self.retry_calls is not None

    def choose_call_priority(self, priority: int) -> int:
        """Return the priority of a call, more urgent than that of its route.

        The request keeps its slot while the call waits.
        """
        return (
            priority if self.priority is None else min(priority, self.priority)
        )

    def record_call(self, service: ServiceName) -> bool:
        """Count a call; return whether the retry budget allows it."""
        self.calls[service] += 1
        return self.retry_calls is None or self.retry_calls.spend(service)


class RunningRequests:
    """The requests that the local server is running.

    Parameters
    ----------
    clock
        The node's clock.
    budgets
        The node's retry budgets.
    """

    def __init__(self, clock: Clock, budgets: RetryBudgets) -> None:
        self._clock = clock
        self._budgets = budgets
        self._abandoned: deque[tuple[dt.timedelta, RunningRequest]] = deque()
        self._call_history = CallHistory()
        self._running: dict[bytes, list[RunningRequest]] = {}

    def prepare(
        self,
        request_id: bytes,
        route: RouteName,
        priority: int | None = None,
        *,
        is_retry: bool,
    ) -> RunningRequest:
        """Return the run of a request that will be sent to the server.

        The calls that a retry is expected to make are reserved.

        Raises
        ------
        OverloadedError
            When a retry budget doesn't allow these calls.
        """
        run = RunningRequest(request_id, route, priority=priority)
        if not is_retry:
            return run
        run.retry_calls = CallReservations(self._budgets)
        refusing = run.retry_calls.reserve(self._call_history.find_most(route))
        if refusing is not None:
            raise OverloadedError(
                'The retry budget does not allow the calls of this retry.',
                context={'service': refusing},
            )
        return run

    def begin(self, run: RunningRequest) -> None:
        """Record that a request was sent to the server."""
        self._expire()
        self._running.setdefault(run.request_id, []).append(run)

    def end(self, run: RunningRequest) -> None:
        """End a run and return the calls that it did not make."""
        if run.retry_calls is not None:
            run.retry_calls.release()
        runs = self._running.get(run.request_id, [])
        if run not in runs:
            return
        self._call_history.record(run.route, run.calls)
        runs.remove(run)
        if not runs:
            del self._running[run.request_id]

    def abandon(self, run: RunningRequest, until: dt.timedelta) -> None:
        """End a run that the server may continue although nobody waits for it.

        The calls of a retry still count as retries.

        Parameters
        ----------
        run
            The run.
        until
            Time on the node's clock at which the server ends it.
        """
        if run.retry_calls is None:
            self.end(run)
            return
        run.retry_calls.release()
        self._abandoned.append((until, run))

    def forget_calls(self) -> None:
        """Discard what earlier runs called, when the server is replaced."""
        self._call_history.clear()

    def find_parent(self, request_id: bytes) -> RunningRequest | None:
        """Return the running request that a request is a child call of.

        If the server runs it several times, a retry is returned.
        """
        self._expire()
        for separator in _SEPARATORS:
            parent_id, found, _ = request_id.rpartition(separator)
            runs = self._running.get(parent_id) if found else None
            if runs:
                return max(runs, key=_is_retry)
        return None

    def _expire(self) -> None:
        now = self._clock.elapsed()
        while self._abandoned and self._abandoned[0][0] <= now:
            self.end(self._abandoned.popleft()[1])


def _is_retry(run: RunningRequest) -> bool:
    return run.is_retry
