"""The retry budgets of one node, by service."""

import datetime as dt
from collections.abc import Callable

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.proxy.retry_budget import (
    BudgetState,
    RetryPurpose,
    RetryReservation,
    SharedRetryBudget,
)


class RetryBudgets:
    """The retry budgets of one node, by service.

    Parameters
    ----------
    clock
        The node's clock.
    bounds
        Limits of the deployment.
    count_nodes
        Returns the number of nodes that share the reserve of each budget.
    """

    def __init__(
        self, clock: Clock, bounds: Bounds, count_nodes: Callable[[], int]
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._count_nodes = count_nodes
        self._budgets: dict[ServiceName, SharedRetryBudget] = {}

    def apply(self, bounds: Bounds) -> None:
        """Apply new limits of the deployment from now on."""
        if bounds != self._bounds:
            self._bounds = bounds
            self._budgets.clear()

    def record_request(self, service: ServiceName) -> None:
        """Count a request to a service that is not a call of a retried one."""
        self._get(service).record_request()

    def reserve(
        self, service: ServiceName, purpose: RetryPurpose, amount: int = 1
    ) -> RetryReservation | None:
        """Reserve retries at a service, or return None if it has too few."""
        return self._get(service).reserve(self._count_nodes(), purpose, amount)

    def read_state(self, service: ServiceName) -> BudgetState:
        """Return the state of a service's budget."""
        return self._get(service).read_state(self._count_nodes())

    def _get(self, service: ServiceName) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._clock,
                self._bounds.retry_ratio,
                self._bounds.retry_reserve,
                dt.timedelta(seconds=self._bounds.retry_window),
            )
            self._budgets[service] = budget
        return budget
