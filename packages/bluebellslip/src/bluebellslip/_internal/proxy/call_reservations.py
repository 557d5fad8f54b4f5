"""Reserves the calls that a retried request will make while it runs.

Prevents retries of one service from exceeding the retry budget of another: a
server that runs a request again makes its calls again. Before that, the node
beside the server reserves as many calls as any of the latest runs of the same
route has made; what the run doesn't use is returned at its end.
"""

from collections import Counter, OrderedDict, deque
from collections.abc import Mapping
from typing import Final

from bluebellslip._internal.models.identity import RouteName, ServiceName
from bluebellslip._internal.proxy.retry_budget import (
    RetryPurpose,
    RetryReservation,
)
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets

# Runs of a route whose calls are remembered; an unusual run is included with a
# probability of nine in ten if it is one in twenty.
_RUNS_KEPT: Final = 45
# Routes for which runs are remembered.
_MAX_ROUTES: Final = 16


class CallHistory:
    """The calls that the latest runs of each route have made, by service."""

    def __init__(self) -> None:
        self._runs: OrderedDict[RouteName, deque[Mapping[ServiceName, int]]] = (
            OrderedDict()
        )

    def record(
        self, route: RouteName, calls: Mapping[ServiceName, int]
    ) -> None:
        """Record the calls of a run that has ended."""
        if route not in self._runs:
            self._runs[route] = deque(maxlen=_RUNS_KEPT)
        self._runs[route].append(calls)
        self._runs.move_to_end(route)
        if len(self._runs) > _MAX_ROUTES:
            self._runs.popitem(last=False)

    def find_most(self, route: RouteName) -> Counter[ServiceName]:
        """Return the largest number of calls that a run made, by service."""
        most: Counter[ServiceName] = Counter()
        for calls in self._runs.get(route, ()):
            most |= Counter(calls)
        return most

    def clear(self) -> None:
        """Discard all runs when the server restarts or is replaced."""
        self._runs.clear()


class CallReservations:
    """The calls reserved for one run of a retried request.

    Parameters
    ----------
    budgets
        The node's retry budgets.
    """

    def __init__(self, budgets: RetryBudgets) -> None:
        self._budgets = budgets
        self._reserved: dict[ServiceName, RetryReservation] = {}

    def reserve(self, calls: Mapping[ServiceName, int]) -> ServiceName | None:
        """Reserve calls, all of them or none.

        Returns
        -------
        ServiceName | None
            A service whose budget doesn't allow its calls; None if all were
            reserved.
        """
        for service, amount in calls.items():
            reservation = self._budgets.reserve(
                service, RetryPurpose.CALL, amount
            )
            if reservation is None:
                self.release()
                return service
            self._reserved[service] = reservation
        return None

    def spend(self, service: ServiceName) -> bool:
        """Count a call as arrived; return whether the budget allows it.

        A call that was not reserved is allowed if the budget has room for it.
        """
        reservation = self._reserved.get(service)
        if reservation is not None and reservation.record_arrival():
            return True
        unexpected = self._budgets.reserve(service, RetryPurpose.CALL)
        return unexpected is not None and unexpected.record_arrival()

    def release(self) -> None:
        """Return the calls that were not made."""
        for reservation in self._reserved.values():
            reservation.release()
        self._reserved.clear()
