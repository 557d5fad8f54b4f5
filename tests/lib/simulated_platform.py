"""A simulation of the users' platform, and nodes that run on it."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import time
from collections.abc import AsyncGenerator, Awaitable, Callable, Sequence
from functools import partial
from random import Random
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio

from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import Address, ServiceName
from bluebellslip._internal.models.mesh_settings import (
    Bounds,
    MeshListen,
    MeshSettings,
    StoreSettings,
)
from bluebellslip._internal.nodes.environment import NodeEnvironment
from bluebellslip._internal.nodes.mesh_node import MeshNode
from bluebellslip_platform.adapter import PlatformAdapter
from lib.calls import (
    Caller,
    FakeServer,
    ReceivedRequest,
    ReceivedResponse,
    RequestHandler,
    find_free_address,
)

JsonObject = dict[str, Any]


@dataclasses.dataclass(frozen=True)
class StoreCopy:
    """The rows of a store at one of its versions."""

    version: int
    rows: dict[tuple[str, str], tuple[int, str | None]]


class SimulatedStore:
    """Serves rows over HTTP; ``mode`` makes it fail.

    ``mode`` is one of ``up``, ``refusing`` (503), ``silent`` (no response
    for 60 s) and ``losing`` (writes take effect, but the connection is closed
    without a response). A ``rows-feed`` request whose ``after`` is less than
    ``oldest_version``, or more than the newest version, gets a 410.
    ``era`` is sent with every response, unless it is None.
    """

    def __init__(self) -> None:
        self.address = find_free_address()
        self.mode = 'up'
        self.requested_names: list[str] = []
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self.oldest_version = 0
        self.era: int | None = 1
        self.written_states: list[str] = []
        self._started = time.monotonic()

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncGenerator['SimulatedStore', None]:
        server = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )
        try:
            yield self
        finally:
            server.close()

    def put(self, table: str, key: str, value: object) -> int:
        """Write a row as the operator does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return self._write(table, key, text)

    def put_bytes(self, table: str, key: str, body: bytes) -> int:
        """Write a row as another program does."""
        return self._write(table, key, base64.b64encode(body).decode())

    def remove(self, table: str, key: str) -> int:
        """Remove a row as the operator does."""
        return self._write(table, key, None)

    def read(self, table: str, key: str) -> JsonObject | None:
        row = self._rows.get((table, key))
        if row is None or row[1] is None:
            return None
        found: JsonObject = json.loads(base64.b64decode(row[1]))
        return found

    def copy(self) -> 'StoreCopy':
        return StoreCopy(self._version, dict(self._rows))

    def restore(self, copy: 'StoreCopy') -> None:
        """Come back from an older copy; what was written since is lost."""
        self._version = copy.version
        self._rows = dict(copy.rows)
        self.era = (self.era or 0) + 1
        self._notify()

    @property
    def now_s(self) -> float:
        """The store's steady clock, in seconds."""
        return 1.5 + time.monotonic() - self._started

    @property
    def version(self) -> int:
        return self._version

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _write(self, table: str, key: str, text: str | None) -> int:
        self._version += 1
        self._rows[table, key] = (self._version, text)
        self._notify()
        return self._version

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                length = 0
                for line in head.lower().split('\r\n'):
                    if line.startswith('content-length:'):
                        length = int(line.partition(':')[2])
                body = await reader.readexactly(length)
                if self.mode == 'silent':
                    await asyncio.sleep(60)
                status, response = await self._respond(head.split(' ')[1], body)
                if self.mode == 'losing' and length:
                    break
                text = json.dumps(response).encode()
                writer.write(
                    b'HTTP/1.1 %d X\r\n%bcontent-length: %d\r\n\r\n%b'
                    % (status, self._encode_era(), len(text), text)
                )
                await writer.drain()

    def _encode_era(self) -> bytes:
        if self.era is None:
            return b''
        return b'Store-Era: %d\r\n' % self.era

    async def _respond(
        self, target: str, body: bytes
    ) -> tuple[int, JsonObject]:
        if self.mode == 'refusing':
            return 503, {'error': 'busy'}
        parts = urlsplit(target)
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        name = parts.path.rpartition('/')[2]
        self.requested_names.append(name)
        if name == 'rows-tx':
            return self._transact(json.loads(body))
        if name == 'rows-get':
            return 200, self._list_rows(query['table'], 0)
        after = int(query['after'])
        if not self.oldest_version <= after <= self._version:
            return 410, {'error': 'gone'}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while (
                    after <= self._version
                    and not self._list_rows(query['table'], after)['rows']
                ):
                    await self._changed.wait()
        if after > self._version:
            return 410, {'error': 'gone'}
        return 200, self._list_rows(query['table'], after)

    def _transact(self, body: JsonObject) -> tuple[int, JsonObject]:
        for condition in body['expected_rev']:
            row_key = (condition['table'], condition['key'])
            if self._rows.get(row_key, (0, None))[0] != condition['ver']:
                return 412, self._list_expected(body['expected_rev'])
        for row in body['upserts']:
            self._write(row['table'], row['key'], row['value'])
            if row['table'] == 'status':
                status = json.loads(base64.b64decode(row['value']))
                self.written_states.append(status['state'])
        for row_key in body['remove']:
            self._write(row_key['table'], row_key['key'], None)
        return 200, {'ver': self._version, 'now_s': self.now_s}

    def _list_expected(self, conditions: list[JsonObject]) -> JsonObject:
        row_keys = [(row['table'], row['key']) for row in conditions]
        rows = [
            self._encode_row(row_key)
            for row_key in row_keys
            if row_key in self._rows
        ]
        return {'rows': rows, 'ver': self._version}

    def _encode_row(self, row_key: tuple[str, str]) -> JsonObject:
        version, text = self._rows[row_key]
        row = {
            'table': row_key[0],
            'part': '',
            'key': row_key[1],
            'ver': version,
        }
        if text is None:
            return row | {'tombstone': True}
        return row | {'value': text}

    def _list_rows(self, table: str, after: int) -> JsonObject:
        # A list from version 0 leaves out deleted rows.
        rows = [
            self._encode_row(row_key)
            for row_key, (version, text) in sorted(self._rows.items())
            if row_key[0] == table and version > after and (text or after)
        ]
        return {
            'rows': rows,
            'more_pages': False,
            'ver': self._version,
            'now_s': self.now_s,
        }


def make_route_json(
    name: str, prefix: str, service: str, **more: object
) -> JsonObject:
    return {
        'name': name,
        'host': 'shop.example',
        'prefix': prefix,
        'kind': 'safe',
        'timeout_s': 2,
        'target_latency_s': 0.5,
        'priority': 1,
        'max_attempts': 2,
        'service': service,
    } | more


def make_document_json(revision: int, *routes: JsonObject) -> JsonObject:
    return {
        'version': revision,
        'routes': list(routes),
        'services': [
            {'name': name, 'health_path': '/health', 'max_connections': 100}
            for name in sorted({str(route['service']) for route in routes})
        ],
        'limits': {
            'max_header_bytes': 4096,
            'max_body_bytes': 100_000,
            'header_timeout_s': 1,
            'idle_timeout_s': 5,
        },
    }


SignedResponder = Callable[[ReceivedRequest], Awaitable[bytes]]


def encode_signed_response(
    request: ReceivedRequest, body: bytes, status: int = 200
) -> bytes:
    """Return a signed response, as the users' servers send it."""
    return (
        b'HTTP/1.1 %d X\r\nX-Request-Id: %b\r\nX-Server-Signature: s\r\n'
        b'Content-Length: %d\r\n\r\n%b'
    ) % (status, request.headers['x-request-id'].encode(), len(body), body)


def encode_not_executed(status: int = 503) -> bytes:
    return (
        b'HTTP/1.1 %d X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n'
        % status
    )


def respond_signed(text: bytes, delay: float = 0) -> RequestHandler:
    """Return a handler that sends a signed text after ``delay`` seconds."""

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await asyncio.sleep(delay)
        writer.write(encode_signed_response(request, text))

    return handler


class PlatformNode:
    """A node in this process, with its local server and its heartbeats."""

    def __init__(
        self,
        name: str,
        service: str,
        store: SimulatedStore,
        handler: RequestHandler,
        *,
        domain: str = 'a',
        version: str = 'v1',
        slots: int = 4,
        bounds: Bounds | None = None,
        first_start: bool = True,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.server = FakeServer(handler)
        self.listen = MeshListen(
            callers=str(find_free_address()),
            peers=str(find_free_address()),
            beacons=str(find_free_address()),
            health=str(find_free_address()),
            servers=str(find_free_address()),
            metrics=str(find_free_address()),
        )
        self.settings = MeshSettings(
            node=name,
            service=service,
            failure_domain=domain,
            region='north',
            server=str(self.server.address),
            listen=self.listen,
            store=StoreSettings(str(store.address)),
            first_start=first_start,
            bounds=bounds or Bounds(),
        )
        self.counters = InMemoryCounters()
        self.node = self._make_node()
        self.sequence = 0
        self.heartbeats_stopped = False
        self.born = 1000

    def replace_process(self) -> None:
        """Replace a node that has ended by a process that knows nothing."""
        self.node._state.beacon_protocol.close()
        for listener in self.node._listeners:
            listener.close()
        self.node = self._make_node()

    def _make_node(self) -> MeshNode:
        return MeshNode(
            self.settings,
            PlatformAdapter.from_settings(self.settings, self.counters),
            NodeEnvironment(
                SystemClock(),
                Random(self.name),
                self.counters,
                lambda: b'metrics',
            ),
            lambda: self.settings,
        )

    @property
    def _listen_addresses(self) -> list[Address]:
        """All addresses at which the node accepts connections."""
        listen = self.listen
        texts = (
            listen.callers,
            listen.peers,
            listen.health,
            listen.servers,
            listen.metrics,
        )
        return [Address.from_text(text) for text in texts if text is not None]

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['PlatformNode', None]:
        async with self.server.serving(), anyio.create_task_group() as group:
            group.start_soon(self.node.run)
            for address in self._listen_addresses:
                await wait_until(partial(is_listening, address))
            await self.send_heartbeat()
            group.start_soon(self._send_heartbeats)
            try:
                yield self
            finally:
                group.cancel_scope.cancel()

    async def _send_heartbeats(self) -> None:
        while not self.heartbeats_stopped:
            await anyio.sleep(self.settings.heartbeat)
            if not self.heartbeats_stopped and self.server.is_listening:
                await self.send_heartbeat()

    async def restart_server(self) -> None:
        """Start a new life of the local server."""
        self.born += 1
        self.sequence = 0
        await self.server.listen()
        await self.send_heartbeat()

    async def send_heartbeat(
        self, state: str = 'ready', **more: object
    ) -> ReceivedResponse:
        """Send a heartbeat as the local server does."""
        self.sequence += 1
        heartbeat = {
            'service': self.service,
            'address': str(self.server.address),
            'zone': 'a',
            'version': self.version,
            'slots': self.slots,
            'state': state,
            'cold_remaining_s': 0,
            'seq': self.sequence,
            'born': self.born,
        } | more
        return await self.call_server_api('PUT', json.dumps(heartbeat).encode())

    async def call_server_api(
        self, method: str, body: bytes = b'', server: str = 'i-1'
    ) -> ReceivedResponse:
        caller = await Caller.open(Address.from_text(self.listen.servers))
        path = f'/bluebellslip/instances/{server}-{self.name}'
        response = await caller.call(path, method=method, body=body)
        caller.close()
        return response

    async def get_ready_status(self) -> int:
        caller = await Caller.open(Address.from_text(self.listen.health))
        response = await caller.call('/bluebellslip/ready')
        caller.close()
        return response.status

    async def open_caller(self) -> Caller:
        return await Caller.open(Address.from_text(self.listen.callers))

    async def call(
        self, path: str, request_id: str = 'r1', **options: object
    ) -> ReceivedResponse:
        caller = await self.open_caller()
        try:
            return await caller.call(
                path,
                service='shop.example',
                x_request_id=request_id,
                **options,  # type: ignore[arg-type]
            )
        finally:
            caller.close()


async def is_listening(address: Address) -> bool:
    with contextlib.suppress(OSError):
        (await Caller.open(address)).close()
        return True
    return False


async def wait_until(
    condition: Callable[[], Awaitable[bool]], seconds: float = 20
) -> None:
    """Poll until a condition holds; fail after ``seconds``."""
    with anyio.fail_after(seconds):
        while not await condition():
            await anyio.sleep(0.02)


@contextlib.asynccontextmanager
async def run_nodes(
    store: SimulatedStore, nodes: Sequence[PlatformNode]
) -> AsyncGenerator[None, None]:
    """Run a store and nodes; yield when all nodes are ready.

    A node is ready here when it knows the servers of all nodes and reports
    readiness.
    """
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(store.serving())
        for node in nodes:
            await stack.enter_async_context(node.running())
        for node in nodes:
            await wait_until(partial(_is_ready, node, nodes))
        yield


async def _is_ready(node: PlatformNode, nodes: Sequence[PlatformNode]) -> bool:
    state = node.node._state
    known = {
        endpoint.node
        for other in nodes
        for endpoint in state.peer_table.endpoints(ServiceName(other.service))
    }
    return (
        known == {other.name for other in nodes}
        and await node.get_ready_status() == 200
    )
