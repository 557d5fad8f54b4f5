"""Inbound proxy: calls from other nodes to the local server."""

from typing import Final

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.admission_gate import AdmissionGate, HeldSlot
from bluebellslip._internal.calls.at_most_once import AtMostOnceRunner
from bluebellslip._internal.calls.backend import (
    check_version,
    make_server_headers,
)
from bluebellslip._internal.calls.call import Call, resolve_call
from bluebellslip._internal.calls.exchange import (
    Exchange,
    Upload,
    relay_response,
)
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.outcome_observer import OutcomeObserver
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.calls.usage import UsageCounter
from bluebellslip._internal.exceptions import (
    DrainingError,
    NoServerError,
    ServerFailedError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.facts import Backend

_PERCENT: Final = 100


class IngressHandler:
    """Admits calls to the local server and forwards them.

    Parameters
    ----------
    context
        The node's shared state.
    pool
        Connections to the server.
    membership
        Provides the server's announcement.
    observer
        Records the outcome of each call.
    gate
        Admission to the server's slots.
    at_most_once
        Runs at-most-once requests.
    """

    def __init__(
        self,
        context: Context,
        pool: ConnectionPool,
        membership: Membership,
        observer: OutcomeObserver,
        gate: AdmissionGate,
        at_most_once: AtMostOnceRunner,
    ) -> None:
        self._context = context
        self._pool = pool
        self._membership = membership
        self._observer = observer
        self._at_most_once = at_most_once
        self._gate = gate
        self._draining = False
        self.in_flight = UsageCounter()

    def start_draining(self) -> None:
        """Refuse new calls from now on."""
        self._draining = True

    async def handle(self, request: InboundRequest) -> None:
        """Serve a request; exceptions become error responses."""
        call = resolve_call(self._context, request)
        backend = self._find_backend(call)
        request.expire_after(call.remaining(call.started).total_seconds())
        with self.in_flight:
            await self._admit_and_run(call, backend)

    def _find_backend(self, call: Call) -> Backend:
        if self._draining or self._membership.draining:
            raise DrainingError('The server is draining.')
        backend = self._membership.own_backend
        if backend is None or backend.service != call.service:
            raise NoServerError(
                'This node has no local server of this service.',
                context={'service': call.service, 'node': self._context.node},
            )
        check_version(self._context, backend)
        return backend

    async def _admit_and_run(self, call: Call, backend: Backend) -> None:
        self._gate.resize(min(backend.slots, backend.connections))
        if call.is_at_most_once:
            await self._at_most_once.run(call, backend)
            return
        ticket = await self._gate.admit_call(call)
        with HeldSlot(self._gate, ticket):
            check_version(self._context, backend)
            await self._run(call, backend)

    async def _run(self, call: Call, backend: Backend) -> None:
        request = call.request
        with (
            self._observer.observe(call, backend) as observation,
            Exchange(self._pool, backend.address) as exchange,
        ):
            await exchange.open()
            request.reply.may_have_run = True
            observation.mark_sent()
            head = await self._send(call, exchange)
            observation.record_status(head.status)
            await relay_response(
                request, head, exchange.connection, self._make_load_headers()
            )

    async def _send(self, call: Call, exchange: Exchange) -> ResponseHead:
        """Send a request, and resend it if the reused connection was closed.

        A server may close an idle connection at any moment. This method
        sends only idempotent requests, so resending is safe.
        """
        upload = Upload(call.request)
        try:
            return await self._send_once(call, exchange, upload)
        except ServerFailedError:
            if not exchange.stale or not upload.replayable:
                raise
        exchange.close()
        await exchange.open(fresh=True)
        return await self._send_once(call, exchange, upload)

    async def _send_once(
        self, call: Call, exchange: Exchange, upload: Upload
    ) -> ResponseHead:
        time_left = call.remaining(self._context.clock.elapsed())
        headers = make_server_headers(call, time_left)
        return await exchange.send(call.request, headers, upload)

    def _make_load_headers(self) -> tuple[Header, ...]:
        load = min(1, self._gate.load)
        return ((header_names.LOAD, b'%d' % round(load * _PERCENT)),)
