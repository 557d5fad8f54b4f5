"""Outbound side: requests of clients and of the local server."""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.accounts.account_counter import AccountCounter
from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.error_bodies import encode_error
from bluebellslip._internal.calls.exchange import Upload
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.usage import UsageCounter
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    DrainingError,
    ErrorKind,
    MalformedError,
    MemoryShortError,
    NotFoundError,
    NotReadyError,
    OverloadedError,
    RateLimitedError,
    TooLargeError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.mesh.config_freshness import ConfigFreshness
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh import AccountRule, RouteRule
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.proxy.attempts import Attempts, RoutingContext
from bluebellslip._internal.proxy.caller_settings import CallerSettings
from bluebellslip._internal.proxy.caller_waits import CallerWaitEstimator
from bluebellslip._internal.proxy.error_statuses import (
    RETRYABLE_ERRORS,
    choose_status,
)
from bluebellslip._internal.proxy.request_cutoffs import (
    RequestCutoffs,
    make_stop_error,
)
from bluebellslip._internal.proxy.request_keys import RequestKeys
from bluebellslip._internal.proxy.responses import BufferedResponse
from bluebellslip._internal.proxy.retry_after import (
    CATCH_UP_TIME,
    MAX_RETRY_AFTER,
    choose_retry_after,
    extend_retry_after,
)
from bluebellslip._internal.proxy.routed_request import (
    MAX_REPLAY_BYTES,
    NO_ACCOUNT,
    RoutedRequest,
)
from bluebellslip._internal.proxy.running_requests import RunningRequests
from bluebellslip._internal.proxy.trace import (
    RequestTrace,
    abbreviate,
    is_sampled,
    to_ms,
)

logger = logging.getLogger(__name__)

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_MAX_TIMEOUT_MS: Final = 86_400_000  # one day
_JSON: Final = (b'content-type', b'application/json')


class CallerHandler:
    """Handles requests of clients and of the local server.

    Parameters
    ----------
    settings
        Settings of this node.
    context
        Dependencies of the attempts.
    freshness
        The active configuration, and what it may still decide.
    random_source
        Randomizes Retry-After.
    counters
        Metrics by route and outcome.
    running
        Requests that the local server is running.
    on_outgoing
        Called at the end of each request to a service other than the local
        server's, unless the caller disconnected; the argument says whether
        the request ended without a complete response.
    keys
        Identifies the client accounts of requests.
    """

    def __init__(
        self,
        settings: CallerSettings,
        context: RoutingContext,
        freshness: ConfigFreshness,
        random_source: Random,
        counters: Counters,
        running: RunningRequests,
        on_outgoing: Callable[[bool], None],
        keys: RequestKeys,
    ) -> None:
        self._on_outgoing = on_outgoing
        self._settings = settings
        self._context = context
        self._freshness = freshness
        self._random = random_source
        self._counters = counters
        self._account_counter = AccountCounter(counters)
        self._caller_waits = CallerWaitEstimator(context.clock)
        self._running = running
        self._cutoffs = RequestCutoffs(context.clock)
        self._keys = keys
        self.in_flight = UsageCounter()

    def apply(self, bounds: Bounds) -> None:
        """Apply new limits of the deployment from now on."""
        self._context.budgets.apply(bounds)

    def set_cutoff(self, latest: dt.timedelta) -> None:
        """Respond to all requests, running or new, by a time.

        Parameters
        ----------
        latest
            Time on the node's clock.
        """
        self._cutoffs.shorten(latest)

    async def handle(self, request: InboundRequest) -> None:
        """Respond to a request."""
        trace = self._begin_trace(request)
        with self.in_flight:
            try:
                routed, rule = self._route(request, trace)
            except BluebellError as error:
                self._send_error(request, error, trace, may_have_run=False)
                return
            await self._serve(routed, rule, trace)

    def refuse(self, request: InboundRequest, error: BluebellError) -> None:
        """Respond with an error to a request that is not to be handled."""
        trace = self._begin_trace(request)
        try:
            trace.service = self._find_service(request, trace)
        except BluebellError as own_error:
            self._send_error(request, own_error, trace, may_have_run=False)
            return
        self._send_error(request, error, trace, may_have_run=False)

    def _route(
        self, request: InboundRequest, trace: RequestTrace
    ) -> tuple[RoutedRequest, RouteRule]:
        """Return a request with its route, and record both in its trace."""
        table = self._get_table()
        trace.revision = table.config.revision
        rule = self._find_rule(table, request)
        trace.route = rule.name
        account = self._keys.identify(table, rule, request)
        routed = self._make_routed_request(table, rule, request, account)
        trace.account = routed.account
        trace.service = routed.service
        trace.from_retry = routed.from_retry
        trace.time_left_ms = to_ms(routed.deadline - trace.started)
        return routed, rule

    def _find_service(
        self, request: InboundRequest, trace: RequestTrace
    ) -> ServiceName:
        """Return the service of a request, and record its route."""
        table = self._get_table()
        rule = self._find_rule(table, request)
        trace.route = rule.name
        return table.choose_service(rule)

    def _begin_trace(self, request: InboundRequest) -> RequestTrace:
        return RequestTrace(
            self._read_id(request).decode('latin-1'),
            self._context.clock.elapsed(),
        )

    def _read_id(self, request: InboundRequest) -> bytes:
        return request.fields.get(
            self._settings.metadata_headers.request_id, b''
        )

    def _get_table(self) -> RoutingTable:
        table = self._freshness.table
        if table is None:
            raise NotReadyError('The node holds no configuration yet.')
        self._freshness.check_routing()
        return table

    def _find_rule(
        self, table: RoutingTable, request: InboundRequest
    ) -> RouteRule:
        host = header_names.read_host(request.headers, request.fields)
        path = request.target.decode('latin-1').partition('?')[0]
        if not path.startswith('/'):
            raise MalformedError(
                'The target must be an absolute path.',
                context={'found': abbreviate(path)},
            )
        rule = table.match(host, path)
        if rule is None:
            self._freshness.check_final()
            raise NotFoundError(
                'No route matches this request.',
                context={'host': abbreviate(host), 'path': abbreviate(path)},
            )
        limit = table.config.bounds.body_bytes
        length = header_names.read_number(
            request.fields, header_names.CONTENT_LENGTH
        )
        if length is not None and length > limit:
            raise TooLargeError(
                'The body is too large.', context={'limit': f'{limit} bytes'}
            )
        request.body.limit_to(limit)
        return rule

    def _make_routed_request(
        self,
        table: RoutingTable,
        rule: RouteRule,
        request: InboundRequest,
        account: AccountRule | None,
    ) -> RoutedRequest:
        now = self._context.clock.elapsed()
        timeout_ms = self._read_timeout_ms(request)
        timeout = rule.timeout
        spent = dt.timedelta()
        if timeout_ms is not None:
            timeout = min(timeout, timeout_ms * _MILLISECOND)
            spent = self._caller_waits.estimate_spent(rule.name, timeout_ms)
        deadline = now + timeout
        objective = now + rule.target_latency - spent
        request_id = self._read_id(request)
        priority = _choose_priority(rule, account)
        parent = self._running.find_parent(request_id)
        if parent is not None:
            # The parent request waits until the deadline, so an earlier
            # response gains nothing.
            objective = deadline
            priority = parent.choose_call_priority(priority)
        return RoutedRequest(
            request=request,
            upload=Upload(request, MAX_REPLAY_BYTES),
            request_id=request_id,
            service=table.choose_service(rule),
            route=rule.name,
            runs=rule.runs,
            priority=priority,
            deadline=deadline,
            cutoff=deadline,
            objective=objective,
            caller=self._settings.service,
            depth=int(parent is not None),
            parent=parent,
            account=NO_ACCOUNT if account is None else account.name,
        )

    def _read_timeout_ms(self, request: InboundRequest) -> int | None:
        """Return the timeout that the caller sent, in milliseconds, if any."""
        text = request.fields.get(
            self._settings.metadata_headers.deadline_ms, b''
        )
        return header_names.parse_count(text, _MAX_TIMEOUT_MS)

    async def _serve(
        self, routed: RoutedRequest, rule: RouteRule, trace: RequestTrace
    ) -> None:
        attempts = Attempts(self._context, routed, rule.max_attempts, trace)
        try:
            async with self._cutoffs.enforce(routed):
                response = await self._admit_and_run(routed, attempts)
        except TimeoutError:
            response = None
            error = self._make_timeout_error(
                routed, may_have_run=attempts.may_have_run
            )
        except BluebellError as failure:
            response = None
            error = failure
            if attempts.has_reached_server:
                routed.record_failure()
        except asyncio.CancelledError:
            self._record_cancellation(
                routed, trace, may_have_run=attempts.may_have_run
            )
            raise
        else:
            self._count_outgoing(routed, failed=False)
            if response is not None and response.is_failure:
                routed.record_failure()
            self._send_response(routed, response, trace)
            return
        if not self._cutoffs.ends_early(routed):
            self._count_outgoing(routed, failed=True)
        self._send_error(
            routed.request, error, trace, may_have_run=attempts.may_have_run
        )

    async def _admit_and_run(
        self, routed: RoutedRequest, attempts: Attempts
    ) -> BufferedResponse | None:
        if routed.is_short:
            # A slot would be held, and the request be passed on in part, until
            # the rest of the body has arrived.
            await routed.upload.buffer()
        if not routed.account:
            self._count_request(routed)
            return await attempts.run()
        quotas = self._context.quotas
        permit = await quotas.admit(routed.account)
        self._count_request(routed)
        try:
            return await attempts.run()
        except (BluebellError, asyncio.CancelledError):
            if not attempts.may_have_run:
                quotas.give_back(permit)
            raise

    def _count_request(self, routed: RoutedRequest) -> None:
        """Count a request in the retry budget of its service.

        Raises
        ------
        OverloadedError
            When it is a call of a retried request that the budget doesn't
            allow.
        """
        if not routed.from_retry:
            self._context.budgets.record_request(routed.service)
        if routed.parent is None or routed.parent.record_call(routed.service):
            return
        routed.record_failure()
        raise OverloadedError(
            'The retry budget does not allow this call of a retried request.',
            context={'service': routed.service},
        )

    def _count_outgoing(self, routed: RoutedRequest, *, failed: bool) -> None:
        if routed.service != self._settings.service:
            self._on_outgoing(failed)

    def _send_response(
        self,
        routed: RoutedRequest,
        response: BufferedResponse | None,
        trace: RequestTrace,
    ) -> None:
        if response is None:
            self._record_outcome(trace, 'streamed')
            return
        head = response.head
        reply = routed.request.reply
        reply.start(
            head.status,
            header_names.filter_headers(head.headers),
            _choose_length(head.length, response.body, routed.request.method),
        )
        reply.finish(response.body)
        self._record_outcome(trace, str(head.status))

    def _send_error(
        self,
        request: InboundRequest,
        error: BluebellError,
        trace: RequestTrace,
        *,
        may_have_run: bool,
    ) -> None:
        reply = request.reply
        if reply.started:
            reply.writer.abort()
            self._record_outcome(trace, 'broken-off', error)
            return
        self._caller_waits.record_error()
        status = choose_status(error, may_have_run=may_have_run)
        fields: list[Header] = [_JSON]
        request_id = self._read_id(request)
        if request_id:
            fields.append((
                self._settings.metadata_headers.request_id,
                request_id,
            ))
        if not may_have_run and error.kind in RETRYABLE_ERRORS:
            after = self._choose_retry_after(error, trace)
            fields.append((
                header_names.RETRY_AFTER,
                b'%.3f' % after.total_seconds(),
            ))
        reply.respond(status, fields, encode_error(error))
        self._record_outcome(trace, str(status), error)

    def _choose_retry_after(
        self, error: BluebellError, trace: RequestTrace
    ) -> dt.timedelta:
        if isinstance(error, RateLimitedError):
            return error.retry_after
        if isinstance(error, MemoryShortError):
            return extend_retry_after(MAX_RETRY_AFTER, self._random)
        if error.kind is ErrorKind.NOT_READY:
            return extend_retry_after(CATCH_UP_TIME, self._random)
        return choose_retry_after(
            self._context.list_servers(ServiceName(trace.service)),
            self._context.clock.elapsed(),
            self._random,
        )

    def _make_timeout_error(
        self, routed: RoutedRequest, *, may_have_run: bool
    ) -> BluebellError:
        if self._cutoffs.ends_early(routed):
            return make_stop_error(may_have_run=may_have_run)
        return DeadlineExceededError('The deadline of the request has passed.')

    def _record_cancellation(
        self, routed: RoutedRequest, trace: RequestTrace, *, may_have_run: bool
    ) -> None:
        request = routed.request
        if request.closed_by_node:
            self._record_outcome(
                trace,
                'connection-closed',
                DrainingError('An earlier response closed the connection.'),
            )
        elif request.connection_closed:
            self._record_outcome(trace, 'caller-left')
        else:
            self._record_outcome(
                trace, 'cut-off', make_stop_error(may_have_run=may_have_run)
            )

    def _record_outcome(
        self,
        trace: RequestTrace,
        outcome: str,
        error: BluebellError | None = None,
    ) -> None:
        spent = self._context.clock.elapsed() - trace.started
        self._counters.add('requests', route=trace.route, outcome=outcome)
        self._counters.observe(
            'request_seconds', spent.total_seconds(), route=trace.route
        )
        failed = error is not None
        self._account_counter.record(trace.account, outcome, failed=failed)
        self._count_decisions(trace)
        if error is not None:
            fields = trace.describe(outcome, spent)
            fields |= {'reason': error.kind.value, 'detail': str(error)}
            logger.info('request_failed', extra=fields)
        elif trace.has_failed_attempt or is_sampled(trace.request_id):
            logger.info('request_served', extra=trace.describe(outcome, spent))

    def _count_decisions(self, trace: RequestTrace) -> None:
        for attempt in trace.attempts:
            if attempt.decision:
                self._counters.add(
                    'failed_attempts',
                    service=trace.service,
                    decision=attempt.decision,
                )


def _choose_priority(rule: RouteRule, account: AccountRule | None) -> int:
    """Return the priority of a request; its account's takes precedence."""
    if account is None or account.priority is None:
        return rule.priority
    return account.priority


def _choose_length(length: int | None, body: bytes, method: bytes) -> int:
    """Return the Content-Length to send; for HEAD, that of the server."""
    if method == b'HEAD' and length is not None:
        return length
    return len(body)
