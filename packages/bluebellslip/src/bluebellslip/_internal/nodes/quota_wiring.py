"""Connects the quotas of accounts with the other components of a node."""

from bluebellslip._internal.accounts.quotas.live_nodes import LiveNodes
from bluebellslip._internal.accounts.quotas.messages import FIRST_BYTE
from bluebellslip._internal.accounts.quotas.quota_service import QuotaService
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.beacons import NodeState
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.environment import NodeEnvironment


def connect_quotas(
    settings: MeshSettings,
    environment: NodeEnvironment,
    peer_table: PeerTable,
    holder: ConfigHolder,
    beacon_source: BeaconSource,
    beacon_protocol: BeaconProtocol,
) -> QuotaService:
    """Return the quotas; they use the socket of the beacons."""
    node = NodeId(settings.node)
    nodes = LiveNodes(environment.clock, node, peer_table)
    nodes.is_leaving = lambda: beacon_source.state is NodeState.LEAVING
    quotas = QuotaService(
        environment.boot_clock,
        node,
        nodes,
        beacon_protocol.send,
        settings.bounds,
        environment.random,
        environment.counters,
    )
    beacon_protocol.on_datagram(FIRST_BYTE, quotas.receive)
    holder.on_change(
        lambda table: quotas.apply(
            table.config.revision, table.config.accounts or ()
        )
    )
    return quotas
