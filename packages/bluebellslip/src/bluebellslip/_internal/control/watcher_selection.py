"""Selects the nodes that watch the store.

If several dozen nodes all watched the store, most of its responses would
repeat updates that a neighbour already has. In each failure domain, the live
nodes that can reach the store are therefore ordered by name, and only the
first WATCHERS_PER_DOMAIN of them watch it. The others learn of updates from
beacons, and take over when a watcher falls silent or can no longer reach the
store.
"""

from typing import Final

from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.fleet.peer_table import PeerTable

# When one of two watchers fails, the other keeps watching until a third node
# takes over.
WATCHERS_PER_DOMAIN: Final = 2


class WatcherSelection:
    """Decides whether this node watches the store.

    Parameters
    ----------
    peer_table
        The other nodes.
    health
        Whether the store responds to this node.
    """

    def __init__(self, peer_table: PeerTable, health: StoreHealth) -> None:
        self._peer_table = peer_table
        self._health = health

    @property
    def should_watch_store(self) -> bool:
        """Whether this node has to watch the store.

        A node that could not reach the store at its last attempt keeps trying.
        """
        if not self._health.last_request_succeeded:
            return True
        return self._peer_table.count_watchers_before() < WATCHERS_PER_DOMAIN
