"""A fake platform, and nodes that communicate over real sockets."""

import contextlib
from collections.abc import AsyncGenerator
from random import Random

import anyio
from expression import Error, Ok, Result

from bluebellslip._internal.distribution.plugin import DistributionPlugin
from bluebellslip._internal.exceptions import PlatformDownError
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    Committed,
    ObjectStore,
    Refused,
    Row,
    TableService,
    Transaction,
)
from bluebellslip._internal.membership.plugin import MembershipPlugin
from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
)
from bluebellslip._internal.peers.plugin import PeersPlugin


class FakePlatform:
    """A table and an object store in memory; ``down`` makes both fail."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.bodies: dict[str, bytes] = {}
        self.down = False
        self.call_count = 0

    async def read(self, key: str) -> Row | None:
        self._count_call()
        return self.rows.get(key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        self._count_call()
        keys = sorted(key for key in self.rows if key.startswith(prefix))
        return tuple(self.rows[key] for key in keys[:limit])

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        self._count_call()
        for condition in transaction.conditions:
            found = self._version(condition.key)
            if found != condition.version:
                return Error(Refused(condition.key, found))
        return Ok(
            Committed(
                tuple(
                    self.write(write.key, write.body)
                    for write in transaction.writes
                )
            )
        )

    async def put(self, name: str, body: bytes) -> None:
        self._count_call()
        self.bodies[name] = body

    async def get(self, name: str) -> bytes | None:
        self._count_call()
        return self.bodies.get(name)

    def write(self, key: str, body: bytes | None) -> int:
        version = self._version(key) + 1
        if body is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(key, version, body)
        return version

    def _version(self, key: str) -> int:
        return self.rows[key].version if key in self.rows else 0

    def _count_call(self) -> None:
        self.call_count += 1
        if self.down:
            raise PlatformDownError('The fake platform is down.')


def make_peer_settings(
    number: int, port: int, seeds: tuple[str, ...] = (), domain: str = 'a'
) -> NodeSettings:
    """Return the settings of a node with its own loopback address."""
    host = f'127.0.0.{number + 1}'
    return NodeSettings(
        node=f'node-{number}',
        mesh='thistle-quill',
        region='scot-central',
        failure_domain=domain,
        listen=ListenSettings(
            egress=f'{host}:{port + 1}',
            ingress=f'{host}:{port + 2}',
            peer=f'{host}:{port}',
            admin=f'{host}:{port + 3}',
        ),
        platform=PlatformSettings(
            table='http://127.0.0.1:1', objects='http://127.0.0.1:1'
        ),
        peer_key='a key of sixteen bytes',
        seeds=seeds,
    )


class SocketNode:
    """The peers, membership and distribution plug-ins of one node."""

    def __init__(self, settings: NodeSettings, platform: FakePlatform) -> None:
        self.counters = InMemoryCounters()
        self.context = Context.from_settings(
            settings, SystemClock(), Random(settings.node), self.counters
        )
        self.context.ports.provide(TableService, platform)
        self.context.ports.provide(ObjectStore, platform)
        self.peers = PeersPlugin.from_context(self.context)
        self.membership = MembershipPlugin.from_context(self.context)
        self.distribution = DistributionPlugin.from_context(self.context)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator[None]:
        async with anyio.create_task_group() as group:
            await group.start(self.peers.run)
            await group.start(self.membership.run)
            await group.start(self.distribution.run)
            try:
                yield
            finally:
                group.cancel_scope.cancel()


async def wait_until(condition) -> None:
    """Poll until a condition holds."""
    while not condition():
        await anyio.sleep(0.02)
