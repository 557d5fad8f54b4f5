"""One attempt: a request is handed to a server, here or beside a peer."""

import asyncio
import dataclasses
import datetime as dt
from typing import Final

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.error_bodies import (
    MAX_ERROR_BODY_BYTES,
    decode_error,
)
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.exceptions import BluebellError, NoServerError
from bluebellslip._internal.fleet.peer_table import Endpoint, LoadReport
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.proxy.answers import Answer, collect
from bluebellslip._internal.proxy.door import Door
from bluebellslip._internal.proxy.ingress import REACHED_HEADER
from bluebellslip._internal.proxy.placement import (
    note_reached,
    note_unreachable,
)
from bluebellslip._internal.proxy.silence import UntilSilent
from bluebellslip._internal.proxy.work import (
    INVITED_BYTES,
    LOAD_HEADER,
    WORK_HEADER,
    Errand,
    Work,
    decode_load,
    encode_work,
    estimate_size,
)

_MILLISECOND: Final = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class Result:
    """What one attempt came to.

    ``reached`` tells that the request came to a server, ``may_have_run`` that
    it may have run there. Without answer and error it was streamed.
    """

    answer: Answer | None = None
    error: BluebellError | None = None
    reached: bool = False
    may_have_run: bool = False

    @property
    def outcome(self) -> str:
        """The outcome in a word, for the log."""
        if self.error is not None:
            return self.error.kind.value
        if self.answer is None:
            return 'cancelled' if self.may_have_run else 'streamed'
        return str(self.answer.head.status)


class Asker:
    """Hands requests to servers.

    Parameters
    ----------
    clock
        The node's clock.
    peers
        Connections to other nodes.
    door
        The way to the server beside this node.
    """

    def __init__(self, clock: Clock, peers: ConnectionPool, door: Door) -> None:
        self._clock = clock
        self._peers = peers
        self._door = door

    async def ask(
        self, endpoint: Endpoint, work: Work, errand: Errand, result: Result
    ) -> None:
        """Hand a request over; ``result`` tells how far it came.

        Raises
        ------
        BluebellError
            With the reason why there is no answer.
        """
        if endpoint.address is None:
            await self._ask_beside(work, errand, result)
            return
        async with UntilSilent(endpoint, work):
            await self._ask_peer(
                endpoint, endpoint.address, work, errand, result
            )

    async def _ask_beside(
        self, work: Work, errand: Errand, result: Result
    ) -> None:
        async with self._door.open(work, errand) as visit:
            try:
                head = await visit.run()
                result.answer = await collect(
                    head, visit.connection, work.request.reply
                )
            except asyncio.CancelledError:
                visit.give_up()
                raise
            finally:
                result.reached = visit.sent
                result.may_have_run = visit.sent and not visit.not_run

    async def _ask_peer(
        self,
        endpoint: Endpoint,
        address: Address,
        work: Work,
        errand: Errand,
        result: Result,
    ) -> None:
        with Exchange(
            self._peers, address, expects_continue=_is_large(work)
        ) as exchange:
            await self._open(endpoint, exchange)
            result.reached = True
            result.may_have_run = True
            head = await self._send(endpoint, exchange, work, errand)
            self._take_load(endpoint, head)
            if names.ERROR in head.fields:
                result.reached = REACHED_HEADER in head.fields
                result.may_have_run = names.NOT_RUN not in head.fields
                raise await _read_refusal(exchange.connection)
            result.answer = await collect(
                head, exchange.connection, work.request.reply
            )

    async def _open(self, endpoint: Endpoint, exchange: Exchange) -> None:
        try:
            await exchange.open()
        except NoServerError:
            note_unreachable(endpoint, self._clock.elapsed())
            raise

    async def _send(
        self,
        endpoint: Endpoint,
        exchange: Exchange,
        work: Work,
        errand: Errand,
    ) -> ResponseHead:
        fields = self._make_headers(work, errand)
        try:
            head = await exchange.send(work.request, fields, work.upload)
        except BluebellError:
            note_unreachable(endpoint, self._clock.elapsed())
            raise
        note_reached(endpoint)
        return head

    def _make_headers(self, work: Work, errand: Errand) -> list[Header]:
        fields = [
            header
            for header in names.filter_request_headers(work.request.headers)
            if header[0] != WORK_HEADER
        ]
        terms = encode_work(work, errand, self._clock.elapsed())
        fields.append((WORK_HEADER, terms))
        return fields

    def _take_load(self, endpoint: Endpoint, head: ResponseHead) -> None:
        load = decode_load(head.fields.get(LOAD_HEADER))
        if load is None:
            return
        endpoint.load = LoadReport(
            in_use=load.in_use,
            waiting=load.waiting,
            slots=max(1, load.slots),
            hold_time=load.hold * _MILLISECOND,
            received_at=self._clock.elapsed(),
            own_in_flight=endpoint.in_flight,
        )


def _is_large(work: Work) -> bool:
    return estimate_size(work.request) >= INVITED_BYTES


async def _read_refusal(connection: OutboundConnection) -> BluebellError:
    connection.body.limit_to(MAX_ERROR_BODY_BYTES)
    return decode_error(await connection.body.read_all())
