"""The other nodes, as their beacons and the exchanges with them tell."""

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

# Beacons come twice a second: three lost ones in a row are no accident.
SILENCE_TIMEOUT: Final = dt.timedelta(seconds=1.7)
# Beacons from other failure domains that a node takes in within one turn at
# the most; more peers than that send theirs every second turn, and so on.
MAX_REMOTE_PEERS_PER_ROUND: Final = 80
# A beacon that is passed on is lost with the one node that got it, so twice as
# much time goes by before its sender counts as silent.
RELAYED_TIMEOUT_FACTOR: Final = 2
# Longer than any outage of the links that the deployments plan with.
PEER_RETENTION: Final = dt.timedelta(seconds=60)


@dataclasses.dataclass(slots=True)
class LoadReport:
    """Load of a server, and when it was told.

    Parameters
    ----------
    in_use
        Requests at the server.
    waiting
        Requests in the queue of the node beside it.
    slots
        Requests that it runs at once.
    hold
        Mean time that a request holds a slot; zero if unknown.
    at
        Time on this node's clock when the report came.
    own
        Requests of this node that were at the server then.
    """

    in_use: int
    waiting: int
    slots: int
    hold_time: dt.timedelta
    received_at: dt.timedelta
    own_in_flight: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Endpoint:
    """A server that requests may be sent to, through the node beside it.

    Parameters
    ----------
    node
        The node beside the server.
    address
        Where that node takes requests of peers; none for this node itself.
    locality
        Where both stand.
    lifetime
        The server's start.
    service
        The service that it serves.
    version
        Version of its software.
    load
        The newest report of its load.
    warm_at
        Time on this node's clock from which it runs at full speed.
    failing
        Share of its late answers that were failures.
    holds
        Typical time that a request takes there, by route.
    in_flight
        Requests of this node that are with it now.
    unreachable_until
        Time on this node's clock until which its node counts as away.
    connect_failures
        Connections to its node that failed in a row.
    waits
        To be called when the node falls silent, by those that wait for it.
    """

    node: NodeId
    address: Address | None
    locality: Locality
    lifetime: Lifetime
    service: ServiceName
    version: VersionName
    load: LoadReport
    warm_at: dt.timedelta
    failure_rate: float = 0
    hold_times: dict[RouteName, dt.timedelta] = dataclasses.field(
        default_factory=dict
    )
    in_flight: int = 0
    unreachable_until: dt.timedelta = dt.timedelta()
    connect_failures: int = 0
    silence_callbacks: set[Callable[[], None]] = dataclasses.field(
        default_factory=set
    )


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """Another node.

    Parameters
    ----------
    node
        Its name.
    beacon
        Where it listens for beacons.
    failure_domain
        Where it stands.
    heard_at
        Time on this node's clock of its newest beacon; none before the first.
    latest
        That beacon.
    endpoint
        The server beside it, if it takes work.
    silent_after
        Time without a beacon after which it counts as silent.
    """

    node: NodeId
    beacon_address: Address
    failure_domain: str
    last_beacon_at: dt.timedelta | None = None
    last_beacon: Beacon | None = None
    endpoint: Endpoint | None = None
    silence_timeout: dt.timedelta = SILENCE_TIMEOUT

    @property
    def hears_store(self) -> bool:
        """Whether it serves, and the store answers it."""
        latest = self.last_beacon
        if latest is None or latest.state is not NodeState.SERVING:
            return False
        return latest.hears_store

    def is_silent(self, now: dt.timedelta) -> bool:
        """Tell whether beacons have failed to come."""
        return (
            self.last_beacon_at is None
            or now - self.last_beacon_at > self.silence_timeout
        )


class PeerTable:
    """All other nodes by name.

    Parameters
    ----------
    clock
        The node's clock.
    node
        The node's own name.
    failure_domain
        Where it stands.
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

    @property
    def peers(self) -> Iterable[Peer]:
        """All peers that are known."""
        return self._peers.values()

    @property
    def size(self) -> int:
        """Peers that are known."""
        return len(self._peers)

    @property
    def newest_revision(self) -> int:
        """The greatest revision of the configuration that a peer told."""
        return max(
            (
                peer.last_beacon.revision
                for peer in self._peers.values()
                if peer.last_beacon
            ),
            default=0,
        )

    @property
    def remote_beacon_rounds(self) -> int:
        """In how many turns peers of other failure domains get one beacon."""
        return max(1, math.ceil(len(self._peers) / MAX_REMOTE_PEERS_PER_ROUND))

    def is_remote(self, peer: Peer) -> bool:
        """Tell whether a peer stands in another failure domain."""
        return peer.failure_domain != self._failure_domain

    def group_remote(self) -> dict[str, list[Peer]]:
        """Return the peers of each other failure domain."""
        groups: dict[str, list[Peer]] = {}
        for peer in self._peers.values():
            if self.is_remote(peer):
                groups.setdefault(peer.failure_domain, []).append(peer)
        return groups

    def find(self, node: NodeId) -> Peer | None:
        """Return a peer by its name."""
        return self._peers.get(node)

    def select_alive(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return those of some peers that are heard of."""
        now = self._clock.elapsed()
        return [peer for peer in peers if not peer.is_silent(now)]

    def has_no_live_peers(self) -> bool:
        """Tell whether no other node is heard of."""
        return not self.count_alive()

    def find_rank(self) -> int:
        """Return how many living nodes come before this one by name."""
        now = self._clock.elapsed()
        return sum(
            peer.node < self._node and not peer.is_silent(now)
            for peer in self._peers.values()
        )

    def count_watchers_before(self) -> int:
        """Return how many neighbours before this node hear the store.

        Neighbours are the living nodes of the same failure domain, in the
        order of their names.
        """
        before = [
            peer
            for peer in self.select_alive(self._peers.values())
            if peer.node < self._node and not self.is_remote(peer)
        ]
        return sum(peer.hears_store for peer in before)

    def count_alive(self) -> int:
        """Return the number of peers that are heard of."""
        return len(self.select_alive(self._peers.values()))

    def add_registered(self, registration: NodeRegistration) -> Peer | None:
        """Enter a node that was found in the store; return it if it is new."""
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

    def apply_beacon(self, beacon: Beacon) -> Peer | None:
        """Take in a beacon; return its node unless it is old or garbled."""
        node = NodeId(beacon.node)
        if node == self._node:
            return None
        address = _parse_address(beacon, beacon.beacons_address)
        if address is None:
            return None
        peer = self._peers.get(node)
        if peer is None:
            peer = Peer(node, address, beacon.failure_domain)
            self._peers[node] = peer
        latest = peer.last_beacon
        if latest is not None and _is_older(beacon, latest):
            return None
        now = self._clock.elapsed()
        if peer.is_silent(now):
            logger.info('peer_heard', extra={'peer': node})
        peer.beacon_address = address
        peer.failure_domain = beacon.failure_domain
        peer.last_beacon_at = now
        peer.last_beacon = beacon
        peer.silence_timeout = SILENCE_TIMEOUT * self._count_beacon_rounds(
            beacon
        )
        self._update_endpoint(peer, beacon, now)
        return peer

    def expire(self) -> None:
        """Leave out the servers of nodes that have fallen silent."""
        now = self._clock.elapsed()
        for node, peer in tuple(self._peers.items()):
            if not peer.is_silent(now):
                continue
            if peer.endpoint is not None:
                logger.warning('peer_silent', extra={'peer': node})
                callbacks = tuple(peer.endpoint.silence_callbacks)
                self._drop_endpoint(peer)
                for callback in callbacks:
                    callback()
            if (
                peer.last_beacon_at is not None
                and now - peer.last_beacon_at > PEER_RETENTION
            ):
                del self._peers[node]

    def endpoints(self, service: ServiceName) -> list[Endpoint]:
        """Return the servers of a service that take work."""
        return self._endpoints_by_service.get(service, [])

    def replace_local_endpoint(self, endpoint: Endpoint | None) -> None:
        """Offer the server beside this node to its own callers, or none."""
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

    def _count_beacon_rounds(self, beacon: Beacon) -> int:
        """Return in how many turns one beacon of its sender is sure to come."""
        if beacon.reach is Reach.DIRECT:
            return 1
        return RELAYED_TIMEOUT_FACTOR * self.remote_beacon_rounds

    def _update_endpoint(
        self, peer: Peer, beacon: Beacon, now: dt.timedelta
    ) -> None:
        server = beacon.server
        takes_work = (
            beacon.state is NodeState.SERVING
            and server is not None
            and server.usable
            and server.state is ServerState.READY
        )
        if server is None or not takes_work:
            self._drop_endpoint(peer)
            return
        lifetime = Lifetime(server.born, server.server)
        endpoint = peer.endpoint
        if endpoint is None or endpoint.lifetime != lifetime:
            self._drop_endpoint(peer)
            endpoint = _make_endpoint(peer, beacon, server, now)
            if endpoint is None:
                return
            peer.endpoint = endpoint
            self._endpoints_by_service.setdefault(endpoint.service, []).append(
                endpoint
            )
        endpoint.warm_at = now + dt.timedelta(milliseconds=server.warm_in_ms)
        endpoint.failure_rate = server.failing
        endpoint.hold_times = {
            RouteName(route): dt.timedelta(milliseconds=hold_time)
            for route, hold_time in server.holds_ms
        }
        endpoint.load = _make_load_report(server, now, endpoint.in_flight)

    def _drop_endpoint(self, peer: Peer) -> None:
        if peer.endpoint is not None:
            self._endpoints_by_service[peer.endpoint.service].remove(
                peer.endpoint
            )
            peer.endpoint = None


def _is_older(beacon: Beacon, latest: Beacon) -> bool:
    return (beacon.started, beacon.sequence) <= (
        latest.started,
        latest.sequence,
    )


def _parse_address(beacon: Beacon, text: str) -> Address | None:
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
    address = _parse_address(beacon, beacon.peers_address)
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
        warm_at=now,
    )


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
