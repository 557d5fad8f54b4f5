"""Forwards a request to the local server or to another server's node."""

import asyncio
import dataclasses
import datetime as dt
from typing import Final

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.body_pacing import BodyPacer
from bluebellslip._internal.calls.error_bodies import (
    MAX_ERROR_BODY_BYTES,
    decode_error,
)
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.exceptions import (
    BluebellError,
    ErrorKind,
    NoServerError,
    OverloadedError,
    ServerFailedError,
)
from bluebellslip._internal.fleet.peer_table import (
    Endpoint,
    LoadReport,
    PeerTable,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Address, RouteName
from bluebellslip._internal.proxy.ingress import (
    CALL_FAILED_HEADER,
    REACHED_HEADER,
)
from bluebellslip._internal.proxy.responses import (
    BufferedResponse,
    buffer_or_stream,
)
from bluebellslip._internal.proxy.routed_request import (
    HELD_BYTES,
    LOAD_HEADER,
    ROUTING_HEADER,
    AttemptOptions,
    RoutedRequest,
    decode_load,
    encode_request,
)
from bluebellslip._internal.proxy.server_call import ServerCall
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from bluebellslip._internal.proxy.server_selection import (
    mark_reachable,
    mark_unreachable,
)
from bluebellslip._internal.proxy.silence import SilenceTimeout
from bluebellslip._internal.proxy.withdrawals import OpenAttempts

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_LEAVING_KINDS: Final = frozenset((ErrorKind.DRAINING, ErrorKind.NO_SERVER))


@dataclasses.dataclass(slots=True)
class AttemptResult:
    """The outcome of one attempt.

    ``reached`` is set if the request may have reached a server,
    ``may_have_run`` if it may have run there. With neither a response nor an
    error, the response was streamed or the attempt was cancelled. ``refused``
    is set once the server's node has responded with an error, which says what
    happened to the request. ``call_failed`` is set if a call that the server
    made for the request has failed.
    """

    response: BufferedResponse | None = None
    error: BluebellError | None = None
    reached: bool = False
    may_have_run: bool = False
    refused: bool = False
    call_failed: bool = False

    def record_server_call(self, server_call: ServerCall) -> None:
        """Record how far a request to the local server has got."""
        self.reached = server_call.sent
        self.may_have_run = server_call.sent and not server_call.not_run
        self.call_failed = server_call.has_failed_call

    def record_delivery(self) -> None:
        """Record that the server's node may have passed the request on.

        A body that is delivered after the node has refused its request changes
        nothing.
        """
        if not self.refused:
            self.reached = True
            self.may_have_run = True

    def record_refusal(self, head: ResponseHead) -> None:
        """Record what an error response of the server's node says."""
        self.refused = True
        self.reached = REACHED_HEADER in head.fields
        self.may_have_run = header_names.NOT_RUN not in head.fields

    @property
    def outcome(self) -> str:
        """The outcome as a single word, for the log."""
        if self.error is not None:
            return self.error.kind.value
        if self.response is None:
            return 'cancelled' if self.may_have_run else 'streamed'
        return str(self.response.head.status)


class RequestForwarder:
    """Forwards requests to servers.

    Parameters
    ----------
    clock
        The node's clock.
    peers
        Connections to other nodes.
    gateway
        Access to the local server.
    peer_table
        The servers beside other nodes.
    open_attempts
        Tracks the requests that are sent to other nodes.
    pacer
        Paces the bodies sent to other nodes.
    """

    def __init__(
        self,
        clock: Clock,
        peers: ConnectionPool,
        gateway: ServerGateway,
        peer_table: PeerTable,
        open_attempts: OpenAttempts,
        pacer: BodyPacer,
    ) -> None:
        self._open_attempts = open_attempts
        self._clock = clock
        self._peers = peers
        self._gateway = gateway
        self._peer_table = peer_table
        self._pacer = pacer

    @property
    def stopped(self) -> bool:
        """Whether no more requests are sent to servers."""
        return self._open_attempts.withdrawn

    def find_local_hold_time(self, route: RouteName) -> dt.timedelta | None:
        """Return how long the local server takes for a route, if known."""
        return self._gateway.measurements.hold_times.get(route)

    async def forward(
        self,
        endpoint: Endpoint,
        routed: RoutedRequest,
        options: AttemptOptions,
        result: AttemptResult,
    ) -> None:
        """Forward a request and fill in ``result``.

        Raises
        ------
        BluebellError
            With the reason why there is no response; ``result`` still says
            whether the request may have reached a server and may have run.
        """
        if endpoint.address is None:
            await self._forward_to_local_server(routed, options, result)
            return
        with self._open_attempts.track(endpoint.address, routed, endpoint):
            async with SilenceTimeout(endpoint, routed):
                await self._forward_to_peer(
                    endpoint, endpoint.address, routed, options, result
                )

    async def _forward_to_local_server(
        self,
        routed: RoutedRequest,
        options: AttemptOptions,
        result: AttemptResult,
    ) -> None:
        async with ServerCall(self._gateway, routed, options) as server_call:
            try:
                if not routed.request.body.complete:
                    server_call.check_capacity()
                    await server_call.receive_body()
                head = await server_call.run()
                result.response = await buffer_or_stream(
                    head, server_call.connection, routed.request.reply
                )
            except asyncio.CancelledError:
                server_call.mark_timed_out()
                raise
            finally:
                result.record_server_call(server_call)

    async def _forward_to_peer(
        self,
        endpoint: Endpoint,
        address: Address,
        routed: RoutedRequest,
        options: AttemptOptions,
        result: AttemptResult,
    ) -> None:
        with Exchange(
            self._peers,
            address,
            expects_continue=not routed.is_short,
            held_bytes=HELD_BYTES,
            on_delivery=result.record_delivery,
            pacer=self._pacer,
        ) as exchange:
            await self._connect(endpoint, exchange, routed)
            self._open_attempts.check()
            head = await self._send(endpoint, exchange, routed, options)
            self._update_load(endpoint, head)
            if header_names.ERROR in head.fields:
                result.record_refusal(head)
                error = await _read_refusal(exchange.connection)
                self._record_refusal(endpoint, error)
                raise error
            self._check_signature(routed, head)
            self._check_leaving(endpoint, head)
            result.call_failed = CALL_FAILED_HEADER in head.fields
            result.response = await buffer_or_stream(
                head, exchange.connection, routed.request.reply
            )

    def _check_signature(
        self, routed: RoutedRequest, head: ResponseHead
    ) -> None:
        """Check that a success comes from a server, not from its node.

        Raises
        ------
        ServerFailedError
            When it lacks the server's signature or the request id.
        """
        metadata_headers = self._gateway.metadata_headers
        if not metadata_headers.is_authentic(head, routed.request_id):
            raise ServerFailedError(
                "A success of another node lacks the server's signature or the "
                'request id.'
            )

    def _check_leaving(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Use a server no more once its caller gets to know that it leaves."""
        if self._gateway.metadata_headers.says_leaving(head.headers):
            self._peer_table.mark_leaving(endpoint)

    def _record_refusal(self, endpoint: Endpoint, error: BluebellError) -> None:
        """Avoid a server that is leaving until its node's next beacons.

        Its load falls meanwhile, so it would be chosen again and again.
        """
        if error.kind in _LEAVING_KINDS:
            mark_unreachable(endpoint, self._clock.elapsed())

    async def _connect(
        self, endpoint: Endpoint, exchange: Exchange, routed: RoutedRequest
    ) -> None:
        now = self._clock.elapsed()
        time_left = routed.find_refusal_time(now) - now
        try:
            async with asyncio.timeout(time_left.total_seconds()):
                await exchange.open()
        except NoServerError:
            mark_unreachable(endpoint, self._clock.elapsed())
            raise
        except TimeoutError:
            raise OverloadedError(
                "The server's node can't be reached in time."
            ) from None

    async def _send(
        self,
        endpoint: Endpoint,
        exchange: Exchange,
        routed: RoutedRequest,
        options: AttemptOptions,
    ) -> ResponseHead:
        fields = self._make_headers(routed, options)
        try:
            head = await exchange.send(routed.request, fields, routed.upload)
        except BluebellError:
            mark_unreachable(endpoint, self._clock.elapsed())
            raise
        mark_reachable(endpoint)
        return head

    def _make_headers(
        self, routed: RoutedRequest, options: AttemptOptions
    ) -> list[Header]:
        fields = header_names.filter_headers(routed.request.headers)
        routing_header = encode_request(routed, options, self._clock.elapsed())
        fields.append((ROUTING_HEADER, routing_header))
        return fields

    def _update_load(self, endpoint: Endpoint, head: ResponseHead) -> None:
        load = decode_load(head.fields.get(LOAD_HEADER))
        if load is None:
            return
        endpoint.failure_rate = load.failure_rate
        if load.rate_limit is not None:
            endpoint.rate_limit = load.rate_limit
        endpoint.load = LoadReport(
            in_use=load.in_use,
            waiting=load.waiting,
            slots=max(1, load.slots),
            hold_time=load.hold_ms * _MILLISECOND,
            received_at=self._clock.elapsed(),
            own_in_flight=endpoint.in_flight,
        )


async def _read_refusal(connection: OutboundConnection) -> BluebellError:
    connection.body.limit_to(MAX_ERROR_BODY_BYTES)
    return decode_error(await connection.body.read_all())
