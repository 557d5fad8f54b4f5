"""The parts of a mesh node, and how they are put together."""

import dataclasses
import datetime as dt
from typing import Self

from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.control.desired_state import DesiredStateWatcher
from bluebellslip._internal.control.discovery import PeerDiscovery
from bluebellslip._internal.control.peer_config import (
    CONFIG_QUERY,
    PeerConfigSync,
)
from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.control.watcher_selection import WatcherSelection
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
)
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.listeners import (
    Handlers,
    ListenerSet,
    MetricsHandler,
)
from bluebellslip._internal.nodes.news import NewsDesk
from bluebellslip._internal.nodes.server_side import ServerSide
from bluebellslip._internal.nodes.surroundings import (
    Adapter,
    NodeFace,
    Surroundings,
)
from bluebellslip._internal.proxy.attempts import RoutingContext
from bluebellslip._internal.proxy.body_transfers import BodyTransferLimiter
from bluebellslip._internal.proxy.egress import CallerHandler, CallerSettings
from bluebellslip._internal.proxy.forwarding import RequestForwarder
from bluebellslip._internal.proxy.ingress import PeerHandler
from bluebellslip._internal.proxy.peer_queries import PeerQueries
from bluebellslip._internal.proxy.response_sizes import ResponseSizes
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from bluebellslip._internal.proxy.server_selection import ServerSelector
from bluebellslip._internal.rollouts.coordinator import RolloutCoordinator
from bluebellslip._internal.rollouts.outcome_recorder import (
    VersionOutcomeRecorder,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip._internal.rollouts.version_selector import VersionSelector


@dataclasses.dataclass(frozen=True, slots=True)
class Views:
    """What a node knows of the mesh."""

    locality: Locality
    holder: ConfigHolder
    peer_table: PeerTable
    server: LocalServer
    source: BeaconSource
    beacon_protocol: BeaconProtocol
    rollout_tracker: RolloutTracker
    store_health: StoreHealth
    watcher_selection: WatcherSelection

    @classmethod
    def from_settings(
        cls, settings: MeshSettings, surroundings: Surroundings
    ) -> Self:
        """Build the views of a node that knows nothing yet."""
        clock = surroundings.clock
        node = NodeId(settings.node)
        locality = Locality(settings.region, settings.failure_domain)
        peer_table = PeerTable(clock, node, settings.failure_domain)
        source = BeaconSource()
        health = StoreHealth()
        beacon_protocol = BeaconProtocol(
            node,
            locality,
            Address.from_text(settings.listen.peers),
            Address.from_text(settings.listen.beacons),
            peer_table,
            source,
            surroundings.random,
            surroundings.counters,
        )
        return cls(
            locality=locality,
            holder=ConfigHolder(surroundings.random),
            peer_table=peer_table,
            server=LocalServer(
                clock,
                ServiceName(settings.service),
                Address.from_text(settings.server),
                settings.heartbeat_period,
            ),
            source=source,
            beacon_protocol=beacon_protocol,
            rollout_tracker=RolloutTracker(
                clock,
                node,
                beacon_protocol.started,
                settings.bounds.canary_share,
                peer_table.endpoints,
            ),
            store_health=health,
            watcher_selection=WatcherSelection(peer_table, health),
        )

    def watches_store(self) -> bool:
        """Tell whether this node hears of news from the store itself."""
        return (
            not self.store_health.last_call_failed
            and self.watcher_selection.should_watch_store
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Paths:
    """The ways that requests take."""

    gateway: ServerGateway
    server_side: ServerSide
    server_selector: ServerSelector
    callers: CallerHandler
    peers: PeerHandler
    body_transfers: BodyTransferLimiter
    peer_config: PeerConfigSync

    @classmethod
    def from_views(
        cls,
        settings: MeshSettings,
        adapter: Adapter,
        surroundings: Surroundings,
        views: Views,
    ) -> Self:
        """Build the ways of requests through a node."""
        clock = surroundings.clock
        counters = surroundings.counters
        peer_pool = ConnectionPool(counters)
        versions = VersionSelector(views.rollout_tracker)
        outcome_recorder = VersionOutcomeRecorder(views.rollout_tracker)
        body_transfers = BodyTransferLimiter(settings.link_mbps)
        gateway = ServerGateway(
            clock,
            views.server,
            ConnectionPool(counters),
            adapter.dialect,
            versions,
            outcome_recorder,
        )
        server_selector = ServerSelector(
            clock,
            surroundings.random,
            views.locality,
            settings.crossing_cost,
        )
        peer_config = PeerConfigSync(
            views.holder,
            views.peer_table,
            peer_pool,
            adapter.decode_config,
            settings.failure_domain,
            surroundings.random,
            views.watches_store,
        )
        peer_queries = PeerQueries()
        peer_queries.register(CONFIG_QUERY, peer_config.handle_query)
        return cls(
            gateway=gateway,
            server_side=ServerSide(
                clock,
                NodeId(settings.node),
                views.locality,
                views.server,
                gateway,
                views.peer_table,
            ),
            server_selector=server_selector,
            callers=CallerHandler(
                CallerSettings(
                    ServiceName(settings.service),
                    adapter.dialect,
                    settings.bounds,
                ),
                RoutingContext(
                    clock=clock,
                    peer_table=views.peer_table,
                    server_selector=server_selector,
                    forwarder=RequestForwarder(clock, peer_pool, gateway),
                    versions=versions,
                    sizes=ResponseSizes(),
                ),
                views.holder,
                surroundings.random,
                counters,
                gateway.running,
                OutgoingCount(views.server, outcome_recorder),
            ),
            peers=PeerHandler(
                gateway, adapter.dialect, peer_queries, body_transfers
            ),
            body_transfers=body_transfers,
            peer_config=peer_config,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """What a node does with the platform's store."""

    watcher: DesiredStateWatcher
    discovery: PeerDiscovery
    coordinator: RolloutCoordinator
    news: NewsDesk

    @classmethod
    def from_views(
        cls,
        settings: MeshSettings,
        adapter: Adapter,
        surroundings: Surroundings,
        views: Views,
    ) -> Self:
        """Build what follows and writes the store."""
        random = surroundings.random
        news = NewsDesk(
            surroundings.clock,
            views.holder,
            views.rollout_tracker,
            views.beacon_protocol,
            views.watches_store,
        )
        watcher = DesiredStateWatcher(
            adapter.store,
            random,
            views.store_health,
            lambda: views.watcher_selection.should_watch_store,
            news.take_orders,
        )
        news.follow(watcher)
        return cls(
            watcher=watcher,
            discovery=PeerDiscovery(
                adapter.store,
                NodeRegistration(
                    NodeId(settings.node),
                    Address.from_text(settings.listen.beacons),
                    settings.failure_domain,
                ),
                random,
                views.beacon_protocol.add_registered,
                views.peer_table.has_no_live_peers,
                lambda: views.watcher_selection.should_watch_store,
            ),
            coordinator=RolloutCoordinator(
                surroundings.clock,
                views.rollout_tracker,
                adapter.store,
                views.peer_table.find_rank,
                views.beacon_protocol.request_broadcast,
            ),
            news=news,
        )


class OutgoingCount:
    """Counts requests that go out from beside a server under a roll-out.

    Parameters
    ----------
    server
        What is known of the server.
    outcome_recorder
        Counts requests.
    """

    def __init__(
        self, server: LocalServer, outcome_recorder: VersionOutcomeRecorder
    ) -> None:
        self._server = server
        self._outcome_recorder = outcome_recorder

    def __call__(self, failed: bool) -> None:
        """Count a request, and whether it got no answer of a server."""
        info = self._server.info
        if info is not None:
            self._outcome_recorder.record_outgoing(
                info.service, info.version, failed=failed
            )


def make_listeners(
    settings: MeshSettings,
    adapter: Adapter,
    surroundings: Surroundings,
    paths: Paths,
    node: NodeFace,
) -> ListenerSet:
    """Build the listeners of a node."""
    handlers = Handlers(
        callers=paths.callers,
        peers=paths.peers,
        health=adapter.make_health_handler(node),
        servers=adapter.make_server_handler(node),
        metrics=MetricsHandler(surroundings.read_metrics),
    )
    return ListenerSet(settings.listen, handlers, surroundings.counters)


def read_grace(settings: MeshSettings) -> dt.timedelta:
    """Return the time that a node has to stop."""
    return dt.timedelta(seconds=settings.bounds.grace)
