"""Sends this node's beacons and takes in those of the others."""

import asyncio
import datetime as dt
import logging
import time
from collections.abc import Callable
from random import Random
from typing import Any, Final

import msgspec

from bluebellslip._internal.control.ports import NodeEntry
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.fleet.audience import Audience
from bluebellslip._internal.fleet.beacons import (
    Beacon,
    NodeState,
    Reach,
    RolloutBeacon,
    ServerBeacon,
    decode_beacon,
    encode_beacon,
)
from bluebellslip._internal.fleet.roster import Roster
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address, Locality, NodeId
from bluebellslip._internal.utils.backoff import jitter

logger = logging.getLogger(__name__)

# Half a second keeps the news of load and of a silent node young at twelve
# nodes; the period grows with the nodes so that the traffic of all does not
# grow with their square.
PERIOD: Final = dt.timedelta(milliseconds=500)
NODES_AT_PERIOD: Final = 24
LONGEST_PERIOD: Final = dt.timedelta(milliseconds=800)


class BeaconSource:
    """What the beacons of a node say; filled in by the parts of the node."""

    def __init__(self) -> None:
        self.state = NodeState.SERVING
        self.read_revision: Callable[[], int] = int
        self.hears_store: Callable[[], bool] = bool
        self.read_server: Callable[[], ServerBeacon | None] = lambda: None
        self.read_rollouts: Callable[[], tuple[RolloutBeacon, ...]] = tuple


class Lighthouse(asyncio.DatagramProtocol):
    """The node's socket for beacons.

    Parameters
    ----------
    node
        The node's name.
    locality
        Where it stands.
    peers_address
        Where it takes requests of peers.
    beacons_address
        Where it listens for beacons.
    roster
        The other nodes.
    source
        What the beacons say.
    random_source
        Spreads the beacons.
    counters
        Counts of datagrams.
    """

    def __init__(
        self,
        node: NodeId,
        locality: Locality,
        peers_address: Address,
        beacons_address: Address,
        roster: Roster,
        source: BeaconSource,
        random_source: Random,
        counters: Counters,
    ) -> None:
        self._node = node
        self._locality = locality
        self._peers_address = peers_address
        self._beacons_address = beacons_address
        self._roster = roster
        self._audience = Audience(roster, random_source)
        self._source = source
        self._random = random_source
        self._counters = counters
        self._started = time.time_ns() // 1_000_000
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._listeners: list[Callable[[Beacon], None]] = []
        self._is_due = asyncio.Event()

    @property
    def started(self) -> int:
        """Unix time of the node's start in milliseconds."""
        return self._started

    def on_beacon(self, listener: Callable[[Beacon], None]) -> None:
        """Call a listener with every beacon that is taken in."""
        self._listeners.append(listener)

    async def open(self, listen: Address) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=(listen.host, listen.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def hasten(self) -> None:
        """Send the next beacons at once, since there is news."""
        self._is_due.set()

    def introduce(self, entries: tuple[NodeEntry, ...]) -> None:
        """Greet nodes that were found in the store."""
        found = [
            peer
            for entry in entries
            if (peer := self._roster.introduce(entry)) is not None
        ]
        if not found:
            return
        greeting = encode_beacon(self._make(wants_reply=True))
        for peer in self._audience.list_greeted(found):
            self._write(peer.beacon, greeting)
        self.hasten()

    async def run(self) -> None:
        """Send beacons until cancelled."""
        turn = 0
        while True:
            self.broadcast(turn, is_news=self._is_due.is_set())
            turn += 1
            self._is_due.clear()
            try:
                async with asyncio.timeout(self._period().total_seconds()):
                    await self._is_due.wait()
            except TimeoutError:
                self._roster.expire()

    def broadcast(self, turn: int, *, is_news: bool) -> None:
        """Send the beacon of a turn to all who get it."""
        beacon = self._make()
        datagram = encode_beacon(beacon)
        for peer in self._audience.list_direct(turn):
            self._write(peer.beacon, datagram)
        relays = self._audience.choose_relays(turn, is_news=is_news)
        if relays:
            shared = msgspec.structs.replace(beacon, reach=Reach.SHARED)
            datagram = encode_beacon(shared)
            for peer in relays:
                self._write(peer.beacon, datagram)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; the loop calls this."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Take in a datagram; the loop calls this."""
        try:
            beacon = decode_beacon(data)
        except PeerGarbledError as error:
            self._counters.add('beacons_refused')
            logger.debug('beacon_refused', extra={'reason': str(error)})
            return
        peer = self._roster.hear(beacon)
        if peer is None:
            return
        if beacon.wants_reply:
            self._write(peer.beacon, encode_beacon(self._make()))
        if beacon.reach is Reach.SHARED:
            self._pass_on(beacon)
        for listener in self._listeners:
            listener(beacon)

    def error_received(self, exc: Exception) -> None:
        """Count what could not be sent; the loop calls this."""
        self._counters.add('beacons_failed')

    def _period(self) -> dt.timedelta:
        growth = max(1.0, self._roster.size / NODES_AT_PERIOD)
        return jitter(min(PERIOD * growth, LONGEST_PERIOD), self._random)

    def _pass_on(self, beacon: Beacon) -> None:
        passed_on = msgspec.structs.replace(beacon, reach=Reach.PASSED_ON)
        datagram = encode_beacon(passed_on)
        for peer in self._audience.list_neighbours():
            self._write(peer.beacon, datagram)

    def _write(self, to: Address, datagram: bytes) -> None:
        if self._transport is not None:
            self._transport.sendto(datagram, (to.host, to.port))

    def _make(self, *, wants_reply: bool = False) -> Beacon:
        self._sequence += 1
        source = self._source
        return Beacon(
            node=self._node,
            started=self._started,
            sequence=self._sequence,
            region=self._locality.region,
            failure_domain=self._locality.failure_domain,
            peers_address=str(self._peers_address),
            beacons_address=str(self._beacons_address),
            reach=Reach.DIRECT,
            state=source.state,
            revision=source.read_revision(),
            wants_reply=wants_reply,
            hears_store=source.hears_store(),
            server=source.read_server(),
            rollouts=source.read_rollouts(),
        )
