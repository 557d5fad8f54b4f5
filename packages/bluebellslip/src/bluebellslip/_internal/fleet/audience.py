"""Who gets a node's beacons: directly, or through one node of a domain.

Answers fleets of some dozens of nodes: were all beacons sent to all nodes, the
bytes between failure domains would grow with the square of the nodes. So a
beacon goes to one node of each large domain, another one each time, which
passes it on to its neighbours.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from bluebellslip._internal.fleet.roster import Peer, Roster

# Nodes that were never heard of get every fourth beacon only.
SILENT_EVERY: Final = 4
# Nodes of another failure domain up to which all get each beacon directly:
# with so few, passing on saves less than a second hop costs in losses.
DIRECT_IN_DOMAIN: Final = 6
# Nodes of a domain that pass a beacon on when it has news, so that one that is
# gone does not hold the news up.
NEWS_RELAYS: Final = 2


class Audience:
    """Chooses the receivers of a node's beacons.

    Parameters
    ----------
    roster
        The other nodes.
    random_source
        Chooses who passes a beacon on.
    """

    def __init__(self, roster: Roster, random_source: Random) -> None:
        self._roster = roster
        self._random = random_source

    def list_direct(self, turn: int) -> list[Peer]:
        """Return the peers that get the beacon of a turn themselves."""
        is_for_all = turn % SILENT_EVERY == 0
        return [
            peer
            for peer in self._list_greetable()
            if is_for_all or peer.heard_at is not None
        ]

    def list_neighbours(self) -> list[Peer]:
        """Return the peers of the own failure domain that were heard of."""
        return [
            peer
            for peer in self._roster.peers
            if peer.heard_at is not None and not self._roster.is_far(peer)
        ]

    def list_greeted(self, found: Iterable[Peer]) -> list[Peer]:
        """Return which of some new peers are greeted themselves."""
        greetable = self._list_greetable()
        return [peer for peer in found if peer in greetable]

    def choose_relays(self, turn: int, *, is_news: bool) -> list[Peer]:
        """Return the peers that pass the beacon of a turn on."""
        if not is_news and turn % self._roster.far_turns:
            return []
        count = NEWS_RELAYS if is_news else 1
        return [
            peer
            for group in self._roster.group_far().values()
            if len(group) > DIRECT_IN_DOMAIN
            for peer in self._sample(group, count)
        ]

    def _sample(self, group: Sequence[Peer], count: int) -> list[Peer]:
        """Return some peers of a domain, living ones as long as there are."""
        living = self._roster.select_living(group) or group
        return self._random.sample(living, min(count, len(living)))

    def _list_greetable(self) -> list[Peer]:
        large = {
            domain
            for domain, group in self._roster.group_far().items()
            if len(group) > DIRECT_IN_DOMAIN
        }
        return [
            peer
            for peer in self._roster.peers
            if peer.failure_domain not in large
        ]
