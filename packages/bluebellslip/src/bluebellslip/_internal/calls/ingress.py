"""Calls from other nodes to the server beside this one."""

import datetime as dt
from typing import Final

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.call import Call, open_call
from bluebellslip._internal.calls.exchange import (
    Exchange,
    Upload,
    relay_answer,
)
from bluebellslip._internal.calls.gate import Gate, Holding
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.tally import Tally
from bluebellslip._internal.calls.witness import Witness
from bluebellslip._internal.exceptions import (
    DrainingError,
    NoServerError,
    VersionStoppedError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.facts import Backend

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_PERCENT: Final = 100


class IngressHandler:
    """Admits calls to the server beside this node.

    Parameters
    ----------
    context
        The node's shared state.
    pool
        Connections to the server.
    membership
        The server's announcement.
    witness
        Receiver of outcomes.
    """

    def __init__(
        self,
        context: Context,
        pool: ConnectionPool,
        membership: Membership,
        witness: Witness,
    ) -> None:
        self._context = context
        self._pool = pool
        self._membership = membership
        self._witness = witness
        self._gate = Gate(context.clock)
        self._leaving = False
        self.in_flight = Tally()

    @property
    def gate(self) -> Gate:
        """The server's slots."""
        return self._gate

    def leave(self) -> None:
        """Refuse new calls from now on."""
        self._leaving = True

    async def handle(self, request: InboundRequest) -> None:
        """Answer a request; errors raised become answers."""
        call = open_call(self._context, request)
        backend = self._find_backend(call)
        left = call.remaining(self._context.clock.elapsed())
        request.expire_after(left.total_seconds())
        with self.in_flight:
            await self._admit(call, backend)

    def _find_backend(self, call: Call) -> Backend:
        if self._leaving or self._membership.draining:
            raise DrainingError('The server is leaving.')
        backend = self._membership.own_backend
        if backend is None or backend.service != call.service:
            raise NoServerError(
                'No server of this service stands beside this node.',
                context={'service': call.service, 'node': self._context.node},
            )
        self._check_version(backend)
        return backend

    def _check_version(self, backend: Backend) -> None:
        if self._context.moves.is_stopped(backend.service, backend.version):
            raise VersionStoppedError(
                'This version of the service was taken back.',
                context={
                    'service': backend.service,
                    'version': backend.version,
                },
            )

    async def _admit(self, call: Call, backend: Backend) -> None:
        self._gate.resize(min(backend.slots, backend.connections))
        ticket = await self._gate.enter(call)
        with Holding(self._gate, ticket):
            self._check_version(backend)
            await self._run(call, backend)

    async def _run(self, call: Call, backend: Backend) -> None:
        request = call.request
        with (
            self._witness.watch(call, backend) as sight,
            Exchange(self._pool, backend.address) as exchange,
        ):
            await exchange.open()
            request.reply.ran = True
            head = await exchange.send(
                request, self._make_headers(call), Upload(request)
            )
            sight.see(head.status)
            await relay_answer(
                request, head, exchange.connection, self._make_hints()
            )

    def _make_headers(self, call: Call) -> list[Header]:
        left = call.remaining(self._context.clock.elapsed())
        fields = names.pass_request_headers(call.request.headers)
        fields.extend((
            (names.TIMEOUT_MS, b'%d' % max(1, left // _MILLISECOND)),
            (names.DEPTH, b'%d' % call.depth),
        ))
        return fields

    def _make_hints(self) -> tuple[Header, ...]:
        load = min(1, self._gate.load)
        return ((names.LOAD, b'%d' % round(load * _PERCENT)),)
