"""Builds the listeners of a node."""

from bluebellslip._internal.calls.memory_budget import MemoryBudget
from bluebellslip._internal.calls.resident_memory import ProcessMonitor
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.nodes.environment import (
    Adapter,
    NodeEnvironment,
    NodeInterface,
)
from bluebellslip._internal.nodes.listeners import (
    Handlers,
    ListenerSet,
    MetricsHandler,
)
from bluebellslip._internal.nodes.mesh_components import DataPlane
from bluebellslip._internal.proxy.trace import UnansweredRequestRecorder


def make_listeners(
    settings: MeshSettings,
    adapter: Adapter,
    environment: NodeEnvironment,
    data_plane: DataPlane,
    node: NodeInterface,
) -> ListenerSet:
    """Build the listeners of a node."""
    handlers = Handlers(
        callers=data_plane.callers,
        peers=data_plane.peers,
        health=adapter.make_health_handler(node),
        servers=adapter.make_server_handler(node),
        metrics=MetricsHandler(environment.read_metrics),
        record_unanswered=UnansweredRequestRecorder(
            adapter.metadata_headers, environment.counters
        ),
        refuse_late=data_plane.callers.refuse,
    )
    counters = environment.counters
    memory = MemoryBudget.from_memory(
        settings.memory_mb,
        counters,
        lambda size: ProcessMonitor.from_system(size, environment.clock),
    )
    return ListenerSet(
        settings.listen, handlers, counters, memory, settings.max_descriptors
    )
