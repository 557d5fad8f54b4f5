"""Inbound side: requests of other nodes to the local server."""

import asyncio
import logging
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.calls.exchange import relay_response
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.usage import UsageCounter
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    OverloadedError,
)
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES
from bluebellslip._internal.proxy.body_transfers import BodyTransferLimiter
from bluebellslip._internal.proxy.peer_queries import PeerQueries
from bluebellslip._internal.proxy.routed_request import (
    LOAD_HEADER,
    PeerRequest,
    encode_load,
    estimate_size,
)
from bluebellslip._internal.proxy.server_call import ServerCall
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from bluebellslip._internal.proxy.trace import abbreviate

logger = logging.getLogger(__name__)

# Set on an error response if the request reached the server, so that sending
# the request to another server counts as a retry.
REACHED_HEADER: Final = b'bluebell-reached-server'
_REACHED_FIELD: Final = (REACHED_HEADER, b'1')
# Set on a response if a call that the server made for the request has failed,
# so that the request is not retried for it.
CALL_FAILED_HEADER: Final = b'bluebell-call-failed'
_CALL_FAILED_FIELD: Final = (CALL_FAILED_HEADER, b'1')


class PeerHandler:
    """Handles requests of other nodes.

    Parameters
    ----------
    gateway
        Access to the local server.
    metadata_headers
        Names of the headers that callers and servers use.
    peer_queries
        Queries of other nodes to this node itself.
    body_transfers
        Limits the request bodies in transit to this node.
    strip_keys
        Removes a key that another node has passed on from a request.
    """

    def __init__(
        self,
        gateway: ServerGateway,
        metadata_headers: MetadataHeaders,
        peer_queries: PeerQueries,
        body_transfers: BodyTransferLimiter,
        strip_keys: Callable[[InboundRequest], None],
    ) -> None:
        self._strip_keys = strip_keys
        self._body_transfers = body_transfers
        self._gateway = gateway
        self._metadata_headers = metadata_headers
        self._peer_queries = peer_queries
        self.in_flight = UsageCounter()

    async def handle(self, request: InboundRequest) -> None:
        """Respond to a request; a raised error becomes the response."""
        if await self._peer_queries.handle(request):
            return
        with self.in_flight:
            await self._serve(request)

    async def _serve(self, request: InboundRequest) -> None:
        self._strip_keys(request)
        now = self._gateway.clock.elapsed()
        peer_request = PeerRequest.from_request(
            request,
            request.fields.get(self._metadata_headers.request_id, b''),
            now,
        )
        time_left = peer_request.routed.deadline - now
        async with ServerCall(
            self._gateway, peer_request.routed, peer_request.options
        ) as server_call:
            try:
                async with asyncio.timeout(time_left.total_seconds()):
                    await self._receive_body(peer_request, server_call)
                    await self._relay(request, server_call)
            except TimeoutError:
                server_call.mark_timed_out()
                expired = DeadlineExceededError(
                    'The deadline of the request has passed.'
                )
                self._set_failure_hints(request, server_call)
                self._log_failure(peer_request, server_call, expired)
                raise _make_peer_error(expired, server_call) from None
            except BluebellError as error:
                self._set_failure_hints(request, server_call)
                self._log_failure(peer_request, server_call, error)
                # The peer gets the message only: with many refusals, the full
                # reason would waste bandwidth. This node's log has it.
                raise _make_peer_error(error, server_call) from error

    async def _receive_body(
        self, peer_request: PeerRequest, server_call: ServerCall
    ) -> None:
        """Receive a long body before the request takes a slot."""
        if peer_request.routed.is_short:
            return
        size = estimate_size(peer_request.routed.request)
        server_call.check_capacity()
        time_left = server_call.latest_start - self._gateway.clock.elapsed()
        transfer = self._body_transfers.make_transfer(
            size, peer_request.options.max_wait, time_left
        )
        await server_call.receive_body(transfer)

    async def _relay(
        self, request: InboundRequest, server_call: ServerCall
    ) -> None:
        head = await server_call.run()
        hints = [self._make_load_header()]
        if server_call.has_failed_call:
            hints.append(_CALL_FAILED_FIELD)
        await relay_response(
            request, head, server_call.connection, tuple(hints)
        )

    def _set_failure_hints(
        self, request: InboundRequest, server_call: ServerCall
    ) -> None:
        """Report whether the server was reached and may have run the request.

        The error response also reports the server's load.
        """
        request.reply.may_have_run = (
            server_call.sent and not server_call.not_run
        )
        hints = [self._make_load_header()]
        if server_call.sent:
            hints.append(_REACHED_FIELD)
        request.reply.refusal_headers = tuple(hints)

    def _log_failure(
        self,
        peer_request: PeerRequest,
        server_call: ServerCall,
        error: BluebellError,
    ) -> None:
        routed = peer_request.routed
        logger.info(
            'visit_failed',
            extra={
                'request': abbreviate(routed.request_id.decode('latin-1')),
                'route': abbreviate(routed.route),
                'server': abbreviate(peer_request.options.lifetime.server),
                'reason': error.kind.value,
                'detail': str(error),
                'reached_server': server_call.sent,
                'not_run': server_call.not_run or not server_call.sent,
                'in_use': self._gateway.gate.in_use,
                'occupied': self._gateway.gate.occupied,
                'waiting': self._gateway.gate.waiting,
                'account': routed.account,
            },
        )

    def _make_load_header(self) -> Header:
        return (LOAD_HEADER, encode_load(self._gateway.load))


def _make_peer_error(
    error: BluebellError, server_call: ServerCall
) -> BluebellError:
    """Return the error that the peer gets, with the message only.

    A failure before the server was reached is a refusal: other failures don't
    say that the request did not run.
    """
    if server_call.sent or ERROR_RESPONSES[error.kind].not_run:
        return type(error)(error.message)
    return OverloadedError(error.message)
