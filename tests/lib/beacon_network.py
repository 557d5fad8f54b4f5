"""Nodes that exchange beacons through an in-memory network."""

import dataclasses
from collections.abc import Callable
from random import Random

from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import Address, Locality, NodeId
from lib.fleet import ORDERS, make_server_beacon

_BEACON_PORT = 7620
_PEERS_PORT = 8300


class BeaconNode:
    """A node that sends and receives beacons; ``start`` begins a new life."""

    def __init__(self, network: 'BeaconNetwork', name: str, host: str) -> None:
        self.name = NodeId(name)
        self.address = Address(host, _BEACON_PORT)
        self.domain = 'a'
        self.source = BeaconSource()
        self._network = network
        self.start()

    @property
    def servers_heard(self) -> set[str]:
        """Names of the nodes whose servers accept requests."""
        return {endpoint.node for endpoint in self.table.endpoints(ORDERS)}

    @property
    def registration(self) -> NodeRegistration:
        """The node's row in the store."""
        return NodeRegistration(self.name, self.address, self.domain)

    def start(self) -> None:
        """Start the process, which knows nothing of before."""
        self.source = BeaconSource()
        server = make_server_beacon(f'i-{self.name}')
        self.source.read_server = lambda: server
        self.table = PeerTable(self._network.clock, self.name, self.domain)
        self.protocol = BeaconProtocol(
            self.name,
            Locality('north', self.domain),
            Address(self.address.host, _PEERS_PORT),
            self.address,
            self.table,
            self.source,
            Random(self._network.random.random()),
            InMemoryCounters(),
        )
        self.protocol.connect(_Transport(self._network.send))


class BeaconNetwork:
    """Delivers datagrams between nodes when a test asks for it."""

    def __init__(self, names: tuple[str, ...], seed: int = 1) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.in_flight: list[tuple[Address, bytes]] = []
        self.nodes = {
            name: BeaconNode(self, name, f'10.0.0.{index}')
            for index, name in enumerate(names, start=1)
        }
        self._by_address = {node.address: node for node in self.nodes.values()}

    def send(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Add a datagram to those in flight."""
        self.in_flight.append((Address(*to), datagram))

    def deliver(self, index: int = 0) -> None:
        """Deliver one of the datagrams in flight."""
        address, datagram = self.in_flight.pop(index)
        node = self._by_address[address]
        node.protocol.receive(datagram)

    def deliver_all(self, limit: int = 10_000) -> None:
        """Deliver datagrams until none is in flight."""
        for _ in range(limit):
            if not self.in_flight:
                return
            self.deliver()
        raise AssertionError('The nodes never stop sending.')

    def introduce_all(self) -> None:
        """Let every node hear of every other one."""
        for node in self.nodes.values():
            self.introduce(node)

    def introduce(self, node: BeaconNode) -> None:
        """Register the nodes with one of them, as read from the store."""
        node.protocol.add_registered(
            tuple(peer.registration for peer in self.nodes.values())
        )
        self.deliver_all()

    def broadcast(self) -> None:
        """Send one round of beacons from each node and deliver them."""
        for node in self.nodes.values():
            node.protocol.broadcast(0, has_update=False)
        self.deliver_all()


@dataclasses.dataclass(frozen=True)
class _Transport:
    """Passes on what a node sends."""

    send: Callable[[bytes, tuple[str, int]], None]

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        self.send(datagram, to)

    def close(self) -> None:
        """Do nothing: the network drops no datagrams."""
