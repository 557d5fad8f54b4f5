"""Sends this node's beacons and receives those of its peers."""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final, Protocol

import msgspec

from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.fleet.beacons import (
    Beacon,
    ConfigFactBeacon,
    EvacuationBeacon,
    FatalRequestBeacon,
    NodeState,
    Reach,
    RetiredVersionBeacon,
    RolloutBeacon,
    ServerBeacon,
    decode_beacon,
    encode_beacon,
)
from bluebellslip._internal.fleet.datagram_socket import DatagramSocket
from bluebellslip._internal.fleet.node_lives import NodeLife
from bluebellslip._internal.fleet.peer_table import (
    PeerTable,
    parse_beacon_address,
)
from bluebellslip._internal.fleet.recipients import BeaconRecipients
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.models.identity import Address, Locality, NodeId
from bluebellslip._internal.utils.backoff import jitter
from bluebellslip._internal.utils.containment import contain_errors

logger = logging.getLogger(__name__)

# With twelve nodes, half a second keeps load reports and the detection of
# silent nodes timely. Beyond 24 nodes the interval grows in proportion to their
# number n, so that total traffic grows with n instead of n squared until the
# interval reaches its maximum.
BASE_BEACON_INTERVAL: Final = dt.timedelta(milliseconds=500)
NODES_AT_BASE_INTERVAL: Final = 24
MAX_BEACON_INTERVAL: Final = dt.timedelta(milliseconds=800)
_MILLISECOND: Final = dt.timedelta(milliseconds=1)


class BeaconSource:
    """Contents of beacons; the node's components set the attributes."""

    def __init__(self) -> None:
        self.state = NodeState.SERVING
        self.read_revision: Callable[[], int] = int
        self.read_revision_age: Callable[[], dt.timedelta] = dt.timedelta
        self.can_reach_store: Callable[[], bool] = bool
        self.read_store_era: Callable[[], int] = int
        self.read_server: Callable[[], ServerBeacon | None] = lambda: None
        self.read_rollouts: Callable[[], tuple[RolloutBeacon, ...]] = tuple
        self.read_fatal_requests: Callable[
            [], tuple[FatalRequestBeacon, ...]
        ] = tuple
        self.read_retired_versions: Callable[
            [], tuple[RetiredVersionBeacon, ...]
        ] = tuple
        self.read_evacuations: Callable[[], tuple[EvacuationBeacon, ...]] = (
            tuple
        )
        self.read_config_fact: Callable[[], ConfigFactBeacon | None] = lambda: (
            None
        )


class DatagramSender(Protocol):
    """Sends datagrams until it is closed."""

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram, or drop it."""

    def close(self) -> None:
        """Send no more datagrams."""


class BeaconProtocol:
    """Sends and receives beacons on a UDP socket.

    Parameters
    ----------
    node
        The node's name.
    locality
        The node's region and failure domain.
    peers_address
        Address on which the node receives requests from peers.
    beacons_address
        Address on which the node receives beacons.
    peer_table
        The other nodes.
    source
        Provides the contents of beacons.
    random_source
        Source of jitter, and of the random choice of relays.
    counters
        Counters of refused beacons and of beacons that could not be sent.
    """

    def __init__(
        self,
        node: NodeId,
        locality: Locality,
        peers_address: Address,
        beacons_address: Address,
        peer_table: PeerTable,
        source: BeaconSource,
        random_source: Random,
        counters: Counters,
    ) -> None:
        self._node = node
        self._locality = locality
        self._peers_address = peers_address
        self._beacons_address = beacons_address
        self._peer_table = peer_table
        self._recipients = BeaconRecipients(peer_table, random_source)
        self._source = source
        self._random = random_source
        self._counters = counters
        self._life = NodeLife.from_random(random_source)
        # Two processes under one name would otherwise answer each other's
        # numbers without a pause.
        self._life_raised_in_round = False
        self._sequence = 0
        self._sender: DatagramSender | None = None
        self._listeners: list[Callable[[Beacon], None]] = []
        self._datagram_handlers: dict[bytes, Callable[[bytes], None]] = {}
        self._broadcast_requested = asyncio.Event()

    @property
    def life(self) -> NodeLife:
        """The life that the node's beacons name."""
        return self._life

    def on_beacon(self, listener: Callable[[Beacon], None]) -> None:
        """Call a listener with every accepted beacon."""
        self._listeners.append(listener)

    def on_datagram(
        self, first_byte: bytes, handler: Callable[[bytes], None]
    ) -> None:
        """Call a handler with datagrams that begin with a byte.

        Parameters
        ----------
        first_byte
            The byte; no beacon begins with it.
        handler
            Receives the datagrams.
        """
        self._datagram_handlers[first_byte] = handler

    async def open(self, listen: Address) -> None:
        """Bind the socket."""
        self.connect(
            await DatagramSocket.open(listen, self.receive, self._count_error)
        )

    def connect(self, sender: DatagramSender) -> None:
        """Send beacons through an open socket."""
        self._sender = sender

    def close(self) -> None:
        """Close the socket."""
        if self._sender is not None:
            self._sender.close()
            self._sender = None

    def request_broadcast(self) -> None:
        """Send the next round of beacons at once, to report an update."""
        self._broadcast_requested.set()

    def add_registered(
        self, registrations: tuple[NodeRegistration, ...]
    ) -> None:
        """Add nodes found in the store, and send beacons to the new ones."""
        new_peers = [
            peer
            for registration in registrations
            if (peer := self._peer_table.add_registered(registration))
            is not None
        ]
        if not new_peers:
            return
        datagram = encode_beacon(self._make_beacon(wants_reply=True))
        for peer in self._recipients.select_direct(new_peers):
            self.send(peer.beacon_address, datagram)
        self.request_broadcast()

    async def run(self) -> None:
        """Send beacons until cancelled."""
        round_number = 0
        while True:
            with contain_errors('send a round of beacons'):
                self.broadcast(
                    round_number, has_update=self._broadcast_requested.is_set()
                )
            round_number += 1
            self._broadcast_requested.clear()
            try:
                async with asyncio.timeout(
                    self._next_interval().total_seconds()
                ):
                    await self._broadcast_requested.wait()
            except TimeoutError:
                self._life_raised_in_round = False
                self._peer_table.expire()

    def broadcast(self, round_number: int, *, has_update: bool) -> None:
        """Send a round's beacon to all its recipients.

        Parameters
        ----------
        round_number
            Number of the round, from 0.
        has_update
            Whether the beacon carries an update that must not be delayed.
        """
        beacon = self._make_beacon()
        datagram = encode_beacon(beacon)
        for peer in self._recipients.list_direct(round_number):
            self.send(peer.beacon_address, datagram)
        relays = self._recipients.choose_relays(
            round_number, has_update=has_update
        )
        if relays:
            shared = msgspec.structs.replace(beacon, reach=Reach.SHARED)
            datagram = encode_beacon(shared)
            for peer in relays:
                self.send(peer.beacon_address, datagram)

    def receive(self, datagram: bytes) -> None:
        """Process a received datagram."""
        with contain_errors('apply a beacon'):
            self._datagram_handlers.get(datagram[:1], self._receive)(datagram)

    def send(self, to: Address, datagram: bytes) -> None:
        """Send a datagram to another node, or drop it."""
        if self._sender is not None:
            with contain_errors('send a datagram', str(to)):
                self._sender.sendto(datagram, (to.host, to.port))

    def _receive(self, datagram: bytes) -> None:
        try:
            beacon = decode_beacon(datagram)
        except PeerGarbledError as error:
            self._counters.add('beacons_refused')
            logger.debug('beacon_refused', extra={'reason': str(error)})
            return
        if beacon.known_life:
            self._follow_life(beacon)
        superseding = self._peer_table.find_superseding_life(beacon)
        if superseding is not None:
            self._report_life(beacon, superseding)
            return
        peer = self._peer_table.apply_beacon(beacon)
        if peer is None:
            return
        if beacon.wants_reply:
            reply = self._make_beacon(recipient=peer.node)
            self.send(peer.beacon_address, encode_beacon(reply))
        if beacon.reach is Reach.SHARED:
            self._relay(beacon)
        for listener in self._listeners:
            listener(beacon)

    def _count_error(self) -> None:
        self._counters.add('beacons_failed')

    def _next_interval(self) -> dt.timedelta:
        scale = max(1.0, self._peer_table.size / NODES_AT_BASE_INTERVAL)
        return jitter(
            min(BASE_BEACON_INTERVAL * scale, MAX_BEACON_INTERVAL), self._random
        )

    def _follow_life(self, beacon: Beacon) -> None:
        """Go on with a number above that of a life that a peer knows."""
        if beacon.known_life < self._life.number:
            return
        self._life = self._life.follow(beacon.known_life)
        logger.info(
            'node_life_raised',
            extra={'peer': beacon.node, 'life': self._life.number},
        )
        if not self._life_raised_in_round:
            self._life_raised_in_round = True
            self.request_broadcast()

    def _report_life(self, beacon: Beacon, known: NodeLife) -> None:
        """Tell a node that its beacon was ignored, and for which life."""
        self._counters.add('beacons_superseded')
        address = parse_beacon_address(beacon, beacon.beacons_address)
        if address is None:
            return
        reply = msgspec.structs.replace(
            self._make_beacon(recipient=NodeId(beacon.node)),
            known_life=known.number,
        )
        self.send(address, encode_beacon(reply))

    def _relay(self, beacon: Beacon) -> None:
        relayed = msgspec.structs.replace(beacon, reach=Reach.PASSED_ON)
        datagram = encode_beacon(relayed)
        for peer in self._recipients.list_neighbours():
            self.send(peer.beacon_address, datagram)

    def _make_beacon(
        self, *, wants_reply: bool = False, recipient: NodeId | None = None
    ) -> Beacon:
        self._sequence += 1
        source = self._source
        return Beacon(
            node=self._node,
            life_number=self._life.number,
            sequence=self._sequence,
            region=self._locality.region,
            failure_domain=self._locality.failure_domain,
            peers_address=str(self._peers_address),
            beacons_address=str(self._beacons_address),
            reach=Reach.DIRECT,
            state=source.state,
            revision=source.read_revision(),
            wants_reply=wants_reply,
            can_reach_store=source.can_reach_store(),
            server=source.read_server(),
            rollouts=source.read_rollouts(),
            store_era=source.read_store_era(),
            known_nodes=self._peer_table.size + 1,
            life_token=self._life.token,
            fatal_requests=source.read_fatal_requests(),
            retired_versions=source.read_retired_versions(),
            departures=self._peer_table.departures.make_reports(recipient),
            revision_age_ms=source.read_revision_age() // _MILLISECOND,
            evacuations=source.read_evacuations(),
            config_fact=source.read_config_fact(),
        )
