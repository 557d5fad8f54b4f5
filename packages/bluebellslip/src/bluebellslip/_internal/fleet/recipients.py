"""Selects the recipients of a node's beacons.

If every node sent its beacons to all others, the traffic between failure
domains would grow with the square of the number of nodes, which is too much
for several dozen nodes. A beacon is therefore sent to one random node of each
large remote domain, which relays it to the other nodes there.
"""

from collections.abc import Iterable, Sequence
from random import Random
from typing import Final

from bluebellslip._internal.fleet.peer_table import Peer, PeerTable

# Interval, in rounds, between beacons to a peer that has never sent one.
NEW_PEER_INTERVAL_ROUNDS: Final = 4
# Remote failure domains with at most this many peers get each beacon directly:
# relaying would save too little to make up for the losses on a second hop.
MAX_DIRECT_PEERS_PER_DOMAIN: Final = 6
# Relays per domain for a beacon with an update, so that a single failed relay
# does not delay it.
UPDATE_RELAYS_PER_DOMAIN: Final = 2


class BeaconRecipients:
    """Selects the recipients of a node's beacons.

    Parameters
    ----------
    peer_table
        The other nodes.
    random_source
        Chooses the relays.
    """

    def __init__(self, peer_table: PeerTable, random_source: Random) -> None:
        self._peer_table = peer_table
        self._random = random_source

    def list_direct(self, round_number: int) -> list[Peer]:
        """Return the peers to which a round's beacon is sent directly."""
        includes_new = round_number % NEW_PEER_INTERVAL_ROUNDS == 0
        return [
            peer
            for peer in self._list_direct_peers()
            if includes_new or peer.last_beacon_at is not None
        ]

    def list_neighbours(self) -> list[Peer]:
        """Return the peers in this node's failure domain that sent beacons."""
        return [
            peer
            for peer in self._peer_table.peers
            if peer.last_beacon_at is not None
            and not self._peer_table.is_remote(peer)
        ]

    def select_direct(self, peers: Iterable[Peer]) -> list[Peer]:
        """Return those of the given peers that are sent beacons directly."""
        direct = self._list_direct_peers()
        return [peer for peer in peers if peer in direct]

    def choose_relays(
        self, round_number: int, *, has_update: bool
    ) -> list[Peer]:
        """Return the peers that relay a round's beacon in their domains.

        In a large mesh, a beacon without an update is relayed only in some
        rounds; see ``PeerTable.remote_beacon_rounds``.
        """
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
        """Return random live peers of a domain, or any if none is alive."""
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
