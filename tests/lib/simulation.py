"""Nodes in one process, on a network that loses and reorders messages."""

import asyncio
import dataclasses
import datetime as dt
from collections.abc import Callable
from random import Random

import anyio
import msgspec

from bluebellslip._internal.distribution.plugin import DistributionPlugin
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    ObjectStore,
    PeerLink,
    TableService,
)
from bluebellslip._internal.membership.plugin import MembershipPlugin
from bluebellslip._internal.models.facts import MemberFact, MemberStatus
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.messages import PeerMessage
from bluebellslip._internal.models.rows import HEAD_KEY, HeadRow
from bluebellslip._internal.models.settings import NodeSettings
from bluebellslip._internal.peers.codec import PeerCodec
from bluebellslip._internal.utils.digests import (
    compute_digest,
    encode_record,
)
from lib.config_history import ConfigHistory
from lib.peers import FakePlatform, make_peer_settings
from lib.snapshots import make_record
from lib.virtual_time import LoopClock

_PEER_KEY = 'a key of sixteen bytes'


@dataclasses.dataclass
class NetworkConditions:
    """Loss and duplication rates, and the maximum random delay in seconds."""

    loss_rate: float = 0
    duplicate_rate: float = 0
    max_delay_s: float = 0.01


class SimNetwork:
    """Delivers messages between nodes.

    ``is_partitioned`` decides which pairs of addresses cannot communicate;
    ``extra_delay`` adds seconds to the delay between two addresses.
    """

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.conditions = NetworkConditions()
        self.links: dict[Address, SimLink] = {}
        self.is_partitioned: Callable[[Address, Address], bool] = (
            lambda _one, _two: False
        )
        self.extra_delay: Callable[[Address, Address], float] = (
            lambda _one, _two: 0
        )
        self.sent_counts: dict[str, int] = {}
        self.sent_bytes = 0

    def is_delivered(self, source: Address, to: Address) -> bool:
        if self.is_partitioned(source, to) or to not in self.links:
            return False
        return self.random.random() >= self.conditions.loss_rate

    def breaks_connection(self) -> bool:
        # A connection retransmits lost packets, so it fails less often.
        return self.random.random() < self.conditions.loss_rate / 3

    def draw_delay(self, source: Address, to: Address) -> float:
        jitter = self.conditions.max_delay_s * self.random.random()
        return jitter + self.extra_delay(source, to)

    def count_message(self, message: PeerMessage, packet: bytes) -> None:
        name = type(message).__name__
        self.sent_counts[name] = self.sent_counts.get(name, 0) + 1
        self.sent_bytes += len(packet)


class SimLink:
    """One node's end of the network."""

    def __init__(self, network: SimNetwork, address: Address, clock) -> None:
        self._network = network
        self._address = address
        self._clock = clock
        self._codec = PeerCodec.from_registry(_PEER_KEY)
        self._datagram_handlers = {}
        self._request_handlers = {}
        self._held_packets: list[tuple[bytes, Address]] = []
        network.links[address] = self

    def on_datagram(self, kind, handler) -> None:
        self._datagram_handlers[kind] = handler

    def on_request(self, kind, handler) -> None:
        self._request_handlers[kind] = handler

    def send(self, to: Address, message: PeerMessage) -> None:
        if self._clock.is_frozen:
            return
        network = self._network
        packet = self._codec.encode(message)
        network.count_message(message, packet)
        copies = 1 + (
            network.random.random() < network.conditions.duplicate_rate
        )
        for _ in range(copies):
            if network.is_delivered(self._address, to):
                asyncio.get_running_loop().call_later(
                    network.draw_delay(self._address, to),
                    self._deliver,
                    to,
                    packet,
                )

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        with anyio.fail_after(timeout.total_seconds()):
            return await self._send_request(to, message)

    def thaw(self) -> None:
        """Process the datagrams that arrived while the node was frozen."""
        while self._held_packets:
            self._receive(*self._held_packets.pop(0))

    def close(self) -> None:
        self._network.links.pop(self._address, None)

    async def _send_request(
        self, to: Address, message: PeerMessage
    ) -> PeerMessage:
        network = self._network
        await self._wait_until_thawed()
        packet = self._codec.encode(message)
        network.count_message(message, packet)
        await self._transmit(self._address, to)
        response = await network.links[to].handle_request(packet)
        await self._transmit(to, self._address)
        await self._wait_until_thawed()
        return self._codec.decode(response)

    async def _wait_until_thawed(self) -> None:
        while self._clock.is_frozen:
            await anyio.sleep(0.1)

    async def handle_request(self, packet: bytes) -> bytes:
        await self._wait_until_thawed()
        message = self._codec.decode(packet)
        handler = self._request_handlers[type(message)]
        response = await handler(message)
        encoded = self._codec.encode(response)
        self._network.count_message(response, encoded)
        return encoded

    async def _transmit(self, source: Address, to: Address) -> None:
        network = self._network
        await anyio.sleep(network.draw_delay(source, to))
        if to not in network.links:
            raise TimeoutError('refused')
        if network.is_partitioned(source, to) or network.breaks_connection():
            await anyio.sleep_forever()

    def _deliver(self, to: Address, packet: bytes) -> None:
        link = self._network.links.get(to)
        if link is not None:
            link.accept_packet(packet, self._address)

    def accept_packet(self, packet: bytes, source: Address) -> None:
        if self._clock.is_frozen:
            self._held_packets.append((packet, source))
        else:
            self._receive(packet, source)

    def _receive(self, packet: bytes, source: Address) -> None:
        try:
            message = self._codec.decode(packet)
        except PeerGarbledError:
            return
        handler = self._datagram_handlers.get(type(message))
        if handler is not None:
            handler(message, source)


class SimNode:
    """Membership and distribution of a node, from a start to the next stop."""

    def __init__(
        self,
        settings: NodeSettings,
        start_number: int,
        network: SimNetwork,
        platform: FakePlatform,
        history: ConfigHistory,
    ) -> None:
        self.start_number = start_number
        self.clock = LoopClock()
        self.counters = InMemoryCounters()
        self.context = Context.from_settings(
            settings,
            self.clock,
            Random(f'{settings.node} {start_number} {network.random.random()}'),
            self.counters,
        )
        self.link = SimLink(network, self.context.peer_address, self.clock)
        self.context.ports.provide(PeerLink, self.link)
        self.context.ports.provide(TableService, platform)
        self.context.ports.provide(ObjectStore, platform)
        self.membership = MembershipPlugin.from_context(self.context)
        self.distribution = DistributionPlugin.from_context(self.context)
        self._history = history
        self.context.applied.subscribe(self._record_applied)
        self.scope = anyio.CancelScope()

    @property
    def name(self) -> str:
        return str(self.context.node)

    @property
    def revision(self) -> int:
        current = self.context.applied.current
        return 0 if current is None else current.revision

    def find_status(self, name: str) -> MemberStatus | None:
        fact = self.context.facts.find(f'member/{name}')
        return fact.status if isinstance(fact, MemberFact) else None

    async def run(self) -> None:
        with self.scope:
            async with anyio.create_task_group() as group:
                await group.start(self.membership.run)
                await group.start(self.distribution.run)

    def _record_applied(self, snapshot) -> None:
        self._history.record_applied(
            asyncio.get_running_loop().time(),
            self.name,
            self.start_number,
            snapshot,
        )


class SimMesh:
    """A mesh of numbered nodes that can be killed, frozen and restarted."""

    def __init__(self, seed: int, group) -> None:
        self.network = SimNetwork(seed)
        self.platform = FakePlatform()
        self.history = ConfigHistory()
        self.nodes: dict[int, SimNode] = {}
        self.settings: dict[int, NodeSettings] = {}
        self._group = group
        self._start_counts: dict[int, int] = {}
        self.head_revision = 0
        self.head_digest = ''

    def add(
        self,
        number: int,
        *,
        region: str = 'east',
        domain: str = 'a',
        seeds: tuple[int, ...] = (0, 1, 2),
    ):
        """Add and start a node; nodes 0 to 2 are its seeds by default."""
        settings = make_peer_settings(
            number, 7000, tuple(f'127.0.0.{seed + 1}:7000' for seed in seeds)
        )
        self.settings[number] = msgspec.structs.replace(
            settings, region=region, failure_domain=domain
        )
        self.start(number)

    def start(self, number: int) -> SimNode:
        start_number = self._start_counts.get(number, 0) + 1
        self._start_counts[number] = start_number
        node = SimNode(
            self.settings[number],
            start_number,
            self.network,
            self.platform,
            self.history,
        )
        self.nodes[number] = node
        self._group.start_soon(node.run)
        return node

    def kill(self, number: int) -> None:
        node = self.nodes.pop(number)
        node.scope.cancel()
        node.link.close()

    def freeze(self, number: int) -> None:
        self.nodes[number].clock.freeze()

    def thaw(self, number: int) -> None:
        self.nodes[number].clock.thaw()
        self.nodes[number].link.thaw()

    def accept_revision(self, number: int, *, stored: bool = True) -> int:
        """Accept a new revision at a node, as its acceptor would.

        With ``stored=False`` the object store lacks the snapshot's body.
        """
        record = make_record(self.head_revision + 1, self.head_digest)
        body = encode_record(record)
        self.head_digest = compute_digest(body)
        self.head_revision += 1
        self.history.record_accepted(self.head_revision, self.head_digest)
        if stored:
            self.platform.bodies[self.head_digest] = body
        row = HeadRow(
            self.head_revision, self.head_digest, f'change-{self.head_revision}'
        )
        self.platform.write(HEAD_KEY, msgspec.msgpack.encode(row))
        self.nodes[number].distribution.offer(body, self.head_digest)
        return self.head_revision

    def has_converged(self) -> bool:
        return all(
            node.revision == self.head_revision for node in self.nodes.values()
        )

    def is_joined(self) -> bool:
        """Return whether every node considers all nodes alive."""
        names = {node.name for node in self.nodes.values()}
        return all(
            node.find_status(name) is MemberStatus.ALIVE
            for node in self.nodes.values()
            for name in names
        )

    def check(self) -> None:
        self.history.check({node.name for node in self.nodes.values()})

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float
    ) -> None:
        """Wait for a condition; fail after ``limit_s`` virtual seconds."""
        with anyio.move_on_after(limit_s):
            while not condition():
                await anyio.sleep(0.05)
        assert condition(), f'condition not met in {limit_s} virtual seconds'


async def simulate(seed: int, scenario) -> None:
    """Run a scenario on a new mesh and stop all nodes after it."""
    async with anyio.create_task_group() as group:
        mesh = SimMesh(seed, group)
        await scenario(mesh)
        group.cancel_scope.cancel()
