"""Runs the attempts of one request: selects servers and decides on retries."""

import dataclasses
import datetime as dt
from collections.abc import Collection, Iterable, Sequence
from typing import Final, Protocol

from bluebellslip._internal.accounts.quotas.quota_service import QuotaService
from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    EvacuatedError,
    NoServerError,
    OverloadedError,
)
from bluebellslip._internal.fleet.evacuations import Evacuations
from bluebellslip._internal.fleet.peer_table import Endpoint, PeerTable
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import NodeId, ServiceName
from bluebellslip._internal.proxy.estimates import find_shortest_hold_time
from bluebellslip._internal.proxy.fatal_requests import FatalRequests
from bluebellslip._internal.proxy.forwarding import (
    AttemptResult,
    RequestForwarder,
)
from bluebellslip._internal.proxy.latest_starts import find_latest_start
from bluebellslip._internal.proxy.request_cutoffs import make_stop_error
from bluebellslip._internal.proxy.request_retries import RequestRetries
from bluebellslip._internal.proxy.response_sizes import ResponseSizes
from bluebellslip._internal.proxy.responses import BufferedResponse
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets
from bluebellslip._internal.proxy.routed_request import (
    AttemptOptions,
    RoutedRequest,
    estimate_size,
)
from bluebellslip._internal.proxy.server_selection import (
    Requirements,
    ServerChoice,
    ServerSelector,
)
from bluebellslip._internal.proxy.trace import AttemptTrace, RequestTrace

# A request fails after this many servers have refused it; each refusal by
# another node costs one to two milliseconds. For a large service, the limit is
# one in SERVERS_PER_REFUSAL of its servers.
MIN_REFUSAL_LIMIT: Final = 4
SERVERS_PER_REFUSAL: Final = 5
_KILOBYTE: Final = 1024


def limit_refusals(servers: int) -> int:
    """Return how many of a service's servers may refuse one request."""
    return max(MIN_REFUSAL_LIMIT, servers // SERVERS_PER_REFUSAL)


class VersionChooser(Protocol):
    """Assigns requests to the versions of a service during a roll-out."""

    def choose_target(self, service: ServiceName) -> bool:
        """Return whether a roll-out's target version gets the next request."""

    def select(
        self,
        service: ServiceName,
        endpoints: Sequence[Endpoint],
        *,
        for_target: bool,
    ) -> Sequence[Endpoint]:
        """Return the servers whose version a request may be sent to."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoutingContext:
    """Dependencies shared by the attempts of all requests of a node."""

    clock: Clock
    peer_table: PeerTable
    server_selector: ServerSelector
    forwarder: RequestForwarder
    versions: VersionChooser
    sizes: ResponseSizes
    budgets: RetryBudgets
    fatal_requests: FatalRequests
    evacuations: Evacuations
    quotas: QuotaService

    def list_servers(
        self, service: ServiceName, refused_domains: Collection[str] = ()
    ) -> Sequence[Endpoint]:
        """Return the servers of a service that may get requests."""
        return self.evacuations.select(
            self.peer_table.endpoints(service), refused_domains
        )


class Attempts:
    """The attempts of one request.

    ``may_have_run`` says whether a server may have run the request in one of
    the attempts that have ended.

    Parameters
    ----------
    context
        Dependencies shared by all requests.
    routed
        The request.
    max_servers
        Maximum number of servers that the request may reach.
    trace
        Records the attempts for the log.
    """

    def __init__(
        self,
        context: RoutingContext,
        routed: RoutedRequest,
        max_servers: int,
        trace: RequestTrace,
    ) -> None:
        self._context = context
        self._routed = routed
        self._trace = trace
        self._retries = RequestRetries(
            context.clock,
            context.peer_table,
            routed,
            max_servers,
            context.budgets,
            context.fatal_requests,
            trace,
        )
        self._for_target = context.versions.choose_target(routed.service)
        self._refused: set[NodeId] = set()
        self._reached: set[NodeId] = set()
        self._evacuated: set[str] = set()
        self._failed_response: BufferedResponse | None = None
        self.may_have_run = False

    @property
    def has_reached_server(self) -> bool:
        """Whether an attempt that has ended may have reached a server."""
        return bool(self._reached)

    async def run(self) -> BufferedResponse | None:
        """Return a response, or none if it was streamed to the caller.

        If no attempt succeeds, the latest response with a server error is
        returned.

        Raises
        ------
        BluebellError
            When no attempt got a response, with the reason of the last failure;
            or when no server can be chosen for an attempt, even if an earlier
            one got a response with a server error.
        """
        with self._retries:
            return await self._run()

    async def _run(self) -> BufferedResponse | None:
        while True:
            result = await self._attempt(self._choose())
            if result.error is None and not self._is_failure(result):
                self._record_size(result.response)
                return result.response
            self._update_target(result)
            if not self._retries.allow(
                result, len(self._list_untried()), len(self._reached)
            ):
                return self._finish(result)

    def _record_size(self, response: BufferedResponse | None) -> None:
        if response is not None:
            self._context.sizes.record(self._routed.route, len(response.body))

    def _is_failure(self, result: AttemptResult) -> bool:
        response = result.response
        if response is None or not response.is_failure:
            return False
        self._failed_response = response
        return True

    def _update_target(self, result: AttemptResult) -> None:
        error = result.error
        if error is not None and error.kind is ErrorKind.VERSION_STOPPED:
            self._for_target = False

    def _finish(self, result: AttemptResult) -> BufferedResponse:
        # A response that was passed on in part can only be cut off.
        is_started = self._routed.request.reply.started
        if self._failed_response is not None and not is_started:
            return self._failed_response
        if result.error is None:
            raise NoServerError('No server responded.')
        raise result.error

    def _list_untried(self) -> list[Endpoint]:
        """Return the servers that may still be tried."""
        if self._context.forwarder.stopped:
            return []
        service = self._routed.service
        known = self._context.list_servers(service, self._evacuated)
        if len(self._refused) >= limit_refusals(len(known)):
            return []
        endpoints = self._context.versions.select(
            service, known, for_target=self._for_target
        )
        tried = self._refused | self._reached
        return [
            endpoint for endpoint in endpoints if endpoint.node not in tried
        ]

    def _choose(self) -> ServerChoice:
        _check_time(self._context, self._routed)
        chosen = self._context.server_selector.choose(
            self._list_untried(), self._requirements
        )
        if chosen is None:
            raise self._make_refusal()
        known = self._context.list_servers(
            self._routed.service, self._evacuated
        )
        if len(self._refused) + 1 >= limit_refusals(len(known)):
            # If this server refuses too, no other is tried, so the request may
            # wait in this server's queue as long as it can still start.
            now = self._context.clock.elapsed()
            max_wait = _estimate_longest_wait(self._routed, known, now)
            return ServerChoice(chosen.endpoint, max_wait)
        return chosen

    def _make_refusal(self) -> BluebellError:
        """Return the error for a request without a server to try."""
        if self._context.forwarder.stopped:
            return make_stop_error(may_have_run=False)
        service = self._routed.service
        known = len(self._context.list_servers(service, self._evacuated))
        context = {
            'service': service,
            'known': str(known),
            'asked': str(len(self._refused | self._reached)),
        }
        if known:
            return OverloadedError(
                'No server of the service has capacity in time.',
                context=context,
            )
        if self._context.peer_table.endpoints(service):
            return EvacuatedError(
                'All servers of the service are in evacuated failure domains.',
                context=context,
            )
        return NoServerError(
            'No server of the service accepts requests.', context=context
        )

    @property
    def _requirements(self) -> Requirements:
        now = self._context.clock.elapsed()
        route = self._routed.route
        size = estimate_size(
            self._routed.request
        ) + self._context.sizes.estimate(route)
        return Requirements(
            route=route,
            kilobytes=size / _KILOBYTE,
            time_to_objective=self._routed.objective - now,
            time_to_deadline=self._routed.cutoff - now,
        )

    async def _attempt(self, choice: ServerChoice) -> AttemptResult:
        endpoint = choice.endpoint
        clock = self._context.clock
        options = AttemptOptions(
            endpoint.lifetime,
            choice.max_wait,
            self._for_target,
            is_retry=self._routed.from_retry or bool(self._reached),
            rate_limit=endpoint.rate_limit,
        )
        time_left = self._routed.cutoff - clock.elapsed()
        trace = AttemptTrace.from_endpoint(
            endpoint, min(choice.max_wait, time_left), clock.elapsed()
        )
        self._trace.attempts.append(trace)
        endpoint.in_flight += 1
        result = AttemptResult()
        try:
            await self._context.forwarder.forward(
                endpoint, self._routed, options, result
            )
        except BluebellError as error:
            result.error = error
        finally:
            self._record_attempt(endpoint, result, trace)
        return result

    def _record_attempt(
        self, endpoint: Endpoint, result: AttemptResult, trace: AttemptTrace
    ) -> None:
        endpoint.in_flight -= 1
        error = result.error
        if error is not None and error.kind is ErrorKind.EVACUATED:
            # This node hasn't heard of the order yet. All nodes of the domain
            # refuse, and that doesn't count against the limit of refusals.
            self._evacuated.add(endpoint.locality.failure_domain)
        else:
            tried = self._reached if result.reached else self._refused
            tried.add(endpoint.node)
        if result.reached:
            self._retries.record_arrival()
        self.may_have_run = self.may_have_run or result.may_have_run
        trace.end(result.outcome, self._context.clock.elapsed())


def _check_time(context: RoutingContext, routed: RoutedRequest) -> None:
    """Check that a request can end before this node stops.

    A server that has not run its route yet is no faster than those that have;
    the local one may have left already.

    Raises
    ------
    OverloadedError
        When it can't at any server.
    """
    if not routed.is_cut_short:
        return
    known = context.peer_table.endpoints(routed.service)
    hold_time = find_shortest_hold_time(
        known, routed.route
    ) or context.forwarder.find_local_hold_time(routed.route)
    now = context.clock.elapsed()
    latest_start = find_latest_start(
        routed.cutoff, hold_time, now, is_cut_short=True
    )
    if hold_time and now > latest_start:
        raise OverloadedError('The request can not end before this node stops.')


def _estimate_longest_wait(
    routed: RoutedRequest, endpoints: Iterable[Endpoint], now: dt.timedelta
) -> dt.timedelta:
    """Return the time after which no server can respond in time."""
    hold_time = find_shortest_hold_time(endpoints, routed.route)
    latest_start = find_latest_start(
        routed.cutoff, hold_time, now, is_cut_short=routed.is_cut_short
    )
    return latest_start - now
