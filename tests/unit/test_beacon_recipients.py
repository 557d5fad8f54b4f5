"""Beacons of a fleet in several failure domains, over a simulated network."""

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
_PERIOD = dt.timedelta(milliseconds=800)
# Rounds within which every node is to have heard of every other one.
_ROUNDS_TO_MEET = 4


class Wire:
    """Carries the datagrams of one node."""

    def __init__(self, network: 'Network', node: str) -> None:
        self._network = network
        self._node = node

    def sendto(self, datagram: bytes, address: tuple[str, int]) -> None:
        self._network.carry(self._node, datagram, address[0])


class Network:
    """Nodes by address, which is their name; counts bytes between domains."""

    def __init__(self, per_domain: int, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.lost: set[str] = set()
        self.loss: float = 0
        self.crossed = 0
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
        beacon_protocol.connection_made(Wire(self, name))  # type: ignore[arg-type]
        self.peer_tables[name] = peer_table
        self.nodes[name] = beacon_protocol
        beacon_protocol.add_registered(tuple(self._list_entries()))

    def carry(self, sender: str, datagram: bytes, receiver: str) -> None:
        if sender in self.lost:
            return
        if sender[0] != receiver[0]:
            self.crossed += len(datagram)
        if receiver in self.lost or self.random.random() < self.loss:
            return
        self.nodes[receiver].datagram_received(datagram, (sender, _PORT))

    def play(self, rounds: int, *, has_update: bool = False) -> None:
        for _ in range(rounds):
            for name in self.random.sample(sorted(self.nodes), len(self.nodes)):
                self.nodes[name].broadcast(
                    self._round_number, has_update=has_update
                )
            self._round_number += 1
            self.clock.advance(_PERIOD)
            for peer_table in self.peer_tables.values():
                peer_table.expire()

    def count_known(self, name: str) -> int:
        return self.peer_tables[name].count_alive()

    def _list_entries(self) -> Iterator[NodeRegistration]:
        for name in self.nodes:
            yield NodeRegistration(NodeId(name), Address(name, _PORT), name[0])


def test_all_nodes_of_a_large_fleet_hear_of_each_other() -> None:
    network = Network(18)
    network.play(_ROUNDS_TO_MEET)
    known = {network.count_known(name) for name in network.nodes}
    assert known == {4 * 18 - 1}


def test_bytes_between_domains_grow_with_the_nodes() -> None:
    crossed = {}
    for per_domain in (10, 20):
        network = Network(per_domain)
        network.play(_ROUNDS_TO_MEET)
        network.crossed = 0
        network.play(10)
        crossed[per_domain] = network.crossed
    assert crossed[20] <= 2.2 * crossed[10]


def test_small_domains_are_told_directly() -> None:
    network = Network(MAX_DIRECT_PEERS_PER_DOMAIN)
    network.play(_ROUNDS_TO_MEET)
    for peer_table in network.peer_tables.values():
        assert {peer.silence_timeout for peer in peer_table.peers} == {
            SILENCE_TIMEOUT
        }


def test_nodes_that_died_at_once_do_not_hide_the_living() -> None:
    network = Network(18)
    network.play(_ROUNDS_TO_MEET)
    network.lost = {
        f'{domain}-{each}' for domain in _DOMAINS for each in range(9)
    }
    network.play(8)
    for name in sorted(set(network.nodes) - network.lost):
        assert network.count_known(name) == 4 * 9 - 1


def test_a_domain_that_was_cut_off_is_found_again() -> None:
    network = Network(10)
    network.play(_ROUNDS_TO_MEET)
    network.lost = {f'a-{number}' for number in range(10)}
    network.play(12)
    assert network.count_known('b-0') == 29
    network.lost = set()
    network.play(_ROUNDS_TO_MEET)
    assert {network.count_known(name) for name in network.nodes} == {39}


def test_a_newcomer_is_known_everywhere_within_seconds() -> None:
    network = Network(18)
    network.play(_ROUNDS_TO_MEET)
    network.add('b-new')
    network.play(2)
    assert network.count_known('b-new') == 4 * 18
    assert network.count_known('d-3') == 4 * 18


def test_lost_datagrams_make_no_node_silent() -> None:
    network = Network(18)
    network.play(_ROUNDS_TO_MEET)
    network.loss = 0.025
    silent = 0
    for _ in range(20):
        network.play(1)
        silent += sum(
            4 * 18 - 1 - network.count_known(name) for name in network.nodes
        )
    # Two beacons of a neighbour in a row are lost once in 1,600 times.
    assert silent < 20 * 72 * 71 / 1000


def test_a_passed_on_beacon_lasts_longer() -> None:
    network = Network(18)
    network.play(_ROUNDS_TO_MEET)
    far = {
        peer.silence_timeout
        for peer in network.peer_tables['a-0'].peers
        if peer.failure_domain != 'a'
    }
    assert MAX_REMOTE_PEERS_PER_ROUND >= 4 * 18
    assert far == {SILENCE_TIMEOUT * RELAYED_TIMEOUT_FACTOR}
