"""Looks for facts and the store's clock when a node's lease runs out."""

import asyncio
import datetime as dt
from random import Random
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.calls.http_client import ClientRequest, send_request
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.control.lease_keeper import LeaseKeeper
from bluebellslip._internal.control.ports import DesiredStateSource
from bluebellslip._internal.exceptions import (
    BluebellError,
    NotReadyError,
    PeerGarbledError,
)
from bluebellslip._internal.fleet.peer_table import Peer, PeerTable
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.proxy.peer_queries import QUERY_HEADER
from bluebellslip._internal.utils.decoding import (
    DECODING_ERRORS,
    Count,
    Milliseconds,
)

CLOCK_QUERY: Final = b'store-clock'
# Reads a second by which the nodes of a failure domain together look for a fact
# while their leases run out, and after that.
READ_RATE: Final = 4.0
EXPIRED_READ_RATE: Final = 0.5
# How often a node checks whether it needs a fact or the store's clock.
CHECK_INTERVAL: Final = dt.timedelta(milliseconds=250)
# Age of the bound after which a node asks a peer for a better one. Nodes on
# standby read the store once a minute.
MAX_READING_AGE: Final = dt.timedelta(seconds=120)
_QUERY_TIMEOUT: Final = dt.timedelta(seconds=1)
_OK: Final = 200
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_JSON: Final = (b'content-type', b'application/json')


class ClockAnswer(msgspec.Struct, frozen=True, array_like=True):
    """An upper bound of the store's clock in an era, in milliseconds."""

    era: Count
    bound_ms: Milliseconds


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ClockAnswer)


class LeaseRenewal:
    """Reads the store, and asks peers for its clock, when a lease needs it.

    Parameters
    ----------
    keeper
        Keeps the lease.
    holder
        The active configuration.
    peer_table
        The other nodes.
    random_source
        Chooses peers, and the nodes that read the store.
    counters
        Counts the reads and the queries.
    """

    def __init__(
        self,
        keeper: LeaseKeeper,
        holder: ConfigHolder,
        peer_table: PeerTable,
        random_source: Random,
        counters: Counters,
    ) -> None:
        self._keeper = keeper
        self._lease = keeper.lease
        self._holder = holder
        self._peer_table = peer_table
        self._random = random_source
        self._counters = counters
        self._pool = ConnectionPool(counters)
        self._source: DesiredStateSource | None = None
        self._next_query_at = dt.timedelta()

    def connect(self, source: DesiredStateSource) -> None:
        """Set the store."""
        self._source = source

    async def handle_query(self, request: InboundRequest) -> None:
        """Respond to a peer with an upper bound of the store's clock.

        Raises
        ------
        NotReadyError
            When this node has none.
        """
        found = self._lease.find_bound(self._keeper.now)
        if found is None:
            raise NotReadyError("The node does not know the store's clock.")
        era, bound = found
        answer = ClockAnswer(era, bound // _MILLISECOND + 1)
        request.reply.respond(_OK, (_JSON,), _encoder.encode(answer))

    async def run(self) -> None:
        """Look for what the lease lacks, until cancelled."""
        if not self._keeper.is_strict:
            await anyio.sleep_forever()
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_periodically)
            group.start_soon(self._read_periodically)

    async def _read_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if not self._keeper.is_old:
                continue
            if self._random.random() < self._read_share:
                await self._read_store()

    @property
    def _read_share(self) -> float:
        """Probability with which the node reads the store at a check."""
        alive = self._peer_table.select_alive(self._peer_table.peers)
        size = 1 + sum(not self._peer_table.is_remote(peer) for peer in alive)
        holds = self._lease.holds(self._holder.revision, self._keeper.now)
        rate = READ_RATE if holds else EXPIRED_READ_RATE
        return rate * CHECK_INTERVAL.total_seconds() / size

    async def _read_store(self) -> None:
        """Read the store and apply the configuration.

        The orders in the answer are left to the watch, which may have passed
        them meanwhile.
        """
        if self._source is None:
            return
        try:
            update = await self._source.read_desired_state()
        except BluebellError:
            self._counters.add('lease_reads', outcome='failed')
            return
        self._counters.add('lease_reads', outcome='read')
        if update.config is not None:
            self._holder.offer(update.config, 'store')

    async def _ask_periodically(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if self._needs_reading:
                await self._ask_any()

    async def _ask_any(self) -> None:
        """Ask a random peer that has a fact."""
        peers = self._list_askable()
        if not peers:
            return
        # Its bound may be no better than the one that the node has.
        self._next_query_at = self._keeper.now + MAX_READING_AGE
        if not await self._ask(self._random.choice(peers)):
            await asyncio.sleep(_QUERY_TIMEOUT.total_seconds())

    @property
    def _needs_reading(self) -> bool:
        if not self._keeper.is_active:
            return False
        reading = self._lease.newest_reading
        if reading is None:
            return True
        oldest = self._keeper.now - MAX_READING_AGE
        return (
            reading.asked_at < oldest and self._keeper.now > self._next_query_at
        )

    def _list_askable(self) -> list[Peer]:
        """Return the live peers that have a fact."""
        return [
            peer
            for peer in self._peer_table.select_alive(self._peer_table.peers)
            if peer.last_beacon is not None
            and peer.last_beacon.config_fact is not None
        ]

    async def _ask(self, peer: Peer) -> bool:
        """Ask a peer for the store's clock; return whether it responded."""
        if peer.last_beacon is None:
            return False
        asked_at = self._keeper.now
        try:
            response = await send_request(
                self._pool,
                Address.from_text(peer.last_beacon.peers_address),
                ClientRequest(b'GET', b'/', ((QUERY_HEADER, CLOCK_QUERY),)),
                _QUERY_TIMEOUT,
            )
            answer = _decode_answer(response.status, response.body)
        except (BluebellError, TimeoutError):
            self._counters.add('store_clock_queries', outcome='failed')
            return False
        self._counters.add('store_clock_queries', outcome='answered')
        bound = answer.bound_ms * _MILLISECOND
        self._keeper.apply_clock(answer.era, bound, asked_at)
        return True


def _decode_answer(status: int, body: bytes) -> ClockAnswer:
    """Return the answer of a peer.

    Raises
    ------
    PeerGarbledError
        When it has no bound, or a malformed one.
    """
    if status != _OK:
        raise PeerGarbledError(
            'A peer did not report the clock of the store.',
            context={'status': str(status)},
        )
    try:
        return _decoder.decode(body)
    except DECODING_ERRORS as error:
        raise PeerGarbledError(
            'A peer reported a malformed clock of the store.',
            context={'found': str(error)},
        ) from error
