"""The retries of one request, by the rules and the budget of its service."""

from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.proxy.estimates import (
    compute_mean_hold_time,
    find_shortest_hold_time,
)
from bluebellslip._internal.proxy.forwarding import AttemptResult
from bluebellslip._internal.proxy.retry_budget import SharedRetryBudget
from bluebellslip._internal.proxy.retry_rules import (
    FailedAttempt,
    RetryDecision,
    decide_retry,
)
from bluebellslip._internal.proxy.routed_request import RoutedRequest
from bluebellslip._internal.proxy.trace import RequestTrace


class RequestRetries:
    """Decides on the retries of one request and records the decisions.

    Parameters
    ----------
    clock
        The node's clock.
    peer_table
        The servers, and the nodes that share the budget.
    routed
        The request.
    max_servers
        Maximum number of servers that the request may reach.
    budget
        Retry budget of the service.
    trace
        Records the decisions for the log.
    """

    def __init__(
        self,
        clock: Clock,
        peer_table: PeerTable,
        routed: RoutedRequest,
        max_servers: int,
        budget: SharedRetryBudget,
        trace: RequestTrace,
    ) -> None:
        self._clock = clock
        self._peer_table = peer_table
        self._routed = routed
        self._max_servers = max_servers
        self._budget = budget
        self._trace = trace

    def allow(
        self, result: AttemptResult, untried: int, servers_reached: int
    ) -> bool:
        """Return whether the request is sent to another server.

        Parameters
        ----------
        result
            The failed attempt.
        untried
            Number of servers that can still be tried.
        servers_reached
            Number of servers that the request has reached.
        """
        decision = decide_retry(
            self._describe_failure(result, untried, servers_reached),
            self._spend,
        )
        self._trace.attempts[-1].decision = decision.value
        if decision is RetryDecision.BUDGET_SPENT:
            self._trace.budget = self._budget.read_state(self._node_count)
        return decision.allows_attempt

    @property
    def _node_count(self) -> int:
        return self._peer_table.size + 1

    def _spend(self) -> bool:
        return self._budget.try_spend(self._node_count)

    def _describe_failure(
        self, result: AttemptResult, untried: int, servers_reached: int
    ) -> FailedAttempt:
        routed = self._routed
        endpoints = self._peer_table.endpoints(routed.service)
        reply = routed.request.reply
        return FailedAttempt(
            is_repeatable=routed.is_repeatable,
            may_have_run=result.may_have_run,
            reached=result.reached,
            replayable=routed.upload.replayable and not reply.started,
            untried=untried,
            servers_reached=servers_reached,
            max_servers=self._max_servers,
            time_left=routed.cutoff - self._clock.elapsed(),
            mean_hold_time=compute_mean_hold_time(endpoints, routed.route),
            shortest_hold_time=find_shortest_hold_time(endpoints, routed.route),
        )
