"""Outbound proxy for the local server, with load balancing and retries."""

import dataclasses
import datetime as dt
from collections import defaultdict
from collections.abc import Collection, Iterable, Sequence
from typing import Final, Self

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.balancer import Balancer
from bluebellslip._internal.calls.budget import RetryBudget
from bluebellslip._internal.calls.call import Call, resolve_call
from bluebellslip._internal.calls.error_bodies import (
    MAX_ERROR_BODY_BYTES,
    decode_error,
)
from bluebellslip._internal.calls.exchange import (
    Exchange,
    Upload,
    relay_response,
)
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.calls.usage import UsageCounter
from bluebellslip._internal.calls.versions import (
    belongs_to_new_version,
    select_candidates,
)
from bluebellslip._internal.exceptions import (
    BluebellError,
    DrainingError,
    ErrorKind,
    NoServerError,
    OverloadedError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.models.identity import (
    NodeId,
    ServiceName,
    VersionName,
)

MAX_ATTEMPTS: Final = 3
MAX_CALLS_IN_FLIGHT: Final = 1024
_SERVER_ERROR: Final = 500
_PERCENT: Final = 100
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_RETRYABLE_IF_NOT_RUN: Final = frozenset((
    ErrorKind.OVERLOADED,
    ErrorKind.DRAINING,
    ErrorKind.VERSION_STOPPED,
    ErrorKind.NO_SERVER,
    ErrorKind.NOT_READY,
))
_EXEMPT_FROM_BUDGET: Final = frozenset((
    ErrorKind.DRAINING,
    ErrorKind.VERSION_STOPPED,
))
_COUNTED_AS_FAILURE: Final = frozenset((
    ErrorKind.NO_SERVER,
    ErrorKind.SERVER_FAILED,
    ErrorKind.DEADLINE_EXCEEDED,
    ErrorKind.INTERNAL,
))


@dataclasses.dataclass(slots=True)
class _FailedAttempt:
    """A failed attempt to run a call on one server.

    ``not_run`` is true if the request certainly did not run.
    """

    error: BluebellError
    endpoint: Endpoint
    not_run: bool


@dataclasses.dataclass(slots=True)
class _Progress:
    """State of one call across its attempts."""

    upload: Upload
    uses_new_version: bool
    tried: set[NodeId] = dataclasses.field(default_factory=set)
    stopped_versions: set[VersionName] = dataclasses.field(default_factory=set)

    def exclude_tried(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that may still be tried."""
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.node not in self.tried
            and endpoint.backend.version not in self.stopped_versions
        ]


class EgressHandler:
    """Forwards each call to a server of the service that the call names.

    Parameters
    ----------
    context
        The node's shared state.
    pool
        Connections to other nodes.
    """

    def __init__(self, context: Context, pool: ConnectionPool) -> None:
        self._context = context
        self._pool = pool
        self._balancer = Balancer(
            context.clock, context.random, context.locality
        )
        self._budgets: dict[ServiceName, RetryBudget] = defaultdict(RetryBudget)
        self._draining = False
        self.in_flight = UsageCounter()

    @property
    def balancer(self) -> Balancer:
        """The load balancer, which records the outcomes of calls."""
        return self._balancer

    @property
    def services(self) -> set[ServiceName]:
        """Services that have been called through this node."""
        return set(self._budgets)

    def start_draining(self) -> None:
        """Refuse new calls from now on."""
        self._draining = True

    async def handle(self, request: InboundRequest) -> None:
        """Serve a request; exceptions become error responses."""
        if self._draining:
            raise DrainingError('The node is draining.')
        if self.in_flight.count >= MAX_CALLS_IN_FLIGHT:
            raise OverloadedError('Too many outbound calls are in flight.')
        call = resolve_call(self._context, request)
        request.expire_after(call.remaining(call.started).total_seconds())
        with self.in_flight:
            await self._forward(call)

    async def _forward(self, call: Call) -> None:
        budget = self._budgets[call.service]
        budget.record_request()
        progress = _Progress(Upload(call.request), self._uses_new_version(call))
        for attempt in range(1, MAX_ATTEMPTS + 1):
            failed_attempt = await self._attempt(call, progress)
            if failed_attempt is None:
                return
            last = attempt == MAX_ATTEMPTS
            if last or not self._may_retry(
                call, progress, failed_attempt, budget
            ):
                raise failed_attempt.error
            self._context.counters.add(
                'calls_retries', kind=failed_attempt.error.kind.value
            )

    def _uses_new_version(self, call: Call) -> bool:
        split = self._context.traffic_splits.find(call.service)
        if split is None:
            return False
        sticky = call.request.fields.get(header_names.STICKY)
        key = sticky or call.key.encode() or None
        return belongs_to_new_version(split, key, self._context.random)

    def _choose_endpoint(self, call: Call, progress: _Progress) -> Endpoint:
        split = self._context.traffic_splits.find(call.service)
        endpoints: Sequence[Endpoint] = self._context.directory.endpoints(
            call.service
        )
        if progress.tried:
            endpoints = progress.exclude_tried(endpoints)
        chosen = self._balancer.pick(
            select_candidates(
                endpoints, split, uses_new_version=progress.uses_new_version
            )
        )
        if chosen is None:
            raise NoServerError(
                'The service has no server available for this call.',
                context={'service': call.service},
                hint='Check whether its servers announce themselves.',
            )
        return chosen

    async def _attempt(
        self, call: Call, progress: _Progress
    ) -> _FailedAttempt | None:
        endpoint = self._choose_endpoint(call, progress)
        progress.tried.add(endpoint.node)
        reply = call.request.reply
        may_have_run_before = reply.may_have_run
        with (
            Exchange(self._pool, endpoint.ingress) as exchange,
            _AttemptObservation(
                self._balancer, endpoint, call.request
            ) as observation,
        ):
            try:
                failed_attempt = await self._exchange(
                    call, progress, exchange, observation
                )
            except BluebellError as error:
                observation.record_error(error)
                return _FailedAttempt(
                    error, endpoint, not_run=not reply.may_have_run
                )
        if failed_attempt is not None and failed_attempt.not_run:
            reply.may_have_run = may_have_run_before
        return failed_attempt

    async def _exchange(
        self,
        call: Call,
        progress: _Progress,
        exchange: Exchange,
        observation: '_AttemptObservation',
    ) -> _FailedAttempt | None:
        await exchange.open()
        call.request.reply.may_have_run = True
        head = await exchange.send(
            call.request, self._make_headers(call), progress.upload
        )
        observation.record_head(head)
        if header_names.ERROR not in head.fields:
            await relay_response(call.request, head, exchange.connection)
            return None
        body = exchange.connection.body
        body.limit_to(MAX_ERROR_BODY_BYTES)
        error = decode_error(await body.read_all())
        observation.record_error(error)
        return _FailedAttempt(
            error,
            observation.endpoint,
            not_run=header_names.NOT_RUN in head.fields,
        )

    def _make_headers(self, call: Call) -> list[Header]:
        time_left = call.remaining(self._context.clock.elapsed())
        headers = header_names.filter_headers(call.request.headers)
        headers.extend((
            (
                header_names.TIMEOUT_MS,
                b'%d' % max(1, time_left // _MILLISECOND),
            ),
            (header_names.DEPTH, b'%d' % (call.depth + 1)),
        ))
        return headers

    def _may_retry(
        self,
        call: Call,
        progress: _Progress,
        failed_attempt: _FailedAttempt,
        budget: RetryBudget,
    ) -> bool:
        if call.request.reply.started or not progress.upload.replayable:
            return False
        kind = failed_attempt.error.kind
        if kind is ErrorKind.VERSION_STOPPED:
            progress.stopped_versions.add(
                failed_attempt.endpoint.backend.version
            )
            progress.uses_new_version = False
        if not is_retryable(
            kind,
            not_run=failed_attempt.not_run,
            is_at_most_once=call.is_at_most_once,
        ):
            return False
        if not self._has_untried_server(call, progress.tried):
            return False
        return kind in _EXEMPT_FROM_BUDGET or budget.try_spend()

    def _has_untried_server(
        self, call: Call, tried: Collection[NodeId]
    ) -> bool:
        return any(
            endpoint.node not in tried
            for endpoint in self._context.directory.endpoints(call.service)
        )


class _AttemptObservation:
    """Reports the outcome of one attempt to the load balancer."""

    def __init__(
        self, balancer: Balancer, endpoint: Endpoint, request: InboundRequest
    ) -> None:
        self.endpoint = endpoint
        self._balancer = balancer
        self._request = request
        self._failed: bool | None = None

    def __enter__(self) -> Self:
        self._balancer.begin(self.endpoint)
        return self

    def __exit__(self, *raised: object) -> None:
        """Count the attempt's end; an expired call counts as a failure."""
        failed = True if self._request.expired else self._failed
        self._balancer.end(self.endpoint, failed=failed)

    def record_head(self, head: ResponseHead) -> None:
        """Record a response's status and reported load."""
        self._failed = head.status >= _SERVER_ERROR
        load = head.fields.get(header_names.LOAD)
        if load is not None and load.isdigit():
            self._balancer.record_load(self.endpoint, int(load) / _PERCENT)

    def record_error(self, error: BluebellError) -> None:
        """Record an error; only some kinds mean that the server failed."""
        self._failed = True if error.kind in _COUNTED_AS_FAILURE else None


def is_retryable(
    kind: ErrorKind, *, not_run: bool, is_at_most_once: bool
) -> bool:
    """Return whether a call may be retried on another server after an error.

    A request that certainly did not run may be retried if another server may
    accept it. After an interrupted exchange only idempotent requests are
    retried. If an at-most-once request is retried, the claim under its
    idempotency key prevents a second run.
    """
    if not_run:
        return kind in _RETRYABLE_IF_NOT_RUN
    return kind is ErrorKind.SERVER_FAILED and not is_at_most_once
