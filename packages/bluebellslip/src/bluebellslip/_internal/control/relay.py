"""The configuration from a peer, when the store turns this node away."""

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
from bluebellslip._internal.control.orders import NEWS_PAUSE
from bluebellslip._internal.exceptions import (
    BluebellError,
    NotReadyError,
    PeerGarbledError,
)
from bluebellslip._internal.fleet.roster import Peer, Roster
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.proxy.side_doors import ASK_HEADER

logger = logging.getLogger(__name__)

CONFIG_QUESTION: Final = b'config'
# How long a node may be behind its peers, without any progress, before it asks
# one of them: the store is nearer to all, and half of the time to apply a
# configuration is left. Where the store is known to be lost, or left to
# neighbours, it is not waited for if a neighbour is ahead.
STORE_FIRST: Final = dt.timedelta(seconds=1)
LOOK_EVERY: Final = dt.timedelta(milliseconds=200)
_TIMEOUT: Final = dt.timedelta(seconds=1)
_OK: Final = 200
_JSON: Final = (b'content-type', b'application/json')
_DEFLATED: Final = (b'content-encoding', b'deflate')
# Level of compression: routes repeat each other, so the fastest one will do.
_FASTEST: Final = 1
# Unpacked size in bytes beyond which an answer of a peer is refused; rows of
# the store are smaller.
_MAX_CONFIG_BYTES: Final = 1 << 20


class ConfigRelay:
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
        roster: Roster,
        pool: ConnectionPool,
        decode: Callable[[bytes], ConfigRecord],
        failure_domain: str,
        random_source: Random,
        follows_store: Callable[[], bool],
    ) -> None:
        self._follows_store = follows_store
        self._holder = holder
        self._roster = roster
        self._pool = pool
        self._decode = decode
        self._failure_domain = failure_domain
        self._random = random_source
        self._packed = b''
        self._packed_revision = 0

    async def answer(self, request: InboundRequest) -> None:
        """Give a peer the configuration in force."""
        record = self._holder.record
        if record is None:
            raise NotReadyError('The node holds no configuration yet.')
        request.reply.respond(_OK, (_JSON, _DEFLATED), self.pack(record))

    def pack(self, record: ConfigRecord) -> bytes:
        """Return a stored configuration for narrow links; each only once."""
        if self._packed_revision != record.config.revision:
            self._packed_revision = record.config.revision
            self._packed = zlib.compress(record.body, _FASTEST)
        return self._packed

    def choose(self, behind: dt.timedelta) -> Peer | None:
        """Return a peer to ask, a near one if there is one; none to wait."""
        ahead = [
            peer
            for peer in self._roster.peers
            if peer.latest is not None
            and peer.latest.revision > self._holder.revision
        ]
        near = [
            peer
            for peer in ahead
            if peer.latest is not None
            and peer.latest.failure_domain == self._failure_domain
        ]
        is_overdue = behind >= STORE_FIRST
        if not is_overdue and self._follows_store():
            return None
        choices = ahead if is_overdue and not near else near
        return self._random.choice(choices) if choices else None

    async def run(self) -> None:
        """Catch up with peers until cancelled."""
        behind = dt.timedelta()
        held = 0
        while True:
            await asyncio.sleep(LOOK_EVERY.total_seconds())
            revision = self._holder.revision
            is_behind = self._roster.newest_revision > revision
            if not is_behind or revision != held:
                behind = dt.timedelta()
                held = revision
                continue
            behind += LOOK_EVERY
            peer = self.choose(behind)
            if peer is not None:
                await self._fetch(peer)

    async def _fetch(self, peer: Peer) -> None:
        if peer.latest is None:
            return
        question = ClientRequest(b'GET', b'/', ((ASK_HEADER, CONFIG_QUESTION),))
        try:
            reply = await send_request(
                self._pool,
                Address.from_text(peer.latest.peers_address),
                question,
                _TIMEOUT,
            )
            if reply.status == _OK:
                body = unpack(reply.body)
                self._holder.offer(self._decode(body), peer.node)
                await asyncio.sleep(NEWS_PAUSE.total_seconds())
        except (BluebellError, TimeoutError) as error:
            logger.warning(
                'config_not_fetched',
                extra={'peer': peer.node, 'reason': repr(error)},
            )


def unpack(packed: bytes) -> bytes:
    """Return a configuration as the store keeps it.

    Raises
    ------
    PeerGarbledError
        When the bytes hold none.
    """
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(packed, _MAX_CONFIG_BYTES)
    except zlib.error as error:
        raise PeerGarbledError(
            'A configuration of a peer can not be unpacked.',
            context={'found': str(error)},
        ) from error
    if not unpacker.eof:
        raise PeerGarbledError('A configuration of a peer is not whole.')
    return body
