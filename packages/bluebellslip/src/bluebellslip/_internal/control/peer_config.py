"""Fetches newer configurations from peers, and sends them this node's own."""

import asyncio
import datetime as dt
import logging
import zlib
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.calls.http_client import ClientRequest, send_request
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.control.desired_state import COALESCE_DELAY
from bluebellslip._internal.exceptions import (
    BluebellError,
    NotReadyError,
    PeerGarbledError,
)
from bluebellslip._internal.fleet.peer_table import Peer, PeerTable
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.proxy.peer_queries import QUERY_HEADER

logger = logging.getLogger(__name__)

CONFIG_QUERY: Final = b'config'
# How long a node that lags behind its peers waits for the store, which is the
# shorter path, before it fetches from a peer. Half of the time allowed to apply
# a configuration is then left. A node that does not watch the store, or cannot
# reach it, fetches without delay from peers in its failure domain, and waits
# only before it fetches from another domain.
PEER_FETCH_DELAY: Final = dt.timedelta(seconds=1)
CHECK_INTERVAL: Final = dt.timedelta(milliseconds=200)
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
    failure_domain
        This node's failure domain; peers there are preferred.
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
        failure_domain: str,
        random_source: Random,
        watches_store: Callable[[], bool],
    ) -> None:
        self._watches_store = watches_store
        self._holder = holder
        self._peer_table = peer_table
        self._pool = pool
        self._decode = decode
        self._failure_domain = failure_domain
        self._random = random_source
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

    def choose_peer(self, lag: dt.timedelta) -> Peer | None:
        """Return a peer with a newer configuration, or none to keep waiting.

        Peers in this node's failure domain are preferred.

        Parameters
        ----------
        lag
            How long this node has been behind its peers without progress.
        """
        ahead = [
            peer
            for peer in self._peer_table.peers
            if peer.last_beacon is not None
            and peer.last_beacon.revision > self._holder.revision
        ]
        same_domain = [
            peer
            for peer in ahead
            if peer.last_beacon is not None
            and peer.last_beacon.failure_domain == self._failure_domain
        ]
        is_overdue = lag >= PEER_FETCH_DELAY
        if not is_overdue and self._watches_store():
            return None
        candidates = ahead if is_overdue and not same_domain else same_domain
        return self._random.choice(candidates) if candidates else None

    async def run(self) -> None:
        """Fetch from peers whenever this node is behind, until cancelled."""
        lag = dt.timedelta()
        previous_revision = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            revision = self._holder.revision
            is_behind = self._peer_table.newest_revision > revision
            if not is_behind or revision != previous_revision:
                lag = dt.timedelta()
                previous_revision = revision
                continue
            lag += CHECK_INTERVAL
            peer = self.choose_peer(lag)
            if peer is not None:
                await self._fetch(peer)

    def _read_time(self) -> dt.timedelta:
        return dt.timedelta(seconds=asyncio.get_running_loop().time())

    async def _fetch(self, peer: Peer) -> None:
        if peer.last_beacon is None:
            return
        query = ClientRequest(b'GET', b'/', ((QUERY_HEADER, CONFIG_QUERY),))
        started = self._read_time()
        try:
            response = await send_request(
                self._pool,
                Address.from_text(peer.last_beacon.peers_address),
                query,
                _QUERY_TIMEOUT,
            )
            if response.status == _OK:
                body = decompress_config(response.body)
                self._holder.offer(
                    self._decode(body), peer.node, self._read_time() - started
                )
                await asyncio.sleep(COALESCE_DELAY.total_seconds())
        except (BluebellError, TimeoutError) as error:
            logger.warning(
                'config_not_fetched',
                extra={
                    'peer': peer.node,
                    'reason': repr(error),
                    'spent_ms': (self._read_time() - started) // _MILLISECOND,
                },
            )


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
