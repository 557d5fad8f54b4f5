"""Table of the other nodes and their servers, updated from beacons."""

import dataclasses
import datetime as dt
import logging
import math
from collections.abc import Callable, Iterable
from typing import Final

from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.exceptions import MalformedError
from bluebellslip._internal.fleet.beacons import (
    Beacon,
    NodeState,
    Reach,
    ServerBeacon,
)
from bluebellslip._internal.fleet.departures import Departures
from bluebellslip._internal.fleet.node_lives import NodeLife
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.servers import Lifetime, ServerState

logger = logging.getLogger(__name__)

# At the base interval beacons are sent twice a second; three lost in a row
# indicate a failure.
SILENCE_TIMEOUT: Final = dt.timedelta(seconds=1.7)
# Maximum number of beacons from other failure domains that a node receives in
# a round. With more peers, each peer's beacon is relayed only every n-th round,
# where n is the number of peers divided by this maximum and rounded up.
MAX_REMOTE_PEERS_PER_ROUND: Final = 80
# A relayed beacon is lost if its only relay fails, so the node that it comes
# from counts as silent only after twice the time.
RELAYED_TIMEOUT_FACTOR: Final = 2
# Longer than any link outage that the deployments are designed for.
PEER_RETENTION: Final = dt.timedelta(seconds=60)


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Load of a server, as last reported by the node beside it.

    Parameters
    ----------
    in_use
        Requests at the server.
    waiting
        Requests in the queue of the node beside it.
    slots
        Maximum number of requests that the server processes concurrently.
    hold_time
        Mean time for which a request holds a slot; zero if unknown.
    received_at
        Time on this node's clock when the report was received.
    own_in_flight
        Requests of this node that were in flight to the server when the report
        was received.
    """

    in_use: int
    waiting: int
    slots: int
    hold_time: dt.timedelta
    received_at: dt.timedelta
    own_in_flight: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Endpoint:
    """A server to which requests may be sent, through the node beside it.

    Parameters
    ----------
    node
        The node beside the server.
    address
        Address on which that node receives requests from peers; none for
        this node itself.
    locality
        Region and failure domain of the server and its node.
    lifetime
        Identifies the server and its start.
    service
        The service that it serves.
    version
        Version of its software.
    load
        The latest report of its load.
    warmup_ends_at
        Time on this node's clock at which the server's warm-up ends.
    failure_rate
        Share of its recent responses that were failures.
    rate_limit
        Requests a second that it takes from all nodes together, 0 if it takes
        any number; none if unknown.
    hold_times
        Mean time for which a request holds a slot there, by route.
    in_flight
        Requests of this node that are in flight to the server now.
    unreachable_until
        Time on this node's clock until which the node beside the server counts
        as unreachable.
    connect_failures
        Number of consecutive failures to connect to the node beside the server.
    silence_callbacks
        Called when the node beside the server is silent and doesn't respond,
        to end requests that wait for it.
    report_rounds
        Number of rounds from one report to the next.
    """

    node: NodeId
    address: Address | None
    locality: Locality
    lifetime: Lifetime
    service: ServiceName
    version: VersionName
    load: LoadReport
    warmup_ends_at: dt.timedelta
    failure_rate: float = 0
    rate_limit: float | None = None
    hold_times: dict[RouteName, dt.timedelta] = dataclasses.field(
        default_factory=dict
    )
    in_flight: int = 0
    unreachable_until: dt.timedelta = dt.timedelta()
    connect_failures: int = 0
    silence_callbacks: set[Callable[[], None]] = dataclasses.field(
        default_factory=set
    )
    report_rounds: int = 1

    def abandon(self) -> None:
        """End the requests that wait for this server."""
        for callback in tuple(self.silence_callbacks):
            callback()


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """Another node.

    Parameters
    ----------
    node
        Its name.
    beacon_address
        Address on which it receives beacons.
    failure_domain
        Its failure domain.
    last_beacon_at
        Time on this node's clock when the latest beacon of the peer arrived;
        none before the first.
    last_beacon
        The latest beacon of the peer; none before the first.
    endpoint
        The server beside the peer; none unless the server accepts requests.
    silence_timeout
        Time without a beacon after which it counts as silent.
    dropped_endpoint
        The server that was last beside the peer, whose limit is remembered
        while the peer starts again.
    """

    node: NodeId
    beacon_address: Address
    failure_domain: str
    last_beacon_at: dt.timedelta | None = None
    last_beacon: Beacon | None = None
    endpoint: Endpoint | None = None
    silence_timeout: dt.timedelta = SILENCE_TIMEOUT
    dropped_endpoint: Endpoint | None = None

    @property
    def can_watch_store(self) -> bool:
        """Whether the peer is serving and can reach the store."""
        latest = self.last_beacon
        if latest is None or latest.state is not NodeState.SERVING:
            return False
        return latest.can_reach_store

    def is_silent(self, now: dt.timedelta) -> bool:
        """Return whether no beacon came within the silence timeout."""
        return (
            self.last_beacon_at is None
            or now - self.last_beacon_at > self.silence_timeout
        )


class PeerTable:
    """All known peer nodes by name, and the servers beside them by service.

    Parameters
    ----------
    clock
        The node's clock.
    node
        The node's own name.
    failure_domain
        The node's own failure domain.
    """

    def __init__(
        self, clock: Clock, node: NodeId, failure_domain: str = ''
    ) -> None:
        self._clock = clock
        self._failure_domain = failure_domain
        self._node = node
        self._peers: dict[NodeId, Peer] = {}
        self._endpoints_by_service: dict[ServiceName, list[Endpoint]] = {}
        self._local_endpoint: Endpoint | None = None
        self._announced_size = 0
        self.departures = Departures(clock)
        # Called with the server beside a node that fell silent.
        self.confirm_silence: Callable[[Endpoint], None] = Endpoint.abandon

    @property
    def peers(self) -> Iterable[Peer]:
        """All known peers."""
        return self._peers.values()

    @property
    def size(self) -> int:
        """Number of known peers."""
        return len(self._peers)

    @property
    def deployment_size(self) -> int:
        """Number of nodes that this node or one of its peers knows.

        A node that has just started hears of the others one by one, but the
        first beacon tells how many there are.
        """
        return max(len(self._peers) + 1, self._announced_size)

    @property
    def newest_revision(self) -> int:
        """The newest revision of the configuration that a live peer has."""
        return max(
            (
                peer.last_beacon.revision
                for peer in self.select_alive(self._peers.values())
                if peer.last_beacon
            ),
            default=0,
        )

    @property
    def remote_beacon_rounds(self) -> int:
        """Number of rounds from one relayed beacon of a node to the next.

        A beacon with an update is relayed in any round.
        """
        return max(1, math.ceil(len(self._peers) / MAX_REMOTE_PEERS_PER_ROUND))

    def is_remote(self, peer: Peer) -> bool:
        """Return whether a peer is in another failure domain."""
        return peer.failure_domain != self._failure_domain

    def group_remote(self) -> dict[str, list[Peer]]:
        """Return the peers in other failure domains, by domain."""
        groups: dict[str, list[Peer]] = {}
        for peer in self._peers.values():
            if self.is_remote(peer):
                groups.setdefault(peer.failure_domain, []).append(peer)
        return groups

    def find(self, node: NodeId) -> Peer | None:
        """Return a peer by its name."""
        return self._peers.get(node)

    def select_alive(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return those of the given peers that are not silent."""
        now = self._clock.elapsed()
        return [peer for peer in peers if not peer.is_silent(now)]

    def has_no_live_peers(self) -> bool:
        """Return whether all known peers are silent."""
        return not self.count_alive()

    def find_rank(self) -> int:
        """Return how many live peers sort before this node by name."""
        now = self._clock.elapsed()
        return sum(
            peer.node < self._node and not peer.is_silent(now)
            for peer in self._peers.values()
        )

    def count_watchers_before(self) -> int:
        """Return how many neighbours come before this node as watchers.

        They are the live peers of the same failure domain that sort before
        this node by name, are serving and can reach the store.
        """
        before = [
            peer
            for peer in self.select_alive(self._peers.values())
            if peer.node < self._node and not self.is_remote(peer)
        ]
        return sum(peer.can_watch_store for peer in before)

    def count_alive(self) -> int:
        """Return the number of peers that are not silent."""
        return len(self.select_alive(self._peers.values()))

    def add_registered(self, registration: NodeRegistration) -> Peer | None:
        """Add a node found in the store, or update a silent one that moved.

        Returns
        -------
        Peer | None
            The peer if it is new, or silent and registered with another
            address; otherwise none.
        """
        node = registration.node
        if node == self._node:
            return None
        peer = self._peers.get(node)
        if peer is None:
            peer = Peer(
                node, registration.beacon_address, registration.failure_domain
            )
            self._peers[node] = peer
            return peer
        is_moved = peer.beacon_address != registration.beacon_address
        if is_moved and peer.is_silent(self._clock.elapsed()):
            peer.beacon_address = registration.beacon_address
            peer.failure_domain = registration.failure_domain
            return peer
        return None

    def find_superseding_life(self, beacon: Beacon) -> NodeLife | None:
        """Return the known life of a beacon's sender that supersedes its life.

        The sender is then either of an earlier life, or has started again and
        doesn't know of the other one.
        """
        peer = self._peers.get(NodeId(beacon.node))
        if peer is None or peer.last_beacon is None:
            return None
        known = peer.last_beacon.life
        return known if beacon.life.is_superseded_by(known) else None

    def apply_beacon(self, beacon: Beacon) -> Peer | None:
        """Apply a beacon and return its sender, or none if it is ignored.

        Outdated and invalid beacons, and those of this node, are ignored.
        """
        node = NodeId(beacon.node)
        if node == self._node:
            return None
        address = parse_beacon_address(beacon, beacon.beacons_address)
        if address is None:
            return None
        peer = self._peers.get(node)
        if peer is None:
            peer = Peer(node, address, beacon.failure_domain)
            self._peers[node] = peer
        latest = peer.last_beacon
        if latest is not None and _is_not_newer(beacon, latest):
            return None
        now = self._clock.elapsed()
        if peer.is_silent(now):
            logger.info('peer_heard', extra={'peer': node})
        peer.beacon_address = address
        peer.failure_domain = beacon.failure_domain
        peer.last_beacon_at = now
        peer.last_beacon = beacon
        peer.silence_timeout = SILENCE_TIMEOUT * self._compute_timeout_factor(
            beacon
        )
        self._announced_size = max(self._announced_size, beacon.known_nodes)
        self._apply_departures(beacon)
        self._update_endpoint(peer, beacon, now)
        return peer

    def expire(self) -> None:
        """Drop servers of silent peers, and peers silent for PEER_RETENTION."""
        now = self._clock.elapsed()
        for node, peer in tuple(self._peers.items()):
            if not peer.is_silent(now):
                continue
            if peer.endpoint is not None:
                logger.warning('peer_silent', extra={'peer': node})
                endpoint = peer.endpoint
                self._drop_endpoint(peer)
                self.confirm_silence(endpoint)
            if (
                peer.last_beacon_at is not None
                and now - peer.last_beacon_at > PEER_RETENTION
            ):
                del self._peers[node]
        self._announced_size = max(
            (
                known.last_beacon.known_nodes
                for known in self._peers.values()
                if known.last_beacon
            ),
            default=0,
        )

    def endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Return the servers of a service that accept requests."""
        return self._endpoints_by_service.get(service, [])

    def mark_leaving(self, endpoint: Endpoint) -> None:
        """Use a server no more, since one of its responses says it leaves.

        What the node beside it reports later doesn't undo that: it may have
        started again and not know.
        """
        if self.departures.has_left(endpoint.node, endpoint.lifetime):
            return
        self.departures.record(endpoint.node, endpoint.lifetime)
        logger.info(
            'peer_server_leaving',
            extra={
                'peer': endpoint.node,
                'server': endpoint.lifetime.server,
            },
        )
        peer = self._peers.get(endpoint.node)
        if peer is not None and peer.endpoint is endpoint:
            self._drop_endpoint(peer)

    def replace_local_endpoint(self, endpoint: Endpoint | None) -> None:
        """Replace the endpoint of the server beside this node.

        Parameters
        ----------
        endpoint
            The server's endpoint; none while it does not accept requests.
        """
        if endpoint is self._local_endpoint:
            return
        if self._local_endpoint is not None:
            self._endpoints_by_service[self._local_endpoint.service].remove(
                self._local_endpoint
            )
        self._local_endpoint = endpoint
        if endpoint is not None:
            self._endpoints_by_service.setdefault(endpoint.service, []).append(
                endpoint
            )

    def _compute_timeout_factor(self, beacon: Beacon) -> int:
        """Return the factor of SILENCE_TIMEOUT to use for a beacon's sender."""
        if beacon.reach is Reach.DIRECT:
            return 1
        return RELAYED_TIMEOUT_FACTOR * self._count_rounds(beacon)

    def _count_rounds(self, beacon: Beacon) -> int:
        """Return in which rounds, every n-th, a beacon's sender is heard."""
        if beacon.reach is Reach.DIRECT:
            return 1
        return self.remote_beacon_rounds

    def _apply_departures(self, beacon: Beacon) -> None:
        self.departures.merge(beacon.departures)
        self.departures.note_contact()
        for report in beacon.departures:
            peer = self._peers.get(NodeId(report.node))
            if peer is not None and peer.endpoint is not None:
                lifetime = peer.endpoint.lifetime
                if self.departures.has_left(peer.node, lifetime):
                    self._drop_endpoint(peer)

    def _update_endpoint(
        self, peer: Peer, beacon: Beacon, now: dt.timedelta
    ) -> None:
        server = beacon.server
        if server is None:
            self._drop_endpoint(peer)
            return
        lifetime = Lifetime(server.born, server.server)
        if server.state is not ServerState.READY:
            self.departures.record(peer.node, lifetime)
        accepts_requests = (
            beacon.state is NodeState.SERVING
            and server.usable
            and not self.departures.has_left(peer.node, lifetime)
        )
        if not accepts_requests:
            self._drop_endpoint(peer)
            return
        endpoint = peer.endpoint
        if endpoint is None or endpoint.lifetime != lifetime:
            self._drop_endpoint(peer)
            endpoint = _make_endpoint(peer, beacon, server, now)
            if endpoint is None:
                return
            _recall_rate_limit(peer, endpoint)
            peer.endpoint = endpoint
            self._endpoints_by_service.setdefault(endpoint.service, []).append(
                endpoint
            )
        endpoint.warmup_ends_at = now + dt.timedelta(
            milliseconds=server.warmup_remaining_ms
        )
        endpoint.report_rounds = self._count_rounds(beacon)
        endpoint.failure_rate = server.failure_rate
        if server.rate_limit is not None:
            endpoint.rate_limit = server.rate_limit
        endpoint.hold_times = {
            RouteName(route): dt.timedelta(milliseconds=hold_time)
            for route, hold_time in server.hold_ms_by_route
        }
        endpoint.load = _make_load_report(server, now, endpoint.in_flight)

    def _drop_endpoint(self, peer: Peer) -> None:
        if peer.endpoint is not None:
            self._endpoints_by_service[peer.endpoint.service].remove(
                peer.endpoint
            )
            peer.dropped_endpoint = peer.endpoint
            peer.endpoint = None


def _is_not_newer(beacon: Beacon, latest: Beacon) -> bool:
    if beacon.life.is_superseded_by(latest.life):
        return True
    return (beacon.life_number, beacon.sequence) <= (
        latest.life_number,
        latest.sequence,
    )


def parse_beacon_address(beacon: Beacon, text: str) -> Address | None:
    """Return an address that a beacon names, or none if it is invalid."""
    try:
        return Address.from_text(text)
    except MalformedError as error:
        logger.warning(
            'beacon_refused', extra={'peer': beacon.node, 'reason': str(error)}
        )
        return None


def _make_endpoint(
    peer: Peer, beacon: Beacon, server: ServerBeacon, now: dt.timedelta
) -> Endpoint | None:
    address = parse_beacon_address(beacon, beacon.peers_address)
    if address is None:
        return None
    return Endpoint(
        node=peer.node,
        address=address,
        locality=Locality(beacon.region, beacon.failure_domain),
        lifetime=Lifetime(server.born, server.server),
        service=ServiceName(server.service),
        version=VersionName(server.version),
        load=_make_load_report(server, now, 0),
        warmup_ends_at=now,
    )


def _recall_rate_limit(peer: Peer, endpoint: Endpoint) -> None:
    """Take over a limit of the same server from before its node was silent."""
    dropped = peer.dropped_endpoint
    if dropped is not None and dropped.lifetime == endpoint.lifetime:
        endpoint.rate_limit = dropped.rate_limit
    peer.dropped_endpoint = None


def _make_load_report(
    server: ServerBeacon, now: dt.timedelta, own_in_flight: int
) -> LoadReport:
    return LoadReport(
        in_use=server.in_use,
        waiting=server.waiting,
        slots=max(1, server.slots),
        hold_time=dt.timedelta(milliseconds=server.hold_ms),
        received_at=now,
        own_in_flight=own_in_flight,
    )
