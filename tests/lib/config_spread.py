"""Nodes that get configurations from a store and from each other.

The nodes are assembled as in production. The store, the beacons and the
queries between nodes are in memory; each takes a random time.
"""

import asyncio
import dataclasses
import datetime as dt
import json
from collections.abc import Iterator
from random import Random
from types import SimpleNamespace
from typing import Any

from bluebellslip._internal.control import peer_config as peer_config_module
from bluebellslip._internal.control.peer_config import PeerConfigSync
from bluebellslip._internal.control.ports import (
    DesiredStateUpdate,
    NodeRegistration,
)
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.mesh import ConfigRecord
from bluebellslip._internal.models.mesh_settings import (
    MeshListen,
    MeshSettings,
    StoreSettings,
)
from bluebellslip._internal.nodes.environment import NodeEnvironment
from bluebellslip._internal.nodes.mesh_node import MeshNode
from bluebellslip_platform.adapter import PlatformAdapter
from bluebellslip_platform.config_wire import decode_config
from lib.simulated_platform import make_document_json, make_route_json
from lib.virtual_time import LoopClock

_PEERS_PORT = 8300
_BEACON_PORT = 7620
_OK = 200


@dataclasses.dataclass(frozen=True)
class Delays:
    """Ranges of times in seconds, and the share of queries without answer.

    ``store`` is how long a response of the store takes, ``beacon`` a datagram
    and ``query`` a query to another node.
    """

    store: tuple[float, float] = (0.05, 0.3)
    beacon: tuple[float, float] = (0.002, 0.05)
    query: tuple[float, float] = (0.05, 0.4)
    unanswered: float = 0


class ChangingStore:
    """Holds the newest configuration and a feed of all earlier ones."""

    era = 1

    def __init__(self, random: Random, delays: Delays) -> None:
        self.acked_at: dict[int, float] = {}
        self.reads = 0
        self._random = random
        self._delays = delays
        self._history: list[ConfigRecord] = []
        self._changed = asyncio.Event()

    @property
    def position(self) -> int:
        return len(self._history)

    def put(self, revision: int) -> None:
        document = make_document_json(
            revision, make_route_json('r', f'/p{revision}/', 'store')
        )
        record = decode_config(json.dumps(document).encode())
        self._history.append(record)
        self.acked_at[revision] = asyncio.get_running_loop().time()
        self._changed.set()
        self._changed = asyncio.Event()

    def on_restore(self, listener: object) -> None:
        """Ignore the listener: this store is never restored."""

    async def read_desired_state(self) -> DesiredStateUpdate:
        self.reads += 1
        update = DesiredStateUpdate(
            self._history[-1], (), (), self.position, is_snapshot=True
        )
        await self._pause()
        return update

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        self.reads += 1
        try:
            async with asyncio.timeout(wait.total_seconds()):
                while position == self.position:
                    await self._changed.wait()
        except TimeoutError:
            pass
        changes = self._history[position:]
        now = self.position
        await self._pause()
        return DesiredStateUpdate(changes[-1] if changes else None, (), (), now)

    async def _pause(self) -> None:
        await asyncio.sleep(self._random.uniform(*self._delays.store))


@dataclasses.dataclass(frozen=True)
class _Reply:
    """Keeps a response."""

    sent: list[tuple[int, Any, bytes]]

    def respond(self, status: int, headers: Any, body: bytes) -> None:
        self.sent.append((status, headers, body))


class SpreadNode:
    """A node whose applied revisions are recorded with their times."""

    def __init__(self, fleet: 'SpreadFleet', name: str, domain: str) -> None:
        index = len(fleet.nodes) + 1
        host = f'10.0.{index // 200}.{index % 200 + 1}'
        self.beacon_address = Address(host, _BEACON_PORT)
        self.peers_address = Address(host, _PEERS_PORT)
        self.domain = domain
        self.applied: list[tuple[int, float]] = []
        settings = MeshSettings(
            node=name,
            service='store',
            failure_domain=domain,
            region='north',
            server=f'{host}:8080',
            listen=MeshListen(
                callers=f'{host}:8304',
                peers=str(self.peers_address),
                beacons=str(self.beacon_address),
                health=f'{host}:8302',
                servers=f'{host}:8306',
            ),
            store=StoreSettings('10.9.0.1:8309'),
        )
        self.node = MeshNode(
            settings,
            PlatformAdapter(fleet.store),  # type: ignore[arg-type]
            NodeEnvironment(
                fleet.clock, Random(name), InMemoryCounters(), bytes
            ),
            lambda: settings,
        )
        self._fleet = fleet
        self.beacon_protocol = self.node._state.beacon_protocol
        self.peer_config = self.node._data_plane.peer_config
        self.node._state.holder.on_change(self._record)
        self.node._state.beacon_protocol.connect(self)

    @property
    def registration(self) -> NodeRegistration:
        return NodeRegistration(
            NodeId(self.node._settings.node), self.beacon_address, self.domain
        )

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        self._fleet.send_datagram(datagram, Address(*to))

    def close(self) -> None:
        """Do nothing."""

    def start(self) -> Iterator[asyncio.Task[None]]:
        runs = (
            self.node._control_plane.watcher.run,
            self.node._state.beacon_protocol.run,
            self.node._data_plane.peer_config.run,
        )
        return (asyncio.create_task(run()) for run in runs)

    def _record(self, table: Any) -> None:
        now = asyncio.get_running_loop().time()
        self.applied.append((table.config.revision, now))


class SpreadFleet:
    """Nodes in several failure domains, and their store.

    Parameters
    ----------
    domains
        Number of nodes in each failure domain.
    delays
        How long messages take.
    seed
        Seed of all random choices.
    """

    def __init__(
        self, domains: dict[str, int], delays: Delays, seed: int
    ) -> None:
        self.clock = LoopClock()
        self.random = Random(seed)
        self.delays = delays
        self.store = ChangingStore(self.random, delays)
        self.queries = 0
        self.nodes: list[SpreadNode] = []
        for domain, count in domains.items():
            for number in range(count):
                name = f'{domain}-{number}'
                self.nodes.append(SpreadNode(self, name, domain))
        self._by_beacons = {node.beacon_address: node for node in self.nodes}
        self._by_peers = {node.peers_address: node for node in self.nodes}

    def send_datagram(self, datagram: bytes, to: Address) -> None:
        receiver = self._by_beacons[to].beacon_protocol.receive
        asyncio.get_running_loop().call_later(
            self.random.uniform(*self.delays.beacon), receiver, datagram
        )

    async def query(
        self,
        pool: object,
        address: Address,
        request: Any,
        timeout: dt.timedelta,
    ) -> Any:
        """Stand in for ``send_request`` from one node to another."""
        self.queries += 1
        async with asyncio.timeout(timeout.total_seconds()):
            if self.random.random() < self.delays.unanswered:
                await asyncio.sleep(60)
            await asyncio.sleep(self.random.uniform(*self.delays.query))
            sent: list[tuple[int, Any, bytes]] = []
            peer_config = self._find_peer_config(address)
            await peer_config.handle_query(
                SimpleNamespace(  # type: ignore[arg-type]
                    reply=_Reply(sent), fields=dict(request.headers)
                )
            )
        status, headers, body = sent[0]
        return SimpleNamespace(status=status, body=body, fields=dict(headers))

    def _find_peer_config(self, address: Address) -> PeerConfigSync:
        return self._by_peers[address].peer_config

    async def run_storm(
        self, monkeypatch: Any, gap: float, changes: int
    ) -> None:
        """Start all nodes, then change the configuration again and again."""
        monkeypatch.setattr(peer_config_module, 'send_request', self.query)
        self.store.put(1)
        registrations = tuple(node.registration for node in self.nodes)
        for node in self.nodes:
            node.beacon_protocol.add_registered(registrations)
        tasks = [task for node in self.nodes for task in node.start()]
        await asyncio.sleep(4)
        for number in range(changes):
            self.store.put(2 + number)
            await asyncio.sleep(gap)
        await asyncio.sleep(4)
        for task in tasks:
            task.cancel()

    def list_lags(self) -> list[tuple[float, str, int]]:
        """Return for how long nodes lacked revisions after their ack."""
        lags = []
        for node in self.nodes:
            for revision, acked_at in self.store.acked_at.items():
                if revision == 1:
                    continue
                times = [
                    time for found, time in node.applied if found >= revision
                ]
                lag = min(times, default=float('inf')) - acked_at
                lags.append((lag, node.registration.node, revision))
        return sorted(lags, reverse=True)
