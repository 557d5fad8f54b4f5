"""Connects the checks of the local server's life to the node's components."""

from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.models.identity import Address, ServiceName
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.environment import Adapter, NodeEnvironment
from bluebellslip._internal.proxy.life_checks import LifeChecker


def make_life_checker(
    settings: MeshSettings,
    adapter: Adapter,
    environment: NodeEnvironment,
    server: LocalServer,
    pool: ConnectionPool,
    holder: ConfigHolder,
) -> LifeChecker:
    """Return the checks of the local server, by its service's configuration.

    Parameters
    ----------
    settings
        The node's settings.
    adapter
        Access to the platform.
    environment
        Clock and counters.
    server
        State of the server.
    pool
        Connections to the server.
    holder
        The active configuration.
    """
    checker = LifeChecker(
        environment.clock,
        server,
        Address.from_text(settings.server),
        pool,
        adapter.metadata_headers,
        environment.counters,
    )
    service = ServiceName(settings.service)
    holder.on_change(
        lambda table: checker.apply_rule(table.config.services.get(service))
    )
    return checker
