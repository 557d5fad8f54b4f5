"""Connects the pacing of a cold local server to the node's components."""

from bluebellslip._internal.fleet.evacuations import Evacuations
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.proxy.cold_server import ColdServer
from bluebellslip._internal.proxy.cold_starts import ColdStart
from bluebellslip._internal.proxy.server_gateway import ServerGateway


def pace_cold_server(
    settings: MeshSettings,
    server: LocalServer,
    holder: ConfigHolder,
    evacuations: Evacuations,
    gateway: ServerGateway,
    counters: Counters,
) -> None:
    """Pace the requests to the local server while it is cold, or may be."""
    cold_server = ColdServer(
        ColdStart(gateway.clock, settings.bounds), server, counters
    )
    service = ServiceName(settings.service)
    holder.on_change(
        lambda table: cold_server.apply_rule(table.config.services.get(service))
    )
    evacuations.on_change(
        lambda: cold_server.apply_evacuation(
            is_evacuated=settings.failure_domain in evacuations.active
        )
    )
    gateway.pace(cold_server)
