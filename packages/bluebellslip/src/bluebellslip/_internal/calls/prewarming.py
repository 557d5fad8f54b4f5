"""Opens connections in advance and drops state of removed servers."""

from collections import defaultdict
from contextlib import suppress
from typing import Final

from bluebellslip._internal.calls.balancer import Balancer
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.models.identity import NodeId, ServiceName

MAX_WARMED_PER_ROUND: Final = 64  # servers


class ConnectionWarmer:
    """Keeps connections open to servers of the services that this node calls.

    Parameters
    ----------
    context
        The node's shared state.
    pool
        Connections to other nodes.
    balancer
        Load balancer, whose records of removed servers are dropped.
    """

    def __init__(
        self, context: Context, pool: ConnectionPool, balancer: Balancer
    ) -> None:
        self._context = context
        self._pool = pool
        self._balancer = balancer
        self._known: dict[ServiceName, dict[NodeId, Endpoint]] = defaultdict(
            dict
        )
        context.directory.subscribe(self._on_endpoints_change)

    async def warm_up(self, services: set[ServiceName]) -> None:
        """Open connections to the services' servers in the node's region."""
        same_region = [
            endpoint
            for service in services
            for endpoint in self._context.directory.endpoints(service)
            if endpoint.locality.region == self._context.locality.region
        ]
        for endpoint in same_region[:MAX_WARMED_PER_ROUND]:
            with suppress(BluebellError):
                await self._pool.warm(endpoint.ingress)

    def _on_endpoints_change(self, service: ServiceName) -> None:
        current = {
            endpoint.node: endpoint
            for endpoint in self._context.directory.endpoints(service)
        }
        previous = self._known[service]
        self._known[service] = current
        for node, endpoint in previous.items():
            if node not in current:
                self._balancer.forget(node)
                self._pool.forget(endpoint.ingress)
