"""The configuration from a peer, when the store turns this node away."""

import asyncio
import datetime as dt
import logging
import zlib
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.question import Question, ask
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
from bluebellslip._internal.proxy.side_doors import ASK_HEADER

logger = logging.getLogger(__name__)

CONFIG_QUERY: Final = b'config'
# How long a node may be behind its peers, without any progress, before it asks
# one of them: the store is nearer to all, and half of the time to apply a
# configuration is left. Where the store is known to be lost, or left to
# neighbours, it is not waited for if a neighbour is ahead.
PEER_FETCH_DELAY: Final = dt.timedelta(seconds=1)
CHECK_INTERVAL: Final = dt.timedelta(milliseconds=200)
_QUERY_TIMEOUT: Final = dt.timedelta(seconds=1)
_OK: Final = 200
_JSON: Final = (b'content-type', b'application/json')
_DEFLATE: Final = (b'content-encoding', b'deflate')
# Level of compression: routes repeat each other, so the fastest one will do.
_COMPRESSION_LEVEL: Final = 1
# Unpacked size in bytes beyond which an answer of a peer is refused; rows of
# the store are smaller.
_MAX_CONFIG_BYTES: Final = 1 << 20


class PeerConfigSync:
    """Gives the configuration to peers and fetches newer ones from them.

    Parameters
    ----------
    holder
        The configuration in force.
    roster
        The other nodes.
    pool
        Connections to them.
    decode
        Decodes a stored configuration.
    failure_domain
        Where this node stands; peers there are asked first.
    random_source
        Chooses among peers.
    follows_store
        Tells whether this node itself hears of news from the store.
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
        """Give a peer the configuration in force."""
        record = self._holder.record
        if record is None:
            raise NotReadyError('The node holds no configuration yet.')
        request.reply.respond(_OK, (_JSON, _DEFLATE), self.compress(record))

    def compress(self, record: ConfigRecord) -> bytes:
        """Return a stored configuration for narrow links; each only once."""
        if self._compressed_revision != record.config.revision:
            self._compressed_revision = record.config.revision
            self._compressed = zlib.compress(record.body, _COMPRESSION_LEVEL)
        return self._compressed

    def choose_peer(self, lag: dt.timedelta) -> Peer | None:
        """Return a peer to ask, a near one if there is one; none to wait."""
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
        """Catch up with peers until cancelled."""
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

    async def _fetch(self, peer: Peer) -> None:
        if peer.last_beacon is None:
            return
        question = Question(b'GET', b'/', ((ASK_HEADER, CONFIG_QUERY),))
        try:
            reply = await ask(
                self._pool,
                Address.from_text(peer.last_beacon.peers_address),
                question,
                _QUERY_TIMEOUT,
            )
            if reply.status == _OK:
                body = decompress_config(reply.body)
                self._holder.offer(self._decode(body), peer.node)
                await asyncio.sleep(COALESCE_DELAY.total_seconds())
        except (BluebellError, TimeoutError) as error:
            logger.warning(
                'config_not_fetched',
                extra={'peer': peer.node, 'reason': repr(error)},
            )


def decompress_config(compressed: bytes) -> bytes:
    """Return a configuration as the store keeps it.

    Raises
    ------
    PeerGarbledError
        When the bytes hold none.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, _MAX_CONFIG_BYTES)
    except zlib.error as error:
        raise PeerGarbledError(
            'A configuration of a peer can not be unpacked.',
            context={'found': str(error)},
        ) from error
    if not decompressor.eof:
        raise PeerGarbledError('A configuration of a peer is not whole.')
    return body
