"""Nodes of one service that share a table and a network in memory."""

import datetime as dt
from collections.abc import Awaitable, Callable
from random import Random

from expression import Error, Ok, Result

from bluebellslip._internal.exceptions import (
    PlatformDownError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    Committed,
    Outcome,
    Refused,
    RequestStatus,
    Row,
    Transaction,
)
from bluebellslip._internal.kernel.services import MoveRequest
from bluebellslip._internal.models.facts import (
    FULL_SHARE,
    Backend,
    MemberFact,
    MemberStatus,
    MoveFact,
    StopFact,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.messages import PeerMessage
from bluebellslip._internal.models.move_rows import MoveRow, decode_move
from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
)
from bluebellslip._internal.moves.coordinator import MoveCoordinator
from bluebellslip._internal.moves.exchange import EvidenceExchange
from bluebellslip._internal.moves.monitor import MoveMonitor
from bluebellslip._internal.moves.service import MoveService
from bluebellslip._internal.moves.store import MoveStore
from lib.snapshots import make_snapshot

ORDERS = ServiceName('orders')
OLD = VersionName('v1')
NEW = VersionName('v2')
DEPOSITS = RouteName('deposits')
SECOND = dt.timedelta(seconds=1)


class RecordingTable:
    """A table in memory that records every version of the move rows.

    While ``down`` is set, ``read`` and ``transact`` raise
    ``PlatformDownError``, but ``scan`` does not. While ``loses_responses`` is
    set, transactions take effect, but raise ``PlatformOutcomeUnknownError``.
    ``before_transact`` is called once, before the next transaction.
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.loses_responses = False
        self.write_count = 0
        self.history: list[MoveRow] = []
        self.before_transact: Callable[[], Awaitable[None]] | None = None

    async def read(self, key: str) -> Row | None:
        if self.down:
            raise PlatformDownError('down')
        return self.rows.get(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        if self.before_transact is not None:
            hook = self.before_transact
            self.before_transact = None
            await hook()
        if self.down:
            raise PlatformDownError('down')
        for condition in transaction.conditions:
            found = self.version(condition.key)
            if found != condition.version:
                return Error(Refused(condition.key, found))
        versions = tuple(
            self._write(write.key, write.body or b'')
            for write in transaction.writes
        )
        if self.loses_responses:
            raise PlatformOutcomeUnknownError('lost')
        return Ok(Committed(versions))

    def version(self, key: str) -> int:
        row = self.rows.get(key)
        return 0 if row is None else row.version

    def _write(self, key: str, body: bytes) -> int:
        version = self.version(key) + 1
        self.rows[key] = Row(key, version, body)
        self.write_count += 1
        if key.startswith('move/'):
            self.history.append(decode_move(body))
        return version


class FakeNetwork:
    """Delivers datagrams, except from and to unreachable addresses."""

    def __init__(self) -> None:
        self.links: dict[Address, FakeLink] = {}
        self.unreachable: set[Address] = set()

    def deliver(
        self, sender: Address, to: Address, message: PeerMessage
    ) -> None:
        if {sender, to} & self.unreachable or to not in self.links:
            return
        handler = self.links[to].handlers.get(type(message))
        if handler is not None:
            handler(message, sender)


class FakeLink:
    """One node's end of the network."""

    def __init__(self, network: FakeNetwork, address: Address) -> None:
        self._network = network
        self._address = address
        self.handlers: dict[type, Callable[..., None]] = {}
        network.links[address] = self

    def send(self, to: Address, message: PeerMessage) -> None:
        self._network.deliver(self._address, to, message)

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        raise TimeoutError

    def on_datagram(self, kind: type, handler: Callable[..., None]) -> None:
        self.handlers[kind] = handler

    def on_request(self, kind: type, handler: Callable[..., object]) -> None:
        """Ignore the handler: moves send datagrams only."""


class FakeMembership:
    """Holds the local server of one node."""

    draining = False

    def __init__(self, backend: Backend) -> None:
        self.own_backend: Backend | None = backend

    def announce(self, backend: Backend) -> None:
        self.own_backend = backend

    def leave(self) -> None:
        self.own_backend = None


class MoveNode:
    """The components of one node that take part in moves."""

    def __init__(
        self, mesh: 'MoveMesh', index: int, version: VersionName
    ) -> None:
        name = f'orders-{index}'
        peer = Address('127.0.0.1', 25000 + index)
        listen = ListenSettings(
            egress='127.0.0.1:25100',
            ingress='127.0.0.1:25101',
            peer=str(peer),
            admin='127.0.0.1:25102',
        )
        self.context = Context.from_settings(
            NodeSettings(
                node=name,
                mesh='thistle-quill',
                region='scot-central',
                failure_domain='a',
                listen=listen,
                platform=PlatformSettings(
                    table='http://127.0.0.1:1', objects='http://127.0.0.1:1'
                ),
                peer_key='0123456789abcdef',
            ),
            mesh.clock,
            Random(index),
            InMemoryCounters(),
        )
        self.context.applied.apply(make_snapshot(1))
        self.backend = Backend(
            ORDERS, version, Address('127.0.0.1', 25200 + index), 12, 120
        )
        self.member_fact = MemberFact(
            node=NodeId(name),
            incarnation=1,
            status=MemberStatus.ALIVE,
            changed=0,
            locality=Locality('scot-central', 'a'),
            peer=peer,
            ingress=peer,
            applied=1,
            backend=self.backend,
        )
        self.store = MoveStore(self.context, mesh.table)
        self.exchange = EvidenceExchange(
            self.context, FakeLink(mesh.network, peer)
        )
        self.monitor = MoveMonitor(
            self.context,
            self.store,
            self.exchange,
            FakeMembership(self.backend),
        )
        self.coordinator = MoveCoordinator(
            self.context, self.store, self.monitor
        )
        self.service = MoveService(self.context, self.store, self.monitor)
        self.running = True

    @property
    def move_fact(self) -> MoveFact | None:
        return self.store.find_fact(ORDERS)

    def record_calls(self, count: int, failed: int, latency_s: float) -> None:
        for index in range(count):
            status = (
                RequestStatus.FAILED
                if index < failed
                else RequestStatus.SUCCEEDED
            )
            self.exchange.record(
                Outcome(
                    ORDERS,
                    self.backend.version,
                    DEPOSITS,
                    status,
                    dt.timedelta(seconds=latency_s),
                )
            )


class MoveMesh:
    """Two nodes beside old servers and ``new_servers`` nodes beside new ones.

    ``gossip`` copies facts among the running nodes after every second.
    """

    def __init__(self, new_servers: int = 2) -> None:
        self.clock = ManualClock()
        self.table = RecordingTable()
        self.network = FakeNetwork()
        self.new_failure_rate: float = 0
        self.old_failure_rate: float = 0
        self.new_latency_s = 0.02
        self.calls_per_second = 40
        self._pending_new_calls = 0
        self.nodes = [
            MoveNode(self, index, OLD if index < 2 else NEW)
            for index in range(2 + new_servers)
        ]
        self.gossip()

    @property
    def stored_row(self) -> MoveRow:
        return decode_move(self.table.rows['move/orders'].body)

    @property
    def share(self) -> int:
        """Share of the calls that ``NEW`` gets, in basis points."""
        split = self.nodes[0].context.traffic_splits.find(ORDERS)
        if split is None:
            return 0
        new_share = split.new_share
        return new_share if split.new == NEW else FULL_SHARE - new_share

    def make_request(
        self, minutes: float = 10, name: str = 'one', new: VersionName = NEW
    ) -> MoveRequest:
        return MoveRequest(
            service=ORDERS,
            new=new,
            deadline=self.clock.now() + dt.timedelta(minutes=minutes),
            who='ada',
            request=name,
        )

    def gossip(self) -> None:
        running = [node for node in self.nodes if node.running]
        member_facts = [node.member_fact for node in running]
        facts = [
            fact
            for node in running
            for fact in node.context.facts
            if isinstance(fact, MoveFact | StopFact)
        ]
        for node in running:
            node.context.facts.merge([*member_facts, *facts])

    async def run_second(self) -> None:
        """Record one second of calls, and poll each running node.

        Each running node records its version's share of ``calls_per_second``.
        The fractional part of the new version's calls is carried over to the
        next second.
        """
        self._pending_new_calls += self.calls_per_second * self.share
        new_calls = self._pending_new_calls // FULL_SHARE
        self._pending_new_calls -= new_calls * FULL_SHARE
        for index, node in enumerate(self.nodes):
            count = (
                new_calls if index >= 2 else self.calls_per_second - new_calls
            )
            failure_rate = (
                self.new_failure_rate if index >= 2 else self.old_failure_rate
            )
            latency_s = self.new_latency_s if index >= 2 else 0.02
            if node.running:
                node.record_calls(count, round(count * failure_rate), latency_s)
        self.clock.advance(SECOND)
        for node in self.nodes:
            if node.running:
                node.monitor.observe()
                await node.coordinator.poll()
        self.gossip()

    async def run(self, seconds: int) -> None:
        for _ in range(seconds):
            await self.run_second()
