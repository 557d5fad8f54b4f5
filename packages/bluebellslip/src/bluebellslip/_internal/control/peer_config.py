"""Fetches newer configurations from peers, and sends them this node's own."""

import asyncio
import datetime as dt
import logging
import zlib
from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import anyio

from bluebellslip._internal.calls.http_client import ClientRequest, send_request
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.exceptions import (
    BluebellError,
    NotReadyError,
    PeerGarbledError,
)
from bluebellslip._internal.fleet.beacons import Beacon
from bluebellslip._internal.fleet.peer_table import Peer, PeerTable
from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.proxy.peer_queries import QUERY_HEADER

logger = logging.getLogger(__name__)

CONFIG_QUERY: Final = b'config'
# Share of the time allowed to apply a configuration for which a node that
# watches the store waits for it, which is the shorter path, before it fetches
# from a peer; and a node whose neighbours don't have the newest configuration,
# before it fetches from another failure domain.
PATIENCE_SHARE: Final = 0.2
# Share of that time after which a second peer is asked beside one that has not
# responded yet.
HEDGE_SHARE: Final = 0.1
# Peers that are asked at the same time.
MAX_CONCURRENT_FETCHES: Final = 3
# Shortest time from the start of a fetch to the next one. Changes in quick
# succession are fetched together; a lone change is not delayed.
MIN_FETCH_INTERVAL: Final = dt.timedelta(milliseconds=250)
# How often a node that waits for its neighbours or the store looks again.
CHECK_INTERVAL: Final = dt.timedelta(milliseconds=100)
# How long a peer is asked only after the others because it did not respond.
_FAILURE_MEMORY: Final = dt.timedelta(seconds=2)
_QUERY_TIMEOUT: Final = dt.timedelta(seconds=1)
_OK: Final = 200
_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_JSON: Final = (b'content-type', b'application/json')
_DEFLATE: Final = (b'content-encoding', b'deflate')
# zlib's fastest level, which suffices because routes are repetitive.
_COMPRESSION_LEVEL: Final = 1
# Decompressed size beyond which a peer's response is rejected; rows of the
# store are smaller.
_MAX_CONFIG_BYTES: Final = 1 << 20


class PeerConfigSync:
    """Exchanges configurations with peers.

    Parameters
    ----------
    holder
        The active configuration.
    peer_table
        The other nodes.
    pool
        Connections to peers.
    decode
        Decodes a stored configuration.
    news
        Since when newer configurations have been known.
    config_apply
        Time within which a configuration has to be in force.
    random_source
        Chooses among peers.
    watches_store
        Returns whether this node itself watches the store for changes.
    """

    def __init__(
        self,
        holder: ConfigHolder,
        peer_table: PeerTable,
        pool: ConnectionPool,
        decode: Callable[[bytes], ConfigRecord],
        news: ConfigNews,
        config_apply: dt.timedelta,
        random_source: Random,
        watches_store: Callable[[], bool],
    ) -> None:
        self._watches_store = watches_store
        self._holder = holder
        self._peer_table = peer_table
        self._pool = pool
        self._decode = decode
        self._news = news
        self._config_apply = config_apply
        self._random = random_source
        self._is_behind = asyncio.Event()
        self._failed_at: dict[NodeId, dt.timedelta] = {}
        self._compressed = b''
        self._compressed_revision = 0

    async def handle_query(self, request: InboundRequest) -> None:
        """Respond to a peer with the active configuration.

        Raises
        ------
        NotReadyError
            When this node has no configuration yet.
        """
        record = self._holder.record
        if record is None:
            raise NotReadyError('The node holds no configuration yet.')
        request.reply.respond(_OK, (_JSON, _DEFLATE), self.compress(record))

    def compress(self, record: ConfigRecord) -> bytes:
        """Return a configuration compressed; the last result is cached."""
        if self._compressed_revision != record.config.revision:
            self._compressed_revision = record.config.revision
            self._compressed = zlib.compress(record.body, _COMPRESSION_LEVEL)
        return self._compressed

    def choose_peers(self, lag: dt.timedelta) -> list[Peer]:
        """Return the peers to ask for a newer configuration, the best first.

        Empty while the node waits for the store or for its neighbours. Among
        peers with the newest configuration, those that responded lately come
        first, and otherwise the order is random, so that no peer is asked by
        all others.

        Parameters
        ----------
        lag
            For how long a newer configuration has been known.
        """
        ahead = self._list_ahead()
        near = [peer for peer in ahead if not self._peer_table.is_remote(peer)]
        if lag < self._config_apply * PATIENCE_SHARE:
            ahead = [] if self._watches_store() else near
        elif _find_newest(near) == _find_newest(ahead):
            ahead = near
        self._random.shuffle(ahead)
        return sorted(ahead, key=self._rank)

    def note_beacon(self, beacon: Beacon) -> None:
        """Fetch at once if a beacon is from a node with a newer revision."""
        if beacon.revision > self._holder.revision:
            self._is_behind.set()

    async def run(self) -> None:
        """Fetch from peers whenever this node is behind, until cancelled."""
        while True:
            await self._is_behind.wait()
            started = self._read_time()
            lag = self._news.find_age(self._holder.revision + 1)
            if lag is None or not self._list_ahead():
                self._is_behind.clear()
                continue
            peers = self.choose_peers(lag)
            if not peers:
                await asyncio.sleep(CHECK_INTERVAL.total_seconds())
                continue
            await self._fetch_from_first(peers[:MAX_CONCURRENT_FETCHES])
            pause = started + MIN_FETCH_INTERVAL - self._read_time()
            await asyncio.sleep(max(0, pause.total_seconds()))

    def _list_ahead(self) -> list[Peer]:
        return [
            peer
            for peer in self._peer_table.select_alive(self._peer_table.peers)
            if _get_revision(peer) > self._holder.revision
        ]

    def _rank(self, peer: Peer) -> tuple[int, bool]:
        failed_at = self._failed_at.get(peer.node)
        has_failed = (
            failed_at is not None
            and self._read_time() - failed_at < _FAILURE_MEMORY
        )
        return -_get_revision(peer), has_failed

    def _read_time(self) -> dt.timedelta:
        return dt.timedelta(seconds=asyncio.get_running_loop().time())

    async def _fetch_from_first(self, peers: Sequence[Peer]) -> None:
        """Fetch from the peer that responds first.

        The next one is asked when one has failed or takes long.
        """
        hedge_delay = self._config_apply * HEDGE_SHARE
        async with anyio.create_task_group() as group:
            for peer in peers:
                failed = anyio.Event()
                group.start_soon(
                    self._fetch_or_fail, peer, group.cancel_scope, failed
                )
                with anyio.move_on_after(hedge_delay.total_seconds()):
                    await failed.wait()

    async def _fetch_or_fail(
        self, peer: Peer, others: anyio.CancelScope, failed: anyio.Event
    ) -> None:
        """Fetch from a peer, and end the other fetches if it responds."""
        if await self._fetch(peer):
            others.cancel()
        failed.set()

    async def _fetch(self, peer: Peer) -> bool:
        """Return whether a peer has sent its configuration."""
        if peer.last_beacon is None:
            return False
        query = ClientRequest(b'GET', b'/', ((QUERY_HEADER, CONFIG_QUERY),))
        started = self._read_time()
        try:
            response = await send_request(
                self._pool,
                Address.from_text(peer.last_beacon.peers_address),
                query,
                _QUERY_TIMEOUT,
            )
            if response.status != _OK:
                raise PeerGarbledError(
                    'A peer sent no configuration.',
                    context={'status': str(response.status)},
                )
            record = self._decode(decompress_config(response.body))
        except (BluebellError, TimeoutError) as error:
            self._record_failure(peer, started, error)
            return False
        self._failed_at.pop(peer.node, None)
        spent = self._read_time() - started
        self._holder.offer(record, peer.node, spent)
        return True

    def _record_failure(
        self, peer: Peer, started: dt.timedelta, error: Exception
    ) -> None:
        now = self._read_time()
        self._failed_at[peer.node] = now
        logger.warning(
            'config_not_fetched',
            extra={
                'peer': peer.node,
                'reason': repr(error),
                'spent_ms': (now - started) // _MILLISECOND,
            },
        )


def _get_revision(peer: Peer) -> int:
    return 0 if peer.last_beacon is None else peer.last_beacon.revision


def _find_newest(peers: Sequence[Peer]) -> int:
    return max(map(_get_revision, peers), default=0)


def decompress_config(compressed: bytes) -> bytes:
    """Return the stored form of a configuration received from a peer.

    Raises
    ------
    PeerGarbledError
        When the bytes are invalid, truncated or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, _MAX_CONFIG_BYTES)
    except zlib.error as error:
        raise PeerGarbledError(
            'A configuration received from a peer cannot be decompressed.',
            context={'found': str(error)},
        ) from error
    if not decompressor.eof:
        raise PeerGarbledError(
            'A configuration received from a peer is truncated or too large.'
        )
    return body
