"""The components of a mesh node and how they are connected."""

import dataclasses
import datetime as dt
from typing import Self

from bluebellslip._internal.accounts.quotas.quota_service import QuotaService
from bluebellslip._internal.calls.body_pacing import BodyPacer
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.control.peer_config import (
    CONFIG_QUERY,
    PeerConfigSync,
)
from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.control.watcher_selection import WatcherSelection
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.evacuations import Evacuations
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.fleet.silence_probes import (
    SilenceProber,
    is_responsive,
)
from bluebellslip._internal.mesh.config_freshness import ConfigFreshness
from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
)
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.cold_server_pacing import pace_cold_server
from bluebellslip._internal.nodes.environment import (
    Adapter,
    NodeEnvironment,
)
from bluebellslip._internal.nodes.key_lease import KeyLeaseParts
from bluebellslip._internal.nodes.life_checking import make_life_checker
from bluebellslip._internal.nodes.quota_wiring import connect_quotas
from bluebellslip._internal.nodes.server_publisher import LocalServerPublisher
from bluebellslip._internal.proxy.attempts import RoutingContext
from bluebellslip._internal.proxy.body_transfers import BodyTransferLimiter
from bluebellslip._internal.proxy.caller_settings import CallerSettings
from bluebellslip._internal.proxy.domain_spill import DomainSpill
from bluebellslip._internal.proxy.egress import CallerHandler
from bluebellslip._internal.proxy.fatal_requests import FatalRequests
from bluebellslip._internal.proxy.forwarding import RequestForwarder
from bluebellslip._internal.proxy.ingress import PeerHandler
from bluebellslip._internal.proxy.life_checks import LifeChecker
from bluebellslip._internal.proxy.peer_queries import PeerQueries
from bluebellslip._internal.proxy.request_keys import RequestKeys
from bluebellslip._internal.proxy.response_sizes import ResponseSizes
from bluebellslip._internal.proxy.retry_budgets import RetryBudgets
from bluebellslip._internal.proxy.running_requests import RunningRequests
from bluebellslip._internal.proxy.server_ends import ServerEndMonitor
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from bluebellslip._internal.proxy.server_selection import ServerSelector
from bluebellslip._internal.proxy.withdrawals import (
    WITHDRAWAL_QUERY,
    OpenAttempts,
    WithdrawalHandler,
)
from bluebellslip._internal.rollouts.outcome_recorder import (
    VersionOutcomeRecorder,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip._internal.rollouts.version_selector import VersionSelector


@dataclasses.dataclass(frozen=True, slots=True)
class MeshState:
    """The state of the mesh as known to a node."""

    locality: Locality
    holder: ConfigHolder
    news: ConfigNews
    freshness: ConfigFreshness
    peer_table: PeerTable
    silence_prober: SilenceProber
    server: LocalServer
    beacon_source: BeaconSource
    beacon_protocol: BeaconProtocol
    rollout_tracker: RolloutTracker
    store_health: StoreHealth
    watcher_selection: WatcherSelection
    retry_budgets: RetryBudgets
    fatal_requests: FatalRequests
    key_lease: KeyLeaseParts
    evacuations: Evacuations
    quotas: QuotaService

    @classmethod
    def from_settings(
        cls, settings: MeshSettings, environment: NodeEnvironment
    ) -> Self:
        """Build the empty state of a node that is starting."""
        clock = environment.clock
        node = NodeId(settings.node)
        locality = Locality(settings.region, settings.failure_domain)
        peer_table = PeerTable(clock, node, settings.failure_domain)
        news = ConfigNews(clock)
        holder = ConfigHolder(environment.random, news)
        silence_prober = SilenceProber(is_responsive)
        peer_table.confirm_silence = silence_prober.start
        beacon_source = BeaconSource()
        store_health = StoreHealth()
        beacon_protocol = BeaconProtocol(
            node,
            locality,
            Address.from_text(settings.listen.peers),
            Address.from_text(settings.listen.beacons),
            peer_table,
            beacon_source,
            environment.random,
            environment.counters,
        )
        return cls(
            locality=locality,
            holder=holder,
            news=news,
            freshness=ConfigFreshness(
                holder,
                news,
                lambda: peer_table.newest_revision,
                dt.timedelta(seconds=settings.bounds.config_apply),
            ),
            peer_table=peer_table,
            silence_prober=silence_prober,
            server=LocalServer(
                clock,
                ServiceName(settings.service),
                Address.from_text(settings.server),
                settings.heartbeat_period,
                may_have_run=not settings.first_start,
            ),
            beacon_source=beacon_source,
            beacon_protocol=beacon_protocol,
            rollout_tracker=RolloutTracker(
                clock,
                node,
                beacon_protocol.life.token,
                settings.bounds.canary_share,
                peer_table.endpoints,
                settings.bounds.canary_slack,
            ),
            store_health=store_health,
            watcher_selection=WatcherSelection(peer_table, store_health),
            retry_budgets=RetryBudgets(
                clock,
                settings.bounds,
                lambda: peer_table.deployment_size,
                may_have_run=not settings.first_start,
            ),
            fatal_requests=_connect_fatal_requests(
                FatalRequests(clock, environment.counters),
                beacon_source,
                beacon_protocol,
            ),
            key_lease=KeyLeaseParts.from_bounds(
                settings.bounds,
                environment,
                holder,
                peer_table,
                beacon_source,
                beacon_protocol,
            ),
            evacuations=Evacuations(clock, environment.counters),
            quotas=connect_quotas(
                settings,
                environment,
                peer_table,
                holder,
                beacon_source,
                beacon_protocol,
            ),
        )

    def read_config_lag(self) -> dt.timedelta:
        """Return how long a newer configuration than the active is known."""
        return self.freshness.lag or dt.timedelta()

    def watches_store(self) -> bool:
        """Return whether this node itself gets updates from the store."""
        return (
            not self.store_health.last_request_failed
            and self.watcher_selection.should_watch_store
        )


def _connect_fatal_requests(
    fatal_requests: FatalRequests,
    beacon_source: BeaconSource,
    beacon_protocol: BeaconProtocol,
) -> FatalRequests:
    """Exchange by beacons what the nodes know of fatal requests."""
    beacon_source.read_fatal_requests = fatal_requests.make_reports
    fatal_requests.on_change(beacon_protocol.request_broadcast)
    beacon_protocol.on_beacon(
        lambda beacon: fatal_requests.merge(beacon.fatal_requests)
    )
    return fatal_requests


@dataclasses.dataclass(frozen=True, slots=True)
class DataPlane:
    """The components that requests pass through."""

    gateway: ServerGateway
    life_checker: LifeChecker
    server_publisher: LocalServerPublisher
    server_selector: ServerSelector
    callers: CallerHandler
    peers: PeerHandler
    body_transfers: BodyTransferLimiter
    body_pacer: BodyPacer
    open_attempts: OpenAttempts
    peer_config: PeerConfigSync

    @classmethod
    def from_state(
        cls,
        settings: MeshSettings,
        adapter: Adapter,
        environment: NodeEnvironment,
        state: MeshState,
    ) -> Self:
        """Build the components that requests pass through."""
        clock = environment.clock
        peer_pool = ConnectionPool(environment.counters)
        version_selector = VersionSelector(state.rollout_tracker)
        outcome_recorder = VersionOutcomeRecorder(state.rollout_tracker)
        body_transfers = BodyTransferLimiter(settings.link_mbps)
        body_pacer = BodyPacer(settings.link_mbps)
        gateway = ServerGateway(
            clock,
            state.server,
            ConnectionPool(environment.counters),
            adapter.metadata_headers,
            version_selector,
            outcome_recorder,
            RunningRequests(clock, state.retry_budgets),
            ServerEndMonitor(state.fatal_requests),
        )
        state.evacuations.guard(settings.failure_domain, gateway)
        pace_cold_server(
            settings,
            state.server,
            state.holder,
            state.evacuations,
            gateway,
            environment.counters,
        )
        server_selector = ServerSelector(
            clock,
            environment.random,
            state.locality,
            settings.crossing_cost,
            DomainSpill(clock, settings.failure_domain)
            if settings.spill
            else None,
        )
        peer_config = PeerConfigSync(
            state.holder,
            state.peer_table,
            peer_pool,
            adapter.decode_config,
            state.news,
            dt.timedelta(seconds=settings.bounds.config_apply),
            environment.random,
            state.watches_store,
        )
        state.beacon_protocol.on_beacon(peer_config.note_beacon)
        open_attempts = OpenAttempts(peer_pool)
        return cls(
            gateway=gateway,
            life_checker=make_life_checker(
                settings,
                adapter,
                environment,
                state.server,
                gateway.pool,
                state.holder,
            ),
            server_publisher=LocalServerPublisher(
                clock,
                NodeId(settings.node),
                state.locality,
                state.server,
                gateway,
                state.peer_table,
            ),
            server_selector=server_selector,
            callers=CallerHandler(
                CallerSettings(
                    ServiceName(settings.service),
                    adapter.metadata_headers,
                ),
                RoutingContext(
                    clock=clock,
                    peer_table=state.peer_table,
                    server_selector=server_selector,
                    forwarder=RequestForwarder(
                        clock,
                        peer_pool,
                        gateway,
                        state.peer_table,
                        open_attempts,
                        body_pacer,
                    ),
                    versions=version_selector,
                    sizes=ResponseSizes(),
                    budgets=state.retry_budgets,
                    fatal_requests=state.fatal_requests,
                    evacuations=state.evacuations,
                    quotas=state.quotas,
                ),
                state.freshness,
                environment.random,
                environment.counters,
                gateway.running,
                OutgoingRequestCounter(state.server, outcome_recorder),
                _make_request_keys(adapter, state),
            ),
            peers=PeerHandler(
                gateway,
                adapter.metadata_headers,
                state.key_lease.register(
                    _make_peer_queries(peer_config, gateway)
                ),
                body_transfers,
                _make_request_keys(adapter, state).strip,
            ),
            body_transfers=body_transfers,
            body_pacer=body_pacer,
            open_attempts=open_attempts,
            peer_config=peer_config,
        )


def _make_request_keys(adapter: Adapter, state: MeshState) -> RequestKeys:
    return RequestKeys(
        state.freshness, adapter.metadata_headers, state.key_lease.keeper
    )


def _make_peer_queries(
    peer_config: PeerConfigSync, gateway: ServerGateway
) -> PeerQueries:
    queries = PeerQueries()
    queries.register(CONFIG_QUERY, peer_config.handle_query)
    withdrawal_handler = WithdrawalHandler(gateway.waits)
    queries.register(WITHDRAWAL_QUERY, withdrawal_handler.handle)
    return queries


class OutgoingRequestCounter:
    """Counts outgoing requests of the local server during a roll-out.

    Parameters
    ----------
    server
        State of the local server.
    outcome_recorder
        Records the outcomes of requests.
    """

    def __init__(
        self, server: LocalServer, outcome_recorder: VersionOutcomeRecorder
    ) -> None:
        self._server = server
        self._outcome_recorder = outcome_recorder

    def __call__(self, failed: bool) -> None:
        """Count a request; ``failed`` means that no server responded to it."""
        info = self._server.info
        if info is not None:
            self._outcome_recorder.record_outgoing(
                info.service, info.version, failed=failed
            )


def get_grace_period(settings: MeshSettings) -> dt.timedelta:
    """Return how long a node may take to stop."""
    return dt.timedelta(seconds=settings.bounds.grace)
