"""Beacons of nodes in several failure domains, over a simulated network.

Beacons to large remote domains are sent to one node there, which relays them.
The tests guard against nodes that stay unknown or are taken for silent when a
relay fails or a datagram is lost, and against traffic between domains that
grows with the square of the number of nodes.
"""

import datetime as dt
from collections.abc import Iterator
from random import Random

from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.peer_table import (
    MAX_REMOTE_PEERS_PER_ROUND,
    RELAYED_TIMEOUT_FACTOR,
    SILENCE_TIMEOUT,
    PeerTable,
)
from bluebellslip._internal.fleet.recipients import MAX_DIRECT_PEERS_PER_DOMAIN
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import Address, Locality, NodeId

_PORT = 7620
_DOMAINS = 'abcd'
_ROUND_INTERVAL = dt.timedelta(milliseconds=800)
# Rounds within which every node must know all others.
_DISCOVERY_ROUNDS = 4


class SimulatedTransport:
    """Transport through which one node sends its datagrams."""

    def __init__(self, network: 'SimulatedNetwork', node: str) -> None:
        self._network = network
        self._node = node

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        self._network.deliver(self._node, datagram, address[0])


class SimulatedNetwork:
    """Delivers datagrams between nodes, and counts bytes between domains.

    The name of a node is also the host of its addresses, and its first letter
    is the node's failure domain.
    """

    def __init__(self, per_domain: int, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.unreachable: set[str] = set()
        self.loss_rate: float = 0
        self.cross_domain_bytes = 0
        self.peer_tables: dict[str, PeerTable] = {}
        self.nodes: dict[str, BeaconProtocol] = {}
        self._round_number = 0
        for domain in _DOMAINS:
            for number in range(per_domain):
                self.add(f'{domain}-{number}')

    def add(self, name: str) -> None:
        peer_table = PeerTable(self.clock, NodeId(name), name[0])
        beacon_protocol = BeaconProtocol(
            NodeId(name),
            Locality('north', name[0]),
            Address(name, 8300),
            Address(name, _PORT),
            peer_table,
            BeaconSource(),
            Random(name),
            InMemoryCounters(),
        )
        beacon_protocol.connect(SimulatedTransport(self, name))
        self.peer_tables[name] = peer_table
        self.nodes[name] = beacon_protocol
        beacon_protocol.add_registered(tuple(self._list_registrations()))

    def deliver(self, sender: str, datagram: bytes, receiver: str) -> None:
        if sender in self.unreachable:
            return
        if sender[0] != receiver[0]:
            self.cross_domain_bytes += len(datagram)
        if (
            receiver in self.unreachable
            or self.random.random() < self.loss_rate
        ):
            return
        self.nodes[receiver].receive(datagram)

    def run_rounds(self, rounds: int, *, has_update: bool = False) -> None:
        for _ in range(rounds):
            for name in self.random.sample(sorted(self.nodes), len(self.nodes)):
                self.nodes[name].broadcast(
                    self._round_number, has_update=has_update
                )
            self._round_number += 1
            self.clock.advance(_ROUND_INTERVAL)
            for peer_table in self.peer_tables.values():
                peer_table.expire()

    def count_live_peers(self, name: str) -> int:
        return self.peer_tables[name].count_alive()

    def _list_registrations(self) -> Iterator[NodeRegistration]:
        for name in self.nodes:
            yield NodeRegistration(NodeId(name), Address(name, _PORT), name[0])


def test_all_nodes_of_a_large_mesh_discover_each_other() -> None:
    network = SimulatedNetwork(18)
    network.run_rounds(_DISCOVERY_ROUNDS)
    known = {network.count_live_peers(name) for name in network.nodes}
    assert known == {4 * 18 - 1}


def test_bytes_between_domains_grow_linearly_with_the_nodes() -> None:
    cross_domain_bytes = {}
    for per_domain in (10, 20):
        network = SimulatedNetwork(per_domain)
        network.run_rounds(_DISCOVERY_ROUNDS)
        network.cross_domain_bytes = 0
        network.run_rounds(10)
        cross_domain_bytes[per_domain] = network.cross_domain_bytes
    assert cross_domain_bytes[20] <= 2.2 * cross_domain_bytes[10]


def test_beacons_to_small_domains_are_sent_directly() -> None:
    network = SimulatedNetwork(MAX_DIRECT_PEERS_PER_DOMAIN)
    network.run_rounds(_DISCOVERY_ROUNDS)
    for peer_table in network.peer_tables.values():
        assert {peer.silence_timeout for peer in peer_table.peers} == {
            SILENCE_TIMEOUT
        }


def test_simultaneous_failures_do_not_hide_live_nodes() -> None:
    network = SimulatedNetwork(18)
    network.run_rounds(_DISCOVERY_ROUNDS)
    network.unreachable = {
        f'{domain}-{each}' for domain in _DOMAINS for each in range(9)
    }
    network.run_rounds(8)
    for name in sorted(set(network.nodes) - network.unreachable):
        assert network.count_live_peers(name) == 4 * 9 - 1


def test_a_partitioned_domain_is_rediscovered() -> None:
    network = SimulatedNetwork(10)
    network.run_rounds(_DISCOVERY_ROUNDS)
    network.unreachable = {f'a-{number}' for number in range(10)}
    network.run_rounds(12)
    assert network.count_live_peers('b-0') == 29
    network.unreachable = set()
    network.run_rounds(_DISCOVERY_ROUNDS)
    assert {network.count_live_peers(name) for name in network.nodes} == {39}


def test_a_new_node_is_known_everywhere_within_two_rounds() -> None:
    network = SimulatedNetwork(18)
    network.run_rounds(_DISCOVERY_ROUNDS)
    network.add('b-new')
    network.run_rounds(2)
    assert network.count_live_peers('b-new') == 4 * 18
    assert network.count_live_peers('d-3') == 4 * 18


def test_lost_datagrams_rarely_make_a_node_silent() -> None:
    network = SimulatedNetwork(18)
    network.run_rounds(_DISCOVERY_ROUNDS)
    network.loss_rate = 0.025
    missing = 0
    for _ in range(20):
        network.run_rounds(1)
        missing += sum(
            4 * 18 - 1 - network.count_live_peers(name)
            for name in network.nodes
        )
    # The probability that two successive beacons of a neighbour are both lost
    # is 1 in 1,600.
    assert missing < 20 * 72 * 71 / 1000


def test_a_relayed_beacon_has_a_longer_silence_timeout() -> None:
    network = SimulatedNetwork(18)
    network.run_rounds(_DISCOVERY_ROUNDS)
    remote_timeouts = {
        peer.silence_timeout
        for peer in network.peer_tables['a-0'].peers
        if peer.failure_domain != 'a'
    }
    # With this number of nodes, beacons are relayed in every round.
    assert MAX_REMOTE_PEERS_PER_ROUND >= 4 * 18
    assert remote_timeouts == {SILENCE_TIMEOUT * RELAYED_TIMEOUT_FACTOR}
