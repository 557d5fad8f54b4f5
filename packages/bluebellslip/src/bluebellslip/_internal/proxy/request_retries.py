"""The retries of one request, by the rules and the budget of its service."""

from bluebellslip._internal.exceptions import ErrorKind
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.proxy.estimates import (
    compute_mean_hold_time,
    find_shortest_hold_time,
)
from bluebellslip._internal.proxy.fatal_requests import FatalRequests
from bluebellslip._internal.proxy.forwarding import AttemptResult
from bluebellslip._internal.proxy.request_fingerprints import is_suspected
from bluebellslip._internal.proxy.retry_budget import (
    RetryPurpose,
    RetryReservation,
)
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets
from bluebellslip._internal.proxy.retry_rules import (
    FailedAttempt,
    RetryDecision,
    decide_retry,
)
from bluebellslip._internal.proxy.routed_request import RoutedRequest
from bluebellslip._internal.proxy.trace import RequestTrace


class RequestRetries:
    """Decides on the retries of one request and records the decisions.

    A context manager: its end returns a retry that no server has received.

    Parameters
    ----------
    clock
        The node's clock.
    peer_table
        The servers.
    routed
        The request.
    max_servers
        Maximum number of servers that the request may reach.
    budgets
        The node's retry budgets.
    fatal_requests
        The requests under which servers ended.
    trace
        Records the decisions for the log.
    """

    def __init__(
        self,
        clock: Clock,
        peer_table: PeerTable,
        routed: RoutedRequest,
        max_servers: int,
        budgets: RetryBudgets,
        fatal_requests: FatalRequests,
        trace: RequestTrace,
    ) -> None:
        self._clock = clock
        self._peer_table = peer_table
        self._routed = routed
        self._max_servers = max_servers
        self._budgets = budgets
        self._fatal_requests = fatal_requests
        self._trace = trace
        self._reservation: RetryReservation | None = None

    def __enter__(self) -> None:
        """Do nothing: nothing is reserved before the first retry."""

    def __exit__(self, *raised: object) -> None:
        if self._reservation is not None:
            self._reservation.release()

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
            self._reserve,
        )
        self._trace.attempts[-1].decision = decision.value
        if decision is RetryDecision.BUDGET_SPENT:
            self._trace.budget = self._budgets.read_state(self._routed.service)
        return decision.allows_attempt

    def record_arrival(self) -> None:
        """Count an attempt that may have reached a server."""
        if self._reservation is not None:
            self._reservation.record_arrival()

    def _is_suspected(self, result: AttemptResult) -> bool:
        """Return whether the request may have ended the server.

        The first server that ends under a request is no evidence yet.
        """
        if result.error is None:
            return False
        if result.error.kind is ErrorKind.QUARANTINED:
            return True
        return result.reached and is_suspected(
            self._fatal_requests, self._routed
        )

    def _reserve(self) -> bool:
        self._reservation = self._budgets.reserve(
            self._routed.service, RetryPurpose.RETRY
        )
        return self._reservation is not None

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
            call_failed=result.call_failed,
            is_suspected=self._is_suspected(result),
            replayable=routed.upload.replayable and not reply.started,
            untried=untried,
            servers_reached=servers_reached,
            max_servers=self._max_servers,
            time_left=routed.cutoff - self._clock.elapsed(),
            mean_hold_time=compute_mean_hold_time(endpoints, routed.route),
            shortest_hold_time=find_shortest_hold_time(endpoints, routed.route),
        )
