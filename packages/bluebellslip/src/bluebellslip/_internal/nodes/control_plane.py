"""The components of a mesh node that read and write the store."""

import dataclasses
from typing import Self

from bluebellslip._internal.control.desired_state import DesiredStateWatcher
from bluebellslip._internal.control.discovery import PeerDiscovery
from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.environment import Adapter, NodeEnvironment
from bluebellslip._internal.nodes.mesh_components import MeshState
from bluebellslip._internal.nodes.update_dispatcher import UpdateDispatcher
from bluebellslip._internal.rollouts.coordinator import RolloutCoordinator


@dataclasses.dataclass(frozen=True, slots=True)
class ControlPlane:
    """The components that read and write the platform's store."""

    watcher: DesiredStateWatcher
    discovery: PeerDiscovery
    coordinator: RolloutCoordinator
    update_dispatcher: UpdateDispatcher

    @classmethod
    def from_state(
        cls,
        settings: MeshSettings,
        adapter: Adapter,
        environment: NodeEnvironment,
        state: MeshState,
    ) -> Self:
        """Build the components that read and write the store."""
        random = environment.random
        update_dispatcher = UpdateDispatcher(
            environment.clock,
            state.holder,
            state.news,
            state.rollout_tracker,
            state.beacon_protocol,
            state.watches_store,
            state.evacuations,
        )
        watcher = DesiredStateWatcher(
            state.key_lease.observe(adapter.store),
            random,
            state.store_health,
            lambda: state.watcher_selection.should_watch_store,
            update_dispatcher.apply_desired_state,
        )
        update_dispatcher.attach_watcher(watcher)
        discovery = PeerDiscovery(
            adapter.store,
            NodeRegistration(
                NodeId(settings.node),
                Address.from_text(settings.listen.beacons),
                settings.failure_domain,
            ),
            random,
            state.beacon_protocol.add_registered,
            state.peer_table.has_no_live_peers,
            lambda: state.watcher_selection.should_watch_store,
            state.peer_table.departures.apply_record,
        )
        state.server.on_departure(discovery.record_departure)
        state.quotas.nodes.has_read_nodes = lambda: discovery.has_read_nodes
        adapter.store.on_restore(state.rollout_tracker.apply_restore)
        adapter.store.on_restore(discovery.apply_restore)
        adapter.store.on_restore(
            lambda era: state.beacon_protocol.request_broadcast()
        )
        state.beacon_source.read_store_era = lambda: adapter.store.era
        state.beacon_protocol.on_beacon(
            lambda beacon: discovery.apply_peer_era(beacon.store_era)
        )
        return cls(
            watcher=watcher,
            discovery=discovery,
            coordinator=RolloutCoordinator(
                environment.clock,
                state.rollout_tracker,
                adapter.store,
                state.peer_table.find_rank,
                state.beacon_protocol.request_broadcast,
                watcher.restart_watch,
            ),
            update_dispatcher=update_dispatcher,
        )
