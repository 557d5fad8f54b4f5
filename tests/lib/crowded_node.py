"""A platform node as a process of its own, and crowds of callers for it."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import socket
import sys
from collections.abc import (
    AsyncGenerator,
    Awaitable,
    Callable,
    Iterable,
    Iterator,
)
from functools import partial
from pathlib import Path

import msgspec

from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh_settings import (
    MeshListen,
    MeshSettings,
    StoreSettings,
)
from bluebellslip_platform.entry import SETTINGS_VARIABLE
from lib.calls import (
    Caller,
    FakeServer,
    ReceivedRequest,
    ReceivedResponse,
    RequestHandler,
    find_free_address,
)
from lib.simulated_platform import (
    SimulatedStore,
    encode_signed_response,
    is_listening,
    make_document_json,
    make_route_json,
    wait_until,
)

# Bodies that the configuration of these nodes allows.
MAX_BODY_BYTES = 4 << 20
ANSWER_BYTES = 240_000
_HEARTBEAT_S = 1.0
_BORN = 1000
_SERVER = 'i-1-front'
# Long enough to catch hangs only.
_HANG_TIMEOUT_S = 60
# A body of this size would keep the test's own server busy, not the node.
_SEND_BYTES = 64 * 1024
# Time for the crowd to send in; some of it waits for a node that reads no more.
_SEND_S = 4
_PAUSE_S = 0.1
# Callers of ``pestering`` send again after this time, answered or not, and give
# up after the second one.
_PERIOD_S = 0.5
_ABANDON_S = 10

_CONFIG = make_document_json(
    3,
    make_route_json('r-read', '/read/', 'front'),
    make_route_json('r-far', '/far/', 'back'),
    make_route_json(
        'r-upload',
        '/upload/',
        'front',
        kind='upload',
        timeout_s=8,
        target_latency_s=5,
    ),
) | {
    'limits': {
        'max_header_bytes': 16_384,
        'max_body_bytes': MAX_BODY_BYTES,
        'header_timeout_s': 60,
        'idle_timeout_s': 60,
    }
}


async def _respond(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: ReceivedRequest,
) -> None:
    is_large = '/large/' in request.request_line
    text = b'x' * ANSWER_BYTES if is_large else b'%d' % len(request.body)
    writer.write(encode_signed_response(request, text))


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resources of a process; memory is in megabytes."""

    memory_mb: float
    peak_mb: float
    descriptors: int


class CrowdedNode:
    """A node's own process, with its store and its server in the test."""

    def __init__(
        self,
        directory: Path,
        *,
        memory_mb: int | None,
        max_descriptors: int | None,
        max_body_bytes: int = MAX_BODY_BYTES,
        slots: int = 4,
        handler: RequestHandler = _respond,
        service: str = 'front',
        store: SimulatedStore | None = None,
    ) -> None:
        self.store = store or SimulatedStore()
        limits = _CONFIG['limits'] | {'max_body_bytes': max_body_bytes}
        self.store.put('op', 'config', _CONFIG | {'limits': limits})
        self.server = FakeServer(handler)
        self._service = service
        self._directory = directory
        self._slots = slots
        self._listen = MeshListen(
            callers=str(find_free_address()),
            peers=str(find_free_address()),
            beacons=str(find_free_address()),
            health=str(find_free_address()),
            servers=str(find_free_address()),
            metrics=str(find_free_address()),
        )
        self._settings = MeshSettings(
            node=service,
            service=service,
            failure_domain='a',
            region='north',
            server=str(self.server.address),
            listen=self._listen,
            store=StoreSettings(str(self.store.address)),
            heartbeat=_HEARTBEAT_S,
            memory_mb=memory_mb,
            max_descriptors=max_descriptors,
        )
        self._process: asyncio.subprocess.Process | None = None
        self._sequence = 0

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    def get_address(self, listener: str) -> Address:
        """Return an address of the node by its name in the settings."""
        return Address.from_text(getattr(self._listen, listener))

    def read_usage(self) -> Usage:
        assert self._process is not None
        directory = Path('/proc', str(self._process.pid))
        fields = dict(
            line.split(':', 1)
            for line in (directory / 'status').read_text().splitlines()
        )
        return Usage(
            int(fields['VmRSS'].split()[0]) / 1024,
            int(fields['VmHWM'].split()[0]) / 1024,
            len(list((directory / 'fd').iterdir())),
        )

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['CrowdedNode', None]:
        file = self._directory / f'{self._service}.yaml'
        file.write_text(json.dumps(msgspec.to_builtins(self._settings)))
        async with self._serving_store(), self.server.serving():
            with (self._directory / f'{self._service}.log').open('wb') as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'bluebellslip_platform',
                    env=os.environ | {SETTINGS_VARIABLE: str(file)},
                    stdout=log,
                    stderr=log,
                )
            heartbeats = asyncio.create_task(self._send_heartbeats())
            try:
                await wait_until(
                    partial(is_listening, self.get_address('callers')),
                    _HANG_TIMEOUT_S,
                )
                if self._service == 'front':
                    await self.wait_served()
                yield self
            finally:
                heartbeats.cancel()
                await self._end()

    def _serving_store(self) -> contextlib.AbstractAsyncContextManager[object]:
        """Serve the store, unless another node shares it."""
        if self._service == 'front':
            return self.store.serving()
        return contextlib.nullcontext()

    async def stop(self) -> int:
        """Send SIGTERM and return the exit status of the process."""
        assert self._process is not None
        self._process.terminate()
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            return await self._process.wait()

    async def _end(self) -> None:
        if self.is_running:
            self._process.kill()
        await self._process.wait()

    def read_log(self) -> list[dict[str, object]]:
        text = (self._directory / f'{self._service}.log').read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def call(
        self, path: str, request_id: str = 'ordinary', **options: object
    ) -> ReceivedResponse:
        caller = await Caller.open(self.get_address('callers'))
        try:
            return await caller.call(
                path,
                service='shop.example',
                x_request_id=request_id,
                **options,  # type: ignore[arg-type]
            )
        finally:
            caller.close()

    async def read_metrics(self) -> str:
        caller = await Caller.open(self.get_address('metrics'))
        try:
            return (await caller.call('/metrics')).body.decode()
        finally:
            caller.close()

    async def wait_served(self) -> None:
        """Wait until one ordinary request is answered."""
        await wait_until(self._is_served, _HANG_TIMEOUT_S)

    async def _is_served(self) -> bool:
        assert self.is_running
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, TimeoutError
        ):
            async with asyncio.timeout(5):
                return (await self.call('/read/1')).status == 200
        return False

    async def _send_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._send_heartbeat()
            await asyncio.sleep(_HEARTBEAT_S / 2)

    async def _send_heartbeat(self) -> None:
        self._sequence += 1
        heartbeat = {
            'service': self._service,
            'address': str(self.server.address),
            'zone': 'a',
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold_remaining_s': 0,
            'seq': self._sequence,
            'born': _BORN,
        }
        caller = await Caller.open(self.get_address('servers'))
        try:
            await caller.call(
                f'/bluebellslip/instances/{_SERVER}',
                method='PUT',
                body=json.dumps(heartbeat).encode(),
            )
        finally:
            caller.close()


def make_request_head(
    listener: str, number: int, fields: bytes, path: bytes = b'/upload/1'
) -> bytes:
    """Return the head of a request, as far as its last header."""
    routing = (
        b'["front","r-upload",true,1,8000,5000,"front",%d,"%b",8000,false,0]'
        % (_BORN, _SERVER.encode())
    )
    method = b'POST' if fields else b'GET'
    head = (
        b'%b %b HTTP/1.1\r\nhost: shop.example\r\nx-request-id: c%d\r\n%b'
        % (method, path, number, fields)
    )
    if listener == 'peers':
        head += b'bluebell-work: %b\r\n' % routing
    return head


def chunk(piece: bytes, count: int = 1) -> bytes:
    """Return a piece of a body as this many chunks."""
    return (b'%x\r\n%b\r\n' % (len(piece), piece)) * count


Script = Callable[[int], Iterable[bytes]]


class CrowdMember:
    """A caller that sends what its script says, and stays.

    One that doesn't read has a small receive buffer and pauses between the
    pieces, so that the answers to them wait in the node.
    """

    def __init__(self, *, reads: bool) -> None:
        self._reads = reads
        self._writer: asyncio.StreamWriter | None = None

    async def send(self, address: Address, pieces: Iterable[bytes]) -> None:
        """Send all pieces, until the node refuses or reads no more."""
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(
                sock=await self._connect(address), limit=_SEND_BYTES
            )
            self._writer = writer
            if self._reads:
                reading = asyncio.ensure_future(_read_all(reader))
            async with asyncio.timeout(_SEND_S):
                await self._write_all(writer, pieces)
        if self._reads and self._writer is not None:
            with contextlib.suppress(OSError, TimeoutError):
                await asyncio.wait_for(asyncio.shield(reading), 0.01)

    async def _write_all(
        self, writer: asyncio.StreamWriter, pieces: Iterable[bytes]
    ) -> None:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            if not self._reads:
                await asyncio.sleep(_PAUSE_S)

    async def _connect(self, address: Address) -> socket.socket:
        connection = socket.socket()
        connection.setblocking(False)
        if not self._reads:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.get_running_loop().sock_connect(
            connection, (address.host, address.port)
        )
        return connection

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()


async def _read_all(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        received = True
        while received:
            received = bool(await reader.read(_SEND_BYTES))


@contextlib.asynccontextmanager
async def crowd(
    address: Address, script: Script, count: int, *, reads: bool = True
) -> AsyncGenerator[None, None]:
    """Let a crowd send, and stay open for the body of the statement."""
    members = [CrowdMember(reads=reads) for _ in range(count)]
    sending: list[Awaitable[None]] = [
        member.send(address, script(number))
        for number, member in enumerate(members)
    ]
    try:
        await asyncio.gather(*sending)
        yield
    finally:
        for member in members:
            member.close()


@contextlib.asynccontextmanager
async def pestering(
    address: Address, script: Script, count: int
) -> AsyncGenerator[None, None]:
    """Let callers send again and again while the body of the statement runs.

    Each message is sent on a connection of its own, whether or not the earlier
    ones were answered. ``script`` gets a number of its own for each.
    """
    numbers = itertools.count()
    async with asyncio.TaskGroup() as group:
        callers = [
            group.create_task(_send_repeatedly(address, script, numbers, start))
            for start in range(count)
        ]
        try:
            yield
        finally:
            for caller in callers:
                caller.cancel()


async def _send_repeatedly(
    address: Address, script: Script, numbers: Iterator[int], start: int
) -> None:
    await asyncio.sleep(_PERIOD_S * (start % 10) / 10)
    sending: set[asyncio.Task[None]] = set()
    try:
        while True:
            task = asyncio.create_task(
                _send_and_read(address, script(next(numbers)))
            )
            sending.add(task)
            task.add_done_callback(sending.discard)
            await asyncio.sleep(_PERIOD_S)
    finally:
        for task in sending:
            task.cancel()


async def _send_and_read(address: Address, pieces: Iterable[bytes]) -> None:
    with contextlib.suppress(OSError, TimeoutError):
        async with asyncio.timeout(_ABANDON_S):
            reader, writer = await asyncio.open_connection(
                address.host, address.port, limit=_SEND_BYTES
            )
            reading = asyncio.create_task(_read_all(reader))
            try:
                for piece in pieces:
                    writer.write(piece)
                    await writer.drain()
                await reading
            finally:
                reading.cancel()
                writer.transport.abort()
