"""Requests of callers beside this node, and what they are answered."""

import asyncio
import dataclasses
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.dialect import Dialect
from bluebellslip._internal.calls.error_bodies import encode_error
from bluebellslip._internal.calls.exchange import Upload
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.usage import UsageCounter
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    ErrorKind,
    MalformedError,
    NotFoundError,
    NotReadyError,
    OverloadedError,
    TooLargeError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh import RouteRule
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip._internal.proxy.answers import Answer
from bluebellslip._internal.proxy.attempts import Attempts, Mesh
from bluebellslip._internal.proxy.parents import RunningRequests
from bluebellslip._internal.proxy.patience import CallerPatience
from bluebellslip._internal.proxy.placement import estimate_return
from bluebellslip._internal.proxy.retry_budget import SharedRetryBudget
from bluebellslip._internal.proxy.trace import (
    RequestTrace,
    is_sampled,
    to_ms,
)
from bluebellslip._internal.proxy.work import REPLAY_BYTES, Work

logger = logging.getLogger(__name__)

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_LONGEST_MS: Final = 86_400_000  # milliseconds of a day
# The least time after which a refused caller is asked to come back: a few
# times the way to a client.
LEAST_RETURN: Final = dt.timedelta(milliseconds=50)
# The longest: servers that left are replaced within about a second.
LONGEST_RETURN: Final = dt.timedelta(seconds=1)
# Callers that were refused together come back spread over this many times the
# time that room is expected in.
RETURN_SPREAD: Final = 1.0
_JSON: Final = (b'content-type', b'application/json')
# Statuses by which callers know that a request did not run.
_PROMISES: Final = frozenset((408, 421, 429, 503))
# Errors after which the caller may as well come back to this node.
_COMES_BACK: Final = frozenset((
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
    ErrorKind.VERSION_STOPPED,
    ErrorKind.NO_SERVER,
    ErrorKind.NOT_READY,
    ErrorKind.DEADLINE_EXCEEDED,
))


@dataclasses.dataclass(frozen=True, slots=True)
class CallerSide:
    """What the handler of callers needs to know of its node.

    Parameters
    ----------
    service
        The service beside the node, which servers are told as the caller.
    dialect
        Names of callers' headers.
    bounds
        Bounds of the deployment.
    """

    service: ServiceName
    dialect: Dialect
    bounds: Bounds


class CallerHandler:
    """Answers requests of clients and of the server beside the node.

    Parameters
    ----------
    side
        The node's own facts.
    mesh
        What attempts need.
    holder
        The configuration in force.
    random_source
        Spreads returns.
    counters
        Counts by route and outcome.
    running
        Requests that the server beside the node runs.
    on_outgoing
        Called with each request to another service than the one beside the
        node, and whether it got no answer of a server.
    """

    def __init__(
        self,
        side: CallerSide,
        mesh: Mesh,
        holder: ConfigHolder,
        random_source: Random,
        counters: Counters,
        running: RunningRequests,
        on_outgoing: Callable[[bool], None],
    ) -> None:
        self._on_outgoing = on_outgoing
        self._side = side
        self._mesh = mesh
        self._holder = holder
        self._random = random_source
        self._counters = counters
        self._budgets: dict[ServiceName, SharedRetryBudget] = {}
        self._patience = CallerPatience(mesh.clock)
        self._running = running
        self.in_flight = UsageCounter()

    def apply(self, bounds: Bounds) -> None:
        """Apply other bounds of the deployment from now on."""
        if bounds != self._side.bounds:
            self._side = dataclasses.replace(self._side, bounds=bounds)
            self._budgets.clear()

    async def handle(self, request: InboundRequest) -> None:
        """Answer a request."""
        trace = RequestTrace(
            self._read_id(request).decode('latin-1'), self._mesh.clock.elapsed()
        )
        with self.in_flight:
            try:
                table = self._find_table()
                rule = self._find_rule(table, request)
            except BluebellError as error:
                self._refuse(request, error, trace, may_have_run=False)
                return
            work = self._make_work(table, rule, request)
            trace.route = rule.name
            trace.service = work.service
            trace.revision = table.config.revision
            trace.time_left_ms = to_ms(work.deadline - trace.begun)
            await self._serve(work, rule, trace)

    def _read_id(self, request: InboundRequest) -> bytes:
        return request.fields.get(self._side.dialect.request_id, b'')

    def _find_table(self) -> RoutingTable:
        table = self._holder.table
        if table is None:
            raise NotReadyError('The node holds no configuration yet.')
        return table

    def _find_rule(
        self, table: RoutingTable, request: InboundRequest
    ) -> RouteRule:
        host = names.read_host(request.headers, request.fields)
        path = request.target.decode('latin-1').partition('?')[0]
        if not path.startswith('/'):
            raise MalformedError(
                'The target must be an absolute path.', context={'found': path}
            )
        rule = table.match(host, path)
        if rule is None:
            raise NotFoundError(
                'No route takes this request.',
                context={'host': host, 'path': path},
            )
        limit = table.config.bounds.body_bytes
        length = names.read_number(request.fields, names.CONTENT_LENGTH)
        if length is not None and length > limit:
            raise TooLargeError(
                'The body is too large.', context={'limit': f'{limit} bytes'}
            )
        request.body.limit_to(limit)
        return rule

    def _make_work(
        self, table: RoutingTable, rule: RouteRule, request: InboundRequest
    ) -> Work:
        now = self._mesh.clock.elapsed()
        told = self._read_told_ms(request)
        timeout = rule.timeout
        spent = dt.timedelta()
        if told is not None:
            timeout = min(timeout, told * _MILLISECOND)
            spent = self._patience.estimate_spent(rule.name, told)
        deadline = now + timeout
        objective = now + rule.target_latency - spent
        request_id = self._read_id(request)
        depth = int(self._running.has_parent(request_id))
        if depth:
            # Its parent waits until the deadline; nothing is lost before.
            objective = deadline
        return Work(
            request=request,
            upload=Upload(request, REPLAY_BYTES),
            request_id=request_id,
            service=table.choose_service(rule),
            route=rule.name,
            runs=rule.runs,
            priority=rule.priority,
            deadline=deadline,
            objective=objective,
            caller=self._side.service,
            depth=depth,
        )

    def _read_told_ms(self, request: InboundRequest) -> int | None:
        """Return the time that the caller allows, if it says so."""
        text = request.fields.get(self._side.dialect.deadline_ms, b'')
        return min(int(text), _LONGEST_MS) if text.isdigit() else None

    def _find_budget(self, service: ServiceName) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._side.bounds
            budget = SharedRetryBudget(
                self._mesh.clock,
                bounds.retry_ratio,
                bounds.retry_reserve,
                dt.timedelta(seconds=bounds.retry_window),
            )
            self._budgets[service] = budget
        return budget

    async def _serve(
        self, work: Work, rule: RouteRule, trace: RequestTrace
    ) -> None:
        budget = self._find_budget(work.service)
        budget.earn()
        attempts = Attempts(self._mesh, work, rule.max_attempts, budget, trace)
        left = work.deadline - self._mesh.clock.elapsed()
        try:
            async with asyncio.timeout(left.total_seconds()):
                answer = await attempts.run()
        except TimeoutError:
            answer = None
            error: BluebellError = DeadlineExceededError(
                'The time of the request is over.'
            )
        except BluebellError as failure:
            answer = None
            error = failure
        except asyncio.CancelledError:
            self._note(trace, 'caller-left')
            raise
        else:
            self._count_outgoing(work, failed=False)
            self._deliver(work, answer, trace)
            return
        self._count_outgoing(work, failed=True)
        self._refuse(
            work.request, error, trace, may_have_run=attempts.may_have_run
        )

    def _count_outgoing(self, work: Work, *, failed: bool) -> None:
        if work.service != self._side.service:
            self._on_outgoing(failed)

    def _deliver(
        self, work: Work, answer: Answer | None, trace: RequestTrace
    ) -> None:
        if answer is None:
            self._note(trace, 'streamed')
            return
        head = answer.head
        reply = work.request.reply
        reply.start(
            head.status,
            names.filter_response_headers(head.headers),
            _find_length(head.length, answer.body, work.request.method),
        )
        reply.finish(answer.body)
        self._note(trace, str(head.status))

    def _refuse(
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
            self._note(trace, 'broken-off', error)
            return
        self._patience.note_refusal()
        status = _choose_status(error, may_have_run=may_have_run)
        fields: list[Header] = [_JSON]
        request_id = self._read_id(request)
        if request_id:
            fields.append((self._side.dialect.request_id, request_id))
        if not may_have_run and error.kind in _COMES_BACK:
            after = self._choose_return(trace.service)
            fields.append((names.RETRY_AFTER, b'%.3f' % after.total_seconds()))
        reply.respond(status, fields, encode_error(error))
        self._note(trace, str(status), error)

    def _choose_return(self, service: str) -> dt.timedelta:
        """Return when a refused caller is likely to find room."""
        expected = estimate_return(
            self._mesh.peer_table.endpoints(ServiceName(service)),
            LONGEST_RETURN,
            self._mesh.clock.elapsed(),
        )
        spread = 1 + RETURN_SPREAD * self._random.random()
        return max(LEAST_RETURN, expected) * spread

    def _note(
        self,
        trace: RequestTrace,
        outcome: str,
        error: BluebellError | None = None,
    ) -> None:
        spent = self._mesh.clock.elapsed() - trace.begun
        self._counters.add('requests', route=trace.route, outcome=outcome)
        self._counters.observe(
            'request_seconds', spent.total_seconds(), route=trace.route
        )
        if error is not None:
            fields = trace.describe(outcome, spent)
            fields |= {'reason': error.kind.value, 'detail': str(error)}
            logger.info('request_failed', extra=fields)
        elif len(trace.attempts) > 1 or is_sampled(trace.request_id):
            logger.info('request_served', extra=trace.describe(outcome, spent))


def _choose_status(error: BluebellError, *, may_have_run: bool) -> int:
    """Return the status of an answer of the node's own.

    503 promises that the request did not run and never will.
    """
    if error.kind is ErrorKind.DEADLINE_EXCEEDED and not may_have_run:
        return ERROR_RESPONSES[OverloadedError.kind].status
    status = ERROR_RESPONSES[error.kind].status
    if may_have_run and status in _PROMISES:
        return ERROR_RESPONSES[ErrorKind.SERVER_FAILED].status
    return status


def _find_length(length: int | None, body: bytes, method: bytes) -> int:
    """Return the length to announce; an answer to HEAD keeps the server's."""
    if method == b'HEAD' and length is not None:
        return length
    return len(body)
