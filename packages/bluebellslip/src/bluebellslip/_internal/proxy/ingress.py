"""Requests of other nodes for the server beside this one."""

import asyncio
import logging
from typing import Final

from bluebellslip._internal.calls.dialect import Dialect
from bluebellslip._internal.calls.exchange import relay_response
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
)
from bluebellslip._internal.proxy.door import Door, Visit
from bluebellslip._internal.proxy.intake import Intake
from bluebellslip._internal.proxy.side_doors import SideDoors
from bluebellslip._internal.proxy.work import (
    INVITED_BYTES,
    LOAD_HEADER,
    Arrival,
    encode_load,
    estimate_size,
)

logger = logging.getLogger(__name__)

# On a refusal: the request reached the server, so that sending it elsewhere
# is a repeat.
REACHED_HEADER: Final = b'bluebell-reached-server'
_REACHED: Final = (REACHED_HEADER, b'1')


class PeerHandler:
    """Answers requests of other nodes.

    Parameters
    ----------
    door
        The way to the server.
    dialect
        Names of callers' headers.
    side_doors
        What other nodes may ask for beside requests to the server.
    intake
        Bodies on their way to this node.
    """

    def __init__(
        self,
        door: Door,
        dialect: Dialect,
        side_doors: SideDoors,
        intake: Intake,
    ) -> None:
        self._intake = intake
        self._door = door
        self._dialect = dialect
        self._side_doors = side_doors

    async def handle(self, request: InboundRequest) -> None:
        """Answer a request; errors raised become answers."""
        if await self._side_doors.answer(request):
            return
        now = self._door.clock.elapsed()
        arrival = Arrival.from_request(
            request, request.fields.get(self._dialect.request_id, b''), now
        )
        left = arrival.work.deadline - now
        async with self._door.open(arrival.work, arrival.errand) as visit:
            try:
                async with asyncio.timeout(left.total_seconds()):
                    await self._take_body_in(arrival, visit)
                    await self._relay(request, visit)
            except TimeoutError:
                visit.give_up()
                late = DeadlineExceededError('The time of the call is over.')
                self._describe(request, visit)
                self._tell(arrival, visit, late)
                raise late from None
            except BluebellError as error:
                self._describe(request, visit)
                self._tell(arrival, visit, error)
                # The whole reason stands in this node's log; it need not
                # cross the network for each of many refusals.
                raise type(error)(error.message) from error

    async def _take_body_in(self, arrival: Arrival, visit: Visit) -> None:
        """Let a long body cross the link before a slot is taken for it."""
        size = estimate_size(arrival.work.request)
        if size < INVITED_BYTES:
            return
        visit.check_room()
        async with self._intake.reserve(size, arrival.errand.patience):
            await arrival.work.upload.buffer()

    async def _relay(self, request: InboundRequest, visit: Visit) -> None:
        head = await visit.run()
        await relay_response(request, head, visit.connection, (self._load(),))

    def _describe(self, request: InboundRequest, visit: Visit) -> None:
        """Tell the peer what is known of a request that failed."""
        request.reply.may_have_run = visit.sent and not visit.not_run
        hints = [self._load()]
        if visit.sent:
            hints.append(_REACHED)
        request.reply.refusal_headers = tuple(hints)

    def _tell(
        self, arrival: Arrival, visit: Visit, error: BluebellError
    ) -> None:
        work = arrival.work
        logger.info(
            'visit_failed',
            extra={
                'request': work.request_id.decode('latin-1'),
                'route': work.route,
                'server': arrival.errand.lifetime.server,
                'reason': error.kind.value,
                'detail': str(error),
                'reached_server': visit.sent,
                'not_run': visit.not_run or not visit.sent,
                'in_use': self._door.gate.in_use,
                'waiting': self._door.gate.waiting,
            },
        )

    def _load(self) -> Header:
        return (LOAD_HEADER, encode_load(self._door.load))
