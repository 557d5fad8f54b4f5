"""Which nodes follow the store, so that not all of them ask it.

Answers fleets of some dozens of nodes, where every node with a question of its
own would make most of the store's calls for news that its neighbours have,
too. The first few living nodes of each failure domain, by name, that hear the
store follow it; the others learn of news by beacons and step in when one of
those falls silent or loses the store.
"""

from typing import Final

from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.fleet.peer_table import PeerTable

# Nodes of a failure domain that follow the store: when one is gone, the other
# has the news until a third one notices.
WATCHERS_PER_DOMAIN: Final = 2


class WatcherSelection:
    """Tells whether this node is among those that follow the store.

    Parameters
    ----------
    roster
        The other nodes.
    health
        Whether the store answers this node.
    """

    def __init__(self, peer_table: PeerTable, health: StoreHealth) -> None:
        self._peer_table = peer_table
        self._health = health

    @property
    def should_watch_store(self) -> bool:
        """Whether this node has to follow the store."""
        if not self._health.last_call_succeeded:
            return True
        return self._peer_table.count_watchers_before() < WATCHERS_PER_DOMAIN
