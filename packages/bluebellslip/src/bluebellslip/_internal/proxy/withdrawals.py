"""Withdrawal of requests that wait at other nodes.

Handles the stop of a node: a request that waits at another node may be passed
on to a server there at any time, so its own node can't say that it has not run.
Shortly before the cutoff, the stopping node withdraws its open attempts. The
other node refuses those that it has not passed on, and the refusal is the
response to the attempt; requests at a server go on. An attempt without a
request id, or whose refusal is lost, counts as possibly run.
"""

import asyncio
import contextlib
import datetime as dt
import logging
from collections import Counter, defaultdict
from collections.abc import Collection, Generator
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
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.proxy.peer_queries import QUERY_HEADER
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


class OpenAttempts:
    """The attempts of this node at other nodes, by their addresses.

    Parameters
    ----------
    pool
        Connections to other nodes.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool
        self._request_ids: defaultdict[Address, Counter[bytes]] = defaultdict(
            Counter
        )
        self._withdrawn = False

    @property
    def withdrawn(self) -> bool:
        """Whether this node sends no more requests to servers."""
        return self._withdrawn

    @contextlib.contextmanager
    def track(
        self, address: Address, request_id: bytes
    ) -> Generator[None, None, None]:
        """Track an attempt at the node with an address."""
        request_ids = self._request_ids[address]
        request_ids[request_id] += 1
        try:
            yield
        finally:
            self._end(address, request_id)

    def check(self) -> None:
        """Check that an attempt may be sent.

        Raises
        ------
        DrainingError
            When the open attempts were withdrawn.
        """
        if self._withdrawn:
            raise make_withdrawal_error()

    async def withdraw(self) -> None:
        """Withdraw the open attempts and allow no more; return when done."""
        self._withdrawn = True
        by_address = {
            address: [request_id for request_id in request_ids if request_id]
            for address, request_ids in self._request_ids.items()
        }
        logger.info(
            'attempts_withdrawn',
            extra={
                'peers': len(by_address),
                'attempts': sum(map(len, by_address.values())),
            },
        )
        async with asyncio.TaskGroup() as group:
            for address, request_ids in by_address.items():
                if request_ids:
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

    def _end(self, address: Address, request_id: bytes) -> None:
        request_ids = self._request_ids[address]
        request_ids[request_id] -= 1
        if not request_ids[request_id]:
            del request_ids[request_id]
        if not request_ids:
            del self._request_ids[address]


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
