"""Withdrawal of requests that wait at other nodes.

Handles the stop of a node: a request that waits at another node may be passed
on to a server there at any time, so its own node can't say that it has not run.
Shortly before the cutoff, the stopping node withdraws its open attempts. The
other node refuses those that it has not passed on, and the refusal is the
response to the attempt; requests at a server go on. Attempts of a route that
takes long are withdrawn before, once they could not end in time any more. An
attempt without a request id, or whose refusal is lost, counts as possibly run.
"""

import asyncio
import contextlib
import dataclasses
import datetime as dt
import logging
from collections import defaultdict
from collections.abc import Callable, Collection, Generator
from typing import Final

import msgspec

from bluebellslip._internal.calls.http_client import (
    ClientRequest,
    send_request,
)
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import (
    BluebellError,
    DrainingError,
    PeerGarbledError,
)
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.proxy.latest_starts import find_latest_start
from bluebellslip._internal.proxy.peer_queries import QUERY_HEADER
from bluebellslip._internal.proxy.routed_request import RoutedRequest
from bluebellslip._internal.proxy.server_waits import ServerWaits
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

logger = logging.getLogger(__name__)

WITHDRAWAL_QUERY: Final = b'withdraw'
# Longer than a query takes over a link whose queue is full. A later refusal
# would come after the cutoff.
QUERY_TIMEOUT: Final = dt.timedelta(milliseconds=500)
_MAX_QUERY_BYTES: Final = 1 << 20
_OK: Final = 200
_decoder = msgspec.json.Decoder(list[str])


@dataclasses.dataclass(slots=True, eq=False)
class OpenAttempt:
    """An attempt at another node that has not ended.

    Parameters
    ----------
    address
        Address of the node.
    routed
        The request.
    endpoint
        The server, with the hold times that its node has reported.
    is_withdrawn
        Whether the other node was asked to refuse it, if it still waits.
    """

    address: Address
    routed: RoutedRequest
    endpoint: Endpoint
    is_withdrawn: bool = False

    def is_too_late(self, now: dt.timedelta) -> bool:
        """Return whether it can't end before its node stops."""
        routed = self.routed
        hold_time = self.endpoint.hold_times.get(routed.route)
        return routed.is_cut_short and now > find_latest_start(
            routed.cutoff, hold_time, now, is_cut_short=True
        )


class OpenAttempts:
    """The attempts of this node at other nodes.

    Parameters
    ----------
    pool
        Connections to other nodes.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._open: set[OpenAttempt] = set()
        self._withdrawn = False

    @property
    def withdrawn(self) -> bool:
        """Whether this node sends no more requests to servers."""
        return self._withdrawn

    @contextlib.contextmanager
    def track(
        self,
        address: Address,
        routed: RoutedRequest,
        endpoint: Endpoint,
    ) -> Generator[None, None, None]:
        """Track an attempt at the node with an address.

        Parameters
        ----------
        address
            The address.
        routed
            The request.
        endpoint
            The server.
        """
        attempt = OpenAttempt(address, routed, endpoint)
        self._open.add(attempt)
        try:
            yield
        finally:
            self._open.discard(attempt)

    def check(self) -> None:
        """Check that an attempt may be sent.

        Raises
        ------
        DrainingError
            When the open attempts were withdrawn.
        """
        if self._withdrawn:
            raise make_withdrawal_error()

    async def withdraw_late(self, now: dt.timedelta) -> None:
        """Withdraw the attempts that can't end before this node stops.

        Parameters
        ----------
        now
            Time on the node's clock.
        """
        await self._withdraw(lambda attempt: attempt.is_too_late(now))

    async def withdraw(self) -> None:
        """Withdraw the open attempts and allow no more; return when done."""
        self._withdrawn = True
        await self._withdraw(lambda attempt: True)

    async def _withdraw(self, applies: Callable[[OpenAttempt], bool]) -> None:
        by_address: defaultdict[Address, list[bytes]] = defaultdict(list)
        for attempt in self._open:
            request_id = attempt.routed.request_id
            if request_id and not attempt.is_withdrawn and applies(attempt):
                attempt.is_withdrawn = True
                by_address[attempt.address].append(request_id)
        if not by_address:
            return
        logger.info(
            'attempts_withdrawn',
            extra={
                'peers': len(by_address),
                'attempts': sum(map(len, by_address.values())),
            },
        )
        async with asyncio.TaskGroup() as group:
            for address, request_ids in by_address.items():
                group.create_task(self._send_query(address, request_ids))

    async def _send_query(
        self, address: Address, request_ids: Collection[bytes]
    ) -> None:
        body = msgspec.json.encode([
            request_id.decode('latin-1') for request_id in request_ids
        ])
        query = ClientRequest(
            b'POST', b'/', ((QUERY_HEADER, WITHDRAWAL_QUERY),), body
        )
        try:
            response = await send_request(
                self._pool, address, query, QUERY_TIMEOUT
            )
        except (BluebellError, TimeoutError) as error:
            _log_failure(address, request_ids, repr(error))
            return
        if response.status != _OK:
            _log_failure(address, request_ids, f'status {response.status}')


class WithdrawalHandler:
    """Handles withdrawals of other nodes.

    Parameters
    ----------
    waits
        Requests that wait to be passed on to the local server.
    """

    def __init__(self, waits: ServerWaits) -> None:
        self._waits = waits

    async def handle(self, request: InboundRequest) -> None:
        """Refuse the requests that a node withdraws, if they still wait.

        Raises
        ------
        PeerGarbledError
            When the withdrawal is malformed.
        """
        request.body.limit_to(_MAX_QUERY_BYTES)
        try:
            texts = _decoder.decode(await request.body.read_all())
        except DECODING_ERRORS as error:
            raise PeerGarbledError(
                'A withdrawal of a peer is malformed.',
                context={'found': str(error)},
            ) from error
        self._waits.refuse(
            {text.encode('latin-1', 'replace') for text in texts},
            make_withdrawal_error,
        )
        request.reply.respond(_OK, (), b'')


def make_withdrawal_error() -> BluebellError:
    """Return the error for a request that its stopping node withdraws."""
    return DrainingError('The node of the caller stops.')


def _log_failure(
    address: Address, request_ids: Collection[bytes], reason: str
) -> None:
    logger.warning(
        'withdrawal_failed',
        extra={
            'address': str(address),
            'attempts': len(request_ids),
            'reason': reason,
        },
    )
