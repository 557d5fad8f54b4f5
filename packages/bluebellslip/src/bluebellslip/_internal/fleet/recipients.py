"""Who gets a node's beacons: directly, or through one node of a domain.

Answers fleets of some dozens of nodes: were all beacons sent to all nodes, the
bytes between failure domains would grow with the square of the nodes. So a
beacon goes to one node of each large domain, another one each time, which
passes it on to its neighbours.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from bluebellslip._internal.fleet.peer_table import Peer, PeerTable

# Nodes that were never heard of get every fourth beacon only.
UNHEARD_PEER_INTERVAL_ROUNDS: Final = 4
# Nodes of another failure domain up to which all get each beacon directly:
# with so few, passing on saves less than a second hop costs in losses.
MAX_DIRECT_PEERS_PER_DOMAIN: Final = 6
# Nodes of a domain that pass a beacon on when it has news, so that one that is
# gone does not hold the news up.
UPDATE_RELAYS_PER_DOMAIN: Final = 2


class BeaconRecipients:
    """Chooses the receivers of a node's beacons.

    Parameters
    ----------
    roster
        The other nodes.
    random_source
        Chooses who passes a beacon on.
    """

    def __init__(self, peer_table: PeerTable, random_source: Random) -> None:
        self._peer_table = peer_table
        self._random = random_source

    def list_direct(self, round_number: int) -> list[Peer]:
        """Return the peers that get the beacon of a turn themselves."""
        includes_unheard = round_number % UNHEARD_PEER_INTERVAL_ROUNDS == 0
        return [
            peer
            for peer in self._list_direct_peers()
            if includes_unheard or peer.last_beacon_at is not None
        ]

    def list_neighbours(self) -> list[Peer]:
        """Return the peers of the own failure domain that were heard of."""
        return [
            peer
            for peer in self._peer_table.peers
            if peer.last_beacon_at is not None
            and not self._peer_table.is_remote(peer)
        ]

    def select_direct(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return which of some new peers are greeted themselves."""
        direct = self._list_direct_peers()
        return [peer for peer in peers if peer in direct]

    def choose_relays(
        self, round_number: int, *, has_update: bool
    ) -> list[Peer]:
        """Return the peers that pass the beacon of a turn on."""
        if (
            not has_update
            and round_number % self._peer_table.remote_beacon_rounds
        ):
            return []
        count = UPDATE_RELAYS_PER_DOMAIN if has_update else 1
        return [
            peer
            for group in self._peer_table.group_remote().values()
            if len(group) > MAX_DIRECT_PEERS_PER_DOMAIN
            for peer in self._sample_alive(group, count)
        ]

    def _sample_alive(self, group: Sequence[Peer], count: int) -> list[Peer]:
        """Return some peers of a domain, living ones as long as there are."""
        candidates = self._peer_table.select_alive(group) or group
        return self._random.sample(candidates, min(count, len(candidates)))

    def _list_direct_peers(self) -> list[Peer]:
        large_domains = {
            domain
            for domain, group in self._peer_table.group_remote().items()
            if len(group) > MAX_DIRECT_PEERS_PER_DOMAIN
        }
        return [
            peer
            for peer in self._peer_table.peers
            if peer.failure_domain not in large_domains
        ]
