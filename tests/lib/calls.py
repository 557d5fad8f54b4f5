"""A small mesh in one process: fake servers, callers and calls plug-ins."""

import asyncio
import contextlib
import dataclasses
import datetime as dt
import itertools
import os
import socket
from collections.abc import AsyncGenerator, Awaitable, Callable
from random import Random

import anyio

from bluebellslip._internal.calls.plugin import CallsPlugin
from bluebellslip._internal.kernel.clock import Clock, SystemClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    EvidenceSink,
    Outcome,
    TableService,
)
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.facts import (
    Backend,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
)
from lib.snapshots import make_snapshot

_BYTE = 256


def make_host(process_id: int) -> str:
    """Return a loopback address of a process's own, below 65,536 processes."""
    high, low = divmod(process_id, _BYTE)
    return f'127.27.{high % _BYTE}.{low}'


HOST = make_host(os.getpid())
_port_numbers = itertools.count(23_100)

RequestHandler = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter, 'ReceivedRequest'],
    Awaitable[None],
]


def find_free_address() -> Address:
    """Return an address at which nothing listens."""
    for port in _port_numbers:
        with socket.socket() as test_socket, contextlib.suppress(OSError):
            test_socket.bind((HOST, port))
            return Address(HOST, port)
    raise AssertionError('unreachable')


@dataclasses.dataclass
class ReceivedRequest:
    """A request as a fake server received it."""

    request_line: str
    headers: dict[str, str]
    body: bytes


class FakeServer:
    """A backend server whose responses are written by a test's handler."""

    def __init__(self, handler: RequestHandler) -> None:
        self.received_requests: list[ReceivedRequest] = []
        self.connection_count = 0
        self.address = find_free_address()
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._listener: asyncio.Server | None = None

    @property
    def is_listening(self) -> bool:
        return self._listener is not None

    @contextlib.asynccontextmanager
    async def serving(self) -> AsyncGenerator['FakeServer', None]:
        await self.listen()
        try:
            yield self
        finally:
            self.crash()

    async def listen(self) -> None:
        self._listener = await asyncio.start_server(
            self._serve, self.address.host, self.address.port
        )

    def crash(self) -> None:
        """Reset all connections and accept no more, until ``listen``."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self.abort_connections()

    def abort_connections(self) -> None:
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connection_count += 1
        self._writers.add(writer)
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, asyncio.IncompleteReadError),
        ):
            request = await read_request(reader)
            while request is not None:
                self.received_requests.append(request)
                await self._handler(reader, writer, request)
                await writer.drain()
                request = await read_request(reader)
        self._writers.discard(writer)


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    request_line, *rest = head.decode().split('\r\n')
    headers = {}
    for text in rest:
        name, _, content = text.partition(': ')
        headers[name.lower()] = content
    body = await reader.readexactly(int(headers.get('content-length', 0)))
    if 'transfer-encoding' in headers:
        body = await _read_chunks(reader)
    return ReceivedRequest(request_line, headers, body)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readuntil(b'\r\n')
    await reader.readuntil(b'\r\n')
    return body


def encode_response(body: bytes, status: int = 200) -> bytes:
    return b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )


def respond_with(body: bytes, status: int = 200) -> RequestHandler:
    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        writer.write(encode_response(body, status))

    return handler


class FakeMembership:
    """Holds the announced local server of one node."""

    def __init__(self) -> None:
        self.own_backend: Backend | None = None
        self.draining = False

    def announce(self, backend: Backend) -> None:
        self.own_backend = backend

    def leave(self) -> None:
        self.draining = True


class RecordingEvidenceSink:
    """Records the outcomes of calls."""

    def __init__(self) -> None:
        self.outcomes: list[Outcome] = []

    def record(self, outcome: Outcome) -> None:
        self.outcomes.append(outcome)


class CallsNode:
    """The calls plug-in of one node, without gossip and distribution."""

    def __init__(
        self,
        name: str,
        domain: str = 'a',
        table: TableService | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.egress = find_free_address()
        self.ingress = find_free_address()
        settings = NodeSettings(
            node=name,
            mesh='mesh',
            region='north',
            failure_domain=domain,
            listen=ListenSettings(
                egress=str(self.egress),
                ingress=str(self.ingress),
                peer='127.0.0.41:1',
                admin='127.0.0.41:2',
            ),
            platform=PlatformSettings(
                table='http://127.0.0.41:3', objects='http://127.0.0.41:3'
            ),
            peer_key='0123456789abcdef',
        )
        self.counters = InMemoryCounters()
        self.context = Context.from_settings(
            settings, clock or SystemClock(), Random(1), self.counters
        )
        self.membership = FakeMembership()
        self.evidence_sink = RecordingEvidenceSink()
        self.context.ports.provide(Membership, self.membership)
        self.context.ports.provide(EvidenceSink, self.evidence_sink)
        if table is not None:
            self.context.ports.provide(TableService, table)
        self.context.applied.apply(make_snapshot(1))
        self.plugin = CallsPlugin.from_context(self.context)

    def set_backend(
        self,
        service: str,
        address: Address,
        version: str = 'v1',
        slots: int = 4,
    ) -> None:
        self.membership.own_backend = Backend(
            ServiceName(service), VersionName(version), address, slots, 100
        )

    def make_member_fact(self, incarnation: int = 1) -> MemberFact:
        context = self.context
        return MemberFact(
            node=context.node,
            incarnation=incarnation,
            status=MemberStatus.ALIVE,
            changed=0,
            locality=context.locality,
            peer=context.peer_address,
            ingress=self.ingress,
            applied=1,
            backend=self.membership.own_backend,
        )

    def add_members(self, *others: 'CallsNode') -> None:
        self.context.facts.merge(other.make_member_fact() for other in others)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['CallsNode', None]:
        async with anyio.create_task_group() as group:
            await group.start(self.plugin.run)
            try:
                yield self
            finally:
                group.cancel_scope.cancel()


@dataclasses.dataclass
class ReceivedResponse:
    """A response as a caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """An HTTP client with one connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: Address) -> 'Caller':
        return cls(*await asyncio.open_connection(address.host, address.port))

    async def call(
        self,
        path: str,
        *,
        method: str = 'GET',
        service: str = 'storefront',
        body: bytes = b'',
        **headers: str,
    ) -> ReceivedResponse:
        lines = [f'{method} {path} HTTP/1.1', f'host: {service}']
        for name, text in headers.items():
            lines.append(f'{name.replace("_", "-")}: {text}')
        if body:
            lines.append(f'content-length: {len(body)}')
        head = '\r\n'.join([*lines, '', ''])
        self.writer.write(head.encode() + body)
        return await self.receive()

    async def receive(self) -> ReceivedResponse:
        head = await self.reader.readuntil(b'\r\n\r\n')
        status_line, *rest = head.decode().split('\r\n')
        fields = dict(text.split(': ', 1) for text in rest if text)
        size = int(fields.get('content-length', 0))
        body = await self.reader.readexactly(size)
        if 'transfer-encoding' in fields:
            body = await _read_chunks(self.reader)
        return ReceivedResponse(int(status_line.split()[1]), fields, body)

    def close(self) -> None:
        self.writer.transport.abort()


async def call_once(
    address: Address, path: str, **options: str
) -> ReceivedResponse:
    caller = await Caller.open(address)
    try:
        return await caller.call(path, **options)  # type: ignore[arg-type]
    finally:
        caller.close()


def make_locality(domain: str, region: str = 'north') -> Locality:
    return Locality(region, domain)


def milliseconds(count: float) -> dt.timedelta:
    return dt.timedelta(milliseconds=count)


def node_id(name: str) -> NodeId:
    return NodeId(name)
