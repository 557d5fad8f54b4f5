"""The nodes that share the quotas, as the peer table knows them."""

import datetime as dt
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.fleet.beacons import NodeState
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Address, NodeId

# The peer table forgets silent nodes after a minute. They may be cut off and
# use their shares, so they count for longer than any link outage lasts.
SIZE_RETENTION: Final = dt.timedelta(minutes=10)


class LiveNodes:
    """The size of the deployment, and the nodes that may own quotas.

    Parameters
    ----------
    clock
        The node's clock.
    node
        The node's own name.
    peer_table
        The other nodes.
    """

    def __init__(
        self, clock: Clock, node: NodeId, peer_table: PeerTable
    ) -> None:
        self._clock = clock
        self._node = node
        self._peer_table = peer_table
        self._largest = 1
        self._largest_before = 1
        self._period_ends_at = clock.elapsed() + SIZE_RETENTION
        # Set by the node's components.
        self.has_read_nodes: Callable[[], bool] = bool
        self.is_leaving: Callable[[], bool] = bool

    @property
    def size(self) -> int:
        """The largest number of nodes known in the last 10 minutes or more."""
        now = self._clock.elapsed()
        size = self._peer_table.deployment_size
        if now >= self._period_ends_at:
            self._largest_before = self._largest
            self._largest = size
            self._period_ends_at = now + SIZE_RETENTION
        self._largest = max(self._largest, size)
        return max(self._largest, self._largest_before)

    @property
    def is_size_known(self) -> bool:
        """Whether the size comes from another node or from the store."""
        return self.has_read_nodes() or not self._peer_table.has_no_live_peers()

    def list_candidates(self) -> list[str]:
        """Return the live nodes that aren't leaving."""
        table = self._peer_table
        names: list[str] = [
            peer.node
            for peer in table.select_alive(table.peers)
            if peer.last_beacon and peer.last_beacon.state is NodeState.SERVING
        ]
        if not self.is_leaving():
            names.append(self._node)
        return names

    def find_address(self, node: str) -> Address | None:
        """Return the address of another node; none if it isn't known."""
        peer = self._peer_table.find(NodeId(node))
        return None if peer is None else peer.beacon_address
