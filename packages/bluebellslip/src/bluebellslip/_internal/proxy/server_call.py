"""One request to the local server.

Tracks whether the server may have run the request.
"""

import asyncio
import contextlib
import datetime as dt
from collections.abc import Mapping
from types import TracebackType
from typing import Final, Self

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.calls.tickets import Ticket
from bluebellslip._internal.exceptions import (
    BluebellError,
    OverloadedError,
    QuarantinedError,
    ServerFailedError,
)
from bluebellslip._internal.fleet.local_server import ServerInfo
from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.proxy.latest_starts import find_latest_start
from bluebellslip._internal.proxy.request_fingerprints import (
    hash_head,
    make_fingerprint,
)
from bluebellslip._internal.proxy.routed_request import (
    AttemptOptions,
    RoutedRequest,
)
from bluebellslip._internal.proxy.running_requests import RunningRequest
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from bluebellslip._internal.proxy.server_waits import ServerWait

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_MIN_SERVER_ERROR: Final = 500
_MISDIRECTED: Final = 421
_KEEP_ALIVE: Final = b'keep-alive'
_TIMEOUT_FIELD: Final = b'timeout='
_MAX_IDLE_LIMIT_S: Final = 86_400
# A request that must not run twice is sent only over a connection that was used
# within this time: if the server has dropped the connection meanwhile, it would
# be unknown whether the request ran.
NON_IDEMPOTENT_MAX_IDLE_S: Final = 1.0


class ServerCall:
    """One request to the local server, from admission to the response's end.

    ``sent`` is set once the server may have run the request, ``not_run`` if
    the server has reported that it did not.

    Parameters
    ----------
    gateway
        Access to the server.
    routed
        The request.
    options
        Options of this attempt.
    """

    def __init__(
        self,
        gateway: ServerGateway,
        routed: RoutedRequest,
        options: AttemptOptions,
    ) -> None:
        self._gateway = gateway
        self._routed = routed
        self._options = options
        self._ticket: Ticket | None = None
        self._info: ServerInfo | None = None
        self._exchange: Exchange | None = None
        self._run: RunningRequest | None = None
        self._started = dt.timedelta()
        self._head = hash_head(routed)
        self._request_status = RequestStatus.CANCELLED
        self.sent = False
        self.not_run = False
        now = gateway.clock.elapsed()
        self._arrived = now
        self._hold_time = gateway.measurements.hold_times.get(routed.route)
        self._refusal_time = routed.find_refusal_time(now)

    @property
    def latest_start(self) -> dt.timedelta:
        """Time on the node's clock after which the request isn't passed on.

        It comes earlier once the node of the request's caller stops.
        """
        return find_latest_start(
            self._routed.cutoff,
            self._hold_time,
            self._arrived,
            is_cut_short=self._routed.is_cut_short,
        )

    @property
    def connection(self) -> OutboundConnection:
        """The connection that carries the response."""
        if self._exchange is None:
            raise RuntimeError('the call has no connection yet')
        return self._exchange.connection

    @property
    def has_failed_call(self) -> bool:
        """Whether a call that the server made for the request has failed."""
        return self._run is not None and self._run.has_failed_call

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._exchange is not None:
            self._exchange.close()
        if self.sent and self._info is not None:
            self._record_end(self._info, error)
        if self._run is not None:
            self._end_run(self._run, completed=kind is None or self.not_run)
        if self.sent and isinstance(error, asyncio.CancelledError):
            self._record_cut()
        if self._ticket is None:
            return
        if isinstance(error, ServerFailedError):
            self._request_status = RequestStatus.FAILED
        ended = self._request_status in {
            RequestStatus.SUCCEEDED,
            RequestStatus.FAILED,
        }
        self._gateway.gate.release(self._ticket, is_typical=ended)
        if self.sent and self._info is not None:
            spent = self._gateway.clock.elapsed() - self._started
            self._gateway.record(
                self._routed, self._info, self._request_status, spent
            )

    async def run(self) -> ResponseHead:
        """Wait for a slot, send the request and return the response head.

        Raises
        ------
        BluebellError
            ``sent`` and ``not_run`` say whether the request may have run.
        """
        self._run = self._gateway.running.prepare(
            self._routed.request_id,
            self._routed.route,
            self._routed.priority,
            is_retry=self._options.is_retry,
        )
        async with self.wait():
            await self._check_quarantine()
            info = await self._take_slot()
            exchange = await self._connect(info)
            self._check_cutoff()
            await self._check_caller()
            # Another server may have ended under it during the wait.
            await self._check_quarantine()
        self._gateway.record_pass()
        self.sent = True
        self._gateway.running.begin(self._run)
        head = await self._send(info, exchange)
        self._gateway.apply_response(info, head)
        self._classify(head)
        return head

    def wait(self) -> ServerWait:
        """Return a wait before the request is passed on to the server."""
        time_left = self._refusal_time - self._gateway.clock.elapsed()
        return self._gateway.waits.begin(self._routed, self._options, time_left)

    def check_capacity(self) -> None:
        """Check that the server is expected to have a slot in time.

        Raises
        ------
        BluebellError
            With the reason why the request would be refused; it did not run.
        """
        self._gateway.check(self._routed, self._options)
        self._gateway.learn_rate_limit(self._options)
        if not self._gateway.gate.accepts(self._make_ticket()):
            raise OverloadedError('The server has no slot in time.')

    async def receive_body(
        self,
        transfer: contextlib.AbstractAsyncContextManager[object] | None = None,
    ) -> None:
        """Receive a body, up to half of the replay buffer.

        The request takes a slot only afterwards; the rest of its body is
        received while it holds the slot.

        Parameters
        ----------
        transfer
            Open while the body is received over the link; none if it isn't.

        Raises
        ------
        OverloadedError
            When the body arrives too late to run.
        """
        time_left = self.latest_start - self._gateway.clock.elapsed()
        timeout = asyncio.timeout(time_left.total_seconds())
        if transfer is None:
            transfer = contextlib.nullcontext()
        try:
            async with timeout, self.wait() as wait, transfer:
                wait.receives_body = True
                await self._routed.upload.buffer()
        except TimeoutError:
            raise OverloadedError('The body arrives too late to run.') from None

    def mark_timed_out(self) -> None:
        """Count a sent request as failed because its deadline has passed."""
        if self.sent:
            self._request_status = RequestStatus.FAILED

    def _end_run(self, run: RunningRequest, *, completed: bool) -> None:
        running = self._gateway.running
        if completed or not self.sent:
            running.end(run)
        else:
            running.abandon(run, self._routed.deadline)

    def _record_cut(self) -> None:
        """Record that the server may still run a request that was cut off."""
        now = self._gateway.clock.elapsed()
        if self._info is not None and now < self._routed.deadline:
            self._gateway.record_abandoned(self._info)

    def _record_end(
        self, info: ServerInfo, error: BaseException | None
    ) -> None:
        """Record whether the server completed the request or broke it off."""
        request = make_fingerprint(self._routed, self._head)
        if request is None or self.not_run:
            return
        server_ends = self._gateway.server_ends
        if isinstance(error, ServerFailedError):
            server_ends.record_break(info, request)
        elif error is None:
            server_ends.fatal_requests.record_completion(request)

    async def _check_quarantine(self) -> None:
        """Check that the request has not ended several servers before.

        Raises
        ------
        QuarantinedError
            When it has; it did not run.
        """
        fatal_requests = self._gateway.server_ends.fatal_requests
        if not fatal_requests.knows_head(self._head):
            return
        await self._routed.upload.buffer()
        request = make_fingerprint(self._routed, self._head)
        if request is not None and fatal_requests.is_fatal(request):
            raise QuarantinedError(
                'Servers ended each time they ran this request.',
                context={'fingerprint': f'{request.whole:016x}'},
            )

    def _make_ticket(self) -> Ticket:
        routed = self._routed
        # The queue takes its mean service time off the deadline.
        deadline = self.latest_start + self._gateway.gate.service_time
        return Ticket(
            priority=routed.priority,
            depth=routed.depth,
            deadline=min(deadline, routed.cutoff),
            objective=routed.objective,
            max_wait=self._options.max_wait,
            account=routed.account,
        )

    async def _take_slot(self) -> ServerInfo:
        """Wait for a slot and return the server that it belongs to."""
        gateway = self._gateway
        gateway.check(self._routed, self._options)
        gateway.learn_rate_limit(self._options)
        self._ticket = await gateway.gate.admit(self._make_ticket())
        self._info = gateway.check(self._routed, self._options)
        self._started = gateway.clock.elapsed()
        if self._started > self.latest_start:
            raise OverloadedError('The request has no time left to run.')
        return self._info

    def _check_cutoff(self) -> None:
        """Check that the caller's node still waits for the request.

        Its body may have arrived late, and the end of a connection arrives
        only after the data on it.
        """
        now = self._gateway.clock.elapsed()
        if now >= self._routed.cutoff:
            raise OverloadedError(
                'The request was not started before its cutoff.'
            )
        self._gateway.check_cutoff(self._routed)

    async def _check_caller(self) -> None:
        """Cancel the request if its caller has closed the connection.

        The connection itself notices that only after the data before the end.
        """
        request = self._routed.request
        if not request.reply.writer.is_closed_by_caller:
            return
        request.cancel()
        # The cancellation arrives here.
        await asyncio.sleep(0)
        raise OverloadedError('The caller of the request has left.')

    async def _connect(self, info: ServerInfo) -> Exchange:
        max_idle_s = (
            None if self._routed.is_repeatable else NON_IDEMPOTENT_MAX_IDLE_S
        )
        echo = (
            self._gateway.metadata_headers.request_id,
            self._routed.request_id,
        )
        exchange = Exchange(
            self._gateway.pool, info.address, echo if echo[1] else None
        )
        try:
            await exchange.open(max_idle_s=max_idle_s)
        except BluebellError as error:
            self._gateway.record_connect(error)
            raise
        self._gateway.record_connect(None)
        self._exchange = exchange
        return exchange

    async def _send(self, info: ServerInfo, exchange: Exchange) -> ResponseHead:
        routed = self._routed
        return await exchange.send(
            routed.request, self._make_headers(info), routed.upload
        )

    def _make_headers(self, info: ServerInfo) -> list[Header]:
        metadata_headers = self._gateway.metadata_headers
        time_left = self._routed.deadline - self._gateway.clock.elapsed()
        added = {
            metadata_headers.deadline_ms: b'%d'
            % max(1, time_left // _MILLISECOND),
            metadata_headers.expected_server: info.lifetime.server.encode(),
            metadata_headers.caller: self._routed.caller.encode(),
        }
        if self._routed.account:
            added[metadata_headers.account] = self._routed.account.encode()
        fields = [
            header
            for header in header_names.filter_headers(
                self._routed.request.headers
            )
            if header[0] not in added
        ]
        fields.extend(added.items())
        return fields

    def _classify(self, head: ResponseHead) -> None:
        """Classify a response as success or failure.

        Raises
        ------
        OverloadedError
            When the server reports that it did not run the request.
        ServerFailedError
            When a success lacks the server's signature or the request id, or a
            refusal may be of an earlier request on the connection.
        """
        self._update_idle_limit(head.fields)
        fields = head.fields
        metadata_headers = self._gateway.metadata_headers
        if metadata_headers.request_id not in fields:
            # A copy of this response could not be told from the next one.
            self.connection.retire()
        if metadata_headers.not_run in fields or head.status == _MISDIRECTED:
            self._check_refusal(fields)
            self.not_run = True
            self._request_status = RequestStatus.NOT_RUN
            raise OverloadedError(
                'The server did not run the request.',
                context={'status': str(head.status)},
            )
        if not metadata_headers.is_authentic(head, self._routed.request_id):
            raise ServerFailedError(
                "A successful response lacks the server's signature or the "
                'request id.'
            )
        failed = head.status >= _MIN_SERVER_ERROR
        self._request_status = (
            RequestStatus.FAILED if failed else RequestStatus.SUCCEEDED
        )

    def _check_refusal(self, fields: Mapping[bytes, bytes]) -> None:
        """Check that a refusal is the response to this request.

        Raises
        ------
        ServerFailedError
            When it doesn't name the request and other responses have come on
            the connection; the request may run.
        """
        if self.connection.exchanges == 1:
            return
        echoed = fields.get(self._gateway.metadata_headers.request_id, b'')
        if echoed != self._routed.request_id:
            raise ServerFailedError(
                'A refusal on a reused connection does not name the request.'
            )

    def _update_idle_limit(self, fields: Mapping[bytes, bytes]) -> None:
        _, found, rest = fields.get(_KEEP_ALIVE, b'').partition(_TIMEOUT_FIELD)
        seconds = header_names.parse_count(
            rest.partition(b',')[0], _MAX_IDLE_LIMIT_S
        )
        if found and seconds is not None:
            self.connection.idle_limit = float(seconds)
