"""The parts of a mesh node, and how they are put together."""

import dataclasses
import datetime as dt
from typing import Self

from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.control.entry import EntryKeeper
from bluebellslip._internal.control.health import StoreHealth
from bluebellslip._internal.control.orders import OrdersWatcher
from bluebellslip._internal.control.ports import NodeEntry
from bluebellslip._internal.control.relay import CONFIG_QUESTION, ConfigRelay
from bluebellslip._internal.control.watch_duty import WatchDuty
from bluebellslip._internal.fleet.lighthouse import BeaconSource, Lighthouse
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.fleet.roster import Roster
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
from bluebellslip._internal.proxy.asking import Asker
from bluebellslip._internal.proxy.attempts import Mesh
from bluebellslip._internal.proxy.door import Door
from bluebellslip._internal.proxy.egress import CallerHandler, CallerSide
from bluebellslip._internal.proxy.ingress import PeerHandler
from bluebellslip._internal.proxy.intake import Intake
from bluebellslip._internal.proxy.placement import Placement
from bluebellslip._internal.proxy.side_doors import SideDoors
from bluebellslip._internal.proxy.sizes import AnswerSizes
from bluebellslip._internal.rollouts.book import RolloutBook
from bluebellslip._internal.rollouts.steward import Steward
from bluebellslip._internal.rollouts.versions import RolloutVersions
from bluebellslip._internal.rollouts.witness import RolloutWitness


@dataclasses.dataclass(frozen=True, slots=True)
class Views:
    """What a node knows of the mesh."""

    locality: Locality
    holder: ConfigHolder
    roster: Roster
    server: LocalServer
    source: BeaconSource
    lighthouse: Lighthouse
    book: RolloutBook
    store_health: StoreHealth
    watch_duty: WatchDuty

    @classmethod
    def from_settings(
        cls, settings: MeshSettings, surroundings: Surroundings
    ) -> Self:
        """Build the views of a node that knows nothing yet."""
        clock = surroundings.clock
        node = NodeId(settings.node)
        locality = Locality(settings.region, settings.failure_domain)
        roster = Roster(clock, node, settings.failure_domain)
        source = BeaconSource()
        health = StoreHealth()
        lighthouse = Lighthouse(
            node,
            locality,
            Address.from_text(settings.listen.peers),
            Address.from_text(settings.listen.beacons),
            roster,
            source,
            surroundings.random,
            surroundings.counters,
        )
        return cls(
            locality=locality,
            holder=ConfigHolder(surroundings.random),
            roster=roster,
            server=LocalServer(
                clock,
                ServiceName(settings.service),
                Address.from_text(settings.server),
                settings.heartbeat_period,
            ),
            source=source,
            lighthouse=lighthouse,
            book=RolloutBook(
                clock,
                node,
                lighthouse.started,
                settings.bounds.canary_share,
                roster.endpoints,
            ),
            store_health=health,
            watch_duty=WatchDuty(roster, health),
        )

    def follows_store(self) -> bool:
        """Tell whether this node hears of news from the store itself."""
        return not self.store_health.is_lost and self.watch_duty.is_ours


@dataclasses.dataclass(frozen=True, slots=True)
class Paths:
    """The ways that requests take."""

    door: Door
    server_side: ServerSide
    placement: Placement
    callers: CallerHandler
    peers: PeerHandler
    intake: Intake
    relay: ConfigRelay

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
        versions = RolloutVersions(views.book)
        witness = RolloutWitness(views.book)
        intake = Intake(settings.link_mbps)
        door = Door(
            clock,
            views.server,
            ConnectionPool(counters),
            adapter.dialect,
            versions,
            witness,
        )
        placement = Placement(
            clock,
            surroundings.random,
            views.locality,
            settings.crossing_cost,
        )
        relay = ConfigRelay(
            views.holder,
            views.roster,
            peer_pool,
            adapter.decode_config,
            settings.failure_domain,
            surroundings.random,
            views.follows_store,
        )
        side_doors = SideDoors()
        side_doors.register(CONFIG_QUESTION, relay.answer)
        return cls(
            door=door,
            server_side=ServerSide(
                clock,
                NodeId(settings.node),
                views.locality,
                views.server,
                door,
                views.roster,
            ),
            placement=placement,
            callers=CallerHandler(
                CallerSide(
                    ServiceName(settings.service),
                    adapter.dialect,
                    settings.bounds,
                ),
                Mesh(
                    clock=clock,
                    roster=views.roster,
                    placement=placement,
                    asker=Asker(clock, peer_pool, door),
                    versions=versions,
                    sizes=AnswerSizes(),
                ),
                views.holder,
                surroundings.random,
                counters,
                door.running,
                OutgoingCount(views.server, witness),
            ),
            peers=PeerHandler(door, adapter.dialect, side_doors, intake),
            intake=intake,
            relay=relay,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """What a node does with the platform's store."""

    watcher: OrdersWatcher
    entry: EntryKeeper
    steward: Steward
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
            views.book,
            views.lighthouse,
            views.follows_store,
        )
        watcher = OrdersWatcher(
            adapter.store,
            random,
            views.store_health,
            lambda: views.watch_duty.is_ours,
            news.take_orders,
        )
        news.follow(watcher)
        return cls(
            watcher=watcher,
            entry=EntryKeeper(
                adapter.store,
                NodeEntry(
                    NodeId(settings.node),
                    Address.from_text(settings.listen.beacons),
                    settings.failure_domain,
                ),
                random,
                views.lighthouse.introduce,
                views.roster.is_alone,
                lambda: views.watch_duty.is_ours,
            ),
            steward=Steward(
                surroundings.clock,
                views.book,
                adapter.store,
                views.roster.find_rank,
                views.lighthouse.hasten,
            ),
            news=news,
        )


class OutgoingCount:
    """Counts requests that go out from beside a server under a roll-out.

    Parameters
    ----------
    server
        What is known of the server.
    witness
        Counts requests.
    """

    def __init__(self, server: LocalServer, witness: RolloutWitness) -> None:
        self._server = server
        self._witness = witness

    def __call__(self, failed: bool) -> None:
        """Count a request, and whether it got no answer of a server."""
        facts = self._server.facts
        if facts is not None:
            self._witness.record_outgoing(
                facts.service, facts.version, failed=failed
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
