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

    A node that starts again has forgotten the retries that it made before, so
    it gets no part of the reserve until these have left the window.

    Parameters
    ----------
    clock
        The node's clock.
    bounds
        Limits of the deployment.
    count_nodes
        Returns the number of nodes that share the reserve of each budget.
    may_have_run
        Whether the node may have made retries before it started.
    """

    def __init__(
        self,
        clock: Clock,
        bounds: Bounds,
        count_nodes: Callable[[], int],
        *,
        may_have_run: bool,
    ) -> None:
        self._clock = clock
        self._bounds = bounds
        self._count_nodes = count_nodes
        self._forgot_at = clock.elapsed() if may_have_run else None
        self._budgets: dict[ServiceName, SharedRetryBudget] = {}

    @property
    def _window(self) -> dt.timedelta:
        return dt.timedelta(seconds=self._bounds.retry_window)

    @property
    def _share(self) -> float:
        """The node's share of the reserve."""
        forgot_at = self._forgot_at
        now = self._clock.elapsed()
        if forgot_at is not None and now - forgot_at < self._window:
            return 0
        return 1 / max(1, self._count_nodes())

    def apply(self, bounds: Bounds) -> None:
        """Apply new limits of the deployment from now on.

        What was counted stays, unless the length of the window has changed.
        """
        if bounds.retry_window != self._bounds.retry_window:
            self._budgets.clear()
            self._forgot_at = self._clock.elapsed()
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.apply(bounds.retry_ratio, bounds.retry_reserve)

    def record_request(self, service: ServiceName) -> None:
        """Count a request to a service that is not a call of a retried one."""
        self._get(service).record_request()

    def reserve(
        self, service: ServiceName, purpose: RetryPurpose, amount: int = 1
    ) -> RetryReservation | None:
        """Reserve retries at a service, or return None if it has too few."""
        return self._get(service).reserve(self._share, purpose, amount)

    def read_state(self, service: ServiceName) -> BudgetState:
        """Return the state of a service's budget."""
        return self._get(service).read_state(self._share)

    def _get(self, service: ServiceName) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = SharedRetryBudget(
                self._clock,
                self._bounds.retry_ratio,
                self._bounds.retry_reserve,
                self._window,
            )
            self._budgets[service] = budget
        return budget
