"""Which nodes follow the store, so that not all of them ask it.

Answers fleets of some dozens of nodes, where every node with a question of its
own would make most of the store's calls for news that its neighbours have,
too. The first few living nodes of each failure domain, by name, that hear the
store follow it; the others learn of news by beacons and step in when one of
those falls silent or loses the store.
"""

from typing import Final

from bluebellslip._internal.control.health import StoreHealth
from bluebellslip._internal.fleet.roster import Roster

# Nodes of a failure domain that follow the store: when one is gone, the other
# has the news until a third one notices.
FOLLOWERS: Final = 2


class WatchDuty:
    """Tells whether this node is among those that follow the store.

    Parameters
    ----------
    roster
        The other nodes.
    health
        Whether the store answers this node.
    """

    def __init__(self, roster: Roster, health: StoreHealth) -> None:
        self._roster = roster
        self._health = health

    @property
    def is_ours(self) -> bool:
        """Whether this node has to follow the store."""
        if not self._health.is_heard:
            return True
        return self._roster.count_following_before() < FOLLOWERS
