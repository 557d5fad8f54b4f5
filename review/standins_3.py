"""Stand-ins of the platform's store, backend servers and clients.

They speak what PROTOCOL.md describes, on loopback addresses, for the cases of
this review. The nodes are processes of their own, started with the command of
``deploy/system.toml``.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = '127.0.0.1'
SITE_HOST = 'shop.example'
HELD, BROKEN, NOT_RUN = 0, 1, 2
JsonObject = dict[str, Any]


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, text: str) -> None:
        self._file.write(f'{self.now:8.3f} {text}\n')
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def find_free_ports(count: int) -> int:
    """Return the first of several consecutive ports that are free."""
    for _ in range(200):
        first = random.randrange(20_000, 30_000)
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    found = stack.enter_context(
                        socket.socket(socket.AF_INET, kind)
                    )
                    found.bind((HOST, port))
            return first
    raise RuntimeError('no free ports')


@dataclasses.dataclass
class Message:
    """A request or a response with its complete body."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start.split(' ')[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    start, *lines = text[:-4].split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b''.join(parts)
    return await reader.readexactly(int(headers.get('content-length', '0')))


async def read_message(reader: asyncio.StreamReader) -> Message:
    start, headers = await read_head(reader)
    while start.startswith('HTTP/1.1 1'):
        start, headers = await read_head(reader)
    return Message(start, headers, await read_body(reader, headers))


def encode_message(start: str, headers: dict[str, str], body: bytes) -> bytes:
    lines = [start, *(f'{name}: {value}' for name, value in headers.items())]
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


class Store:
    """The platform's store: rows, transactions and the feed of changes."""

    def __init__(self, port: int) -> None:
        self.port = port
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._started = time.monotonic()
        self._server: asyncio.Server | None = None
        self.is_down = False

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: JsonObject, table: str = 'op') -> None:
        """Write a row as the operator does; the return is the ack."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write({(table, key): text})

    def read(self, table: str, key: str) -> JsonObject | None:
        _, text = self._rows.get((table, key), (0, None))
        return None if text is None else json.loads(base64.b64decode(text))

    def _write(self, changes: dict[tuple[str, str], str | None]) -> None:
        self._version += 1
        for row_key, text in changes.items():
            self._rows[row_key] = (self._version, text)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, EOFError, ValueError, asyncio.CancelledError
        ):
            while True:
                request = await read_message(reader)
                status, answer = 503, {}
                if not self.is_down:
                    await asyncio.sleep(0.004)
                    status, answer = await self._answer(request)
                body = json.dumps(answer).encode()
                writer.write(
                    encode_message(
                        f'HTTP/1.1 {status} X',
                        {
                            'Content-Type': 'application/json',
                            'Content-Length': str(len(body)),
                        },
                        body,
                    )
                )
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> tuple[int, JsonObject]:
        parts = urlsplit(request.start.split(' ')[1])
        query = {
            name: texts[0]
            for name, texts in parse_qs(
                parts.query, keep_blank_values=True
            ).items()
        }
        name = parts.path.rpartition('/')[2]
        if name == 'rows-tx':
            return self._transact(json.loads(request.body))
        if name == 'rows-get':
            return 200, self._list(query, 0)
        if name != 'rows-feed':
            return 404, {}
        after = int(query['after'])
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query['wait_ms']) / 1000):
                while not self._list(query, after)['rows']:
                    await self._changed.wait()
        return 200, self._list(query, after)

    def _transact(self, call: JsonObject) -> tuple[int, JsonObject]:
        expected = [
            ((row['table'], row['key']), row['ver'])
            for row in call.get('expected_rev', ())
        ]
        if any(self._find_version(key) != ver for key, ver in expected):
            rows = [self._encode(key) for key, _ in expected if self._has(key)]
            return 412, self._frame(rows)
        changes: dict[tuple[str, str], str | None] = {
            (row['table'], row['key']): row['value']
            for row in call.get('upserts', ())
        }
        for row in call.get('remove', ()):
            changes[row['table'], row['key']] = None
        if any(table in {'op', 'servers'} for table, _ in changes):
            return 403, {}
        self._write(changes)
        return 200, self._frame()

    def _has(self, row_key: tuple[str, str]) -> bool:
        return self._rows.get(row_key, (0, None))[1] is not None

    def _find_version(self, row_key: tuple[str, str]) -> int:
        return self._rows[row_key][0] if self._has(row_key) else 0

    def _list(self, query: dict[str, str], after: int) -> JsonObject:
        rows = [
            self._encode(row_key)
            for row_key in sorted(self._rows)
            if row_key[0] == query['table']
            and self._rows[row_key][0] > after
            and (after or self._has(row_key))
            and row_key[1] >= query.get('from', '')
        ]
        return self._frame(rows) | {'more_pages': False}

    def _encode(self, row_key: tuple[str, str]) -> JsonObject:
        version, text = self._rows[row_key]
        row: JsonObject = {
            'table': row_key[0],
            'part': '',
            'key': row_key[1],
            'ver': version,
        }
        return row | ({'tombstone': True} if text is None else {'value': text})

    def _frame(self, rows: Sequence[JsonObject] = ()) -> JsonObject:
        return {
            'rows': list(rows),
            'ver': self._version,
            'now_s': round(time.monotonic() - self._started + 40, 3),
        }


@dataclasses.dataclass
class Run:
    """A request that a server began to work on."""

    request_id: str
    method: str
    path: str
    server: str
    headers: dict[str, str]
    body: bytes
    at: float


Work = Callable[['Server', Message, asyncio.StreamWriter], Awaitable[bool]]


class Server:
    """A backend server: it runs requests, and reports to the node beside it.

    ``work`` may take over a request; it returns whether it has answered.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        port: int,
        record: Record,
        *,
        work_s: float = 0.03,
        slots: int = 12,
        version: str = 'v1',
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.port = port
        self.work_s = work_s
        self.slots = slots
        self.version = version
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.runs: list[Run] = []
        self.in_use = 0
        self.work: Work | None = None
        self._record = record
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()

    @property
    def load(self) -> str:
        return f'{self.in_use},0,{self.slots}'

    def encode_beat(self) -> bytes:
        self.sequence += 1
        return json.dumps({
            'service': self.service,
            'address': f'{HOST}:{self.port}',
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_s': 0,
            'seq': self.sequence,
            'born': self.born,
        }).encode()

    async def beat(self, control_port: int, interval: float = 0.87) -> None:
        """Send heartbeats to the node beside the server, until cancelled."""
        path = f'/bluebellslip/instances/{self.name}'
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await send(
                    control_port,
                    'PUT',
                    path,
                    body=self.encode_beat(),
                    timeout=1,
                )
            await asyncio.sleep(interval)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            OSError, EOFError, ValueError, asyncio.CancelledError
        ):
            while True:
                request = await read_message(reader)
                await self._answer(request, writer)
                await writer.drain()
        writer.close()

    async def _answer(
        self, request: Message, writer: asyncio.StreamWriter
    ) -> None:
        method, path, _ = request.start.split(' ')
        if path == '/health':
            self.respond(writer, None, 200 if self.state == 'ready' else 503)
            return
        expected = request.headers.get('x-expected-instance', self.name)
        request_id = request.headers.get('x-request-id')
        if expected != self.name:
            self.respond(writer, None, 421)
            return
        if request_id is None:
            self.respond(writer, None, 400, {'X-Not-Executed': '1'})
            return
        if self.in_use >= self.slots:
            self.respond(writer, request_id, 503, {'X-Not-Executed': '1'})
            return
        run = Run(
            request_id,
            method,
            path,
            self.name,
            request.headers,
            request.body,
            self._record.now,
        )
        self.runs.append(run)
        self._record.write(f'run {request_id} {method} {path} at {self.name}')
        self.in_use += 1
        try:
            if self.work is None or not await self.work(self, request, writer):
                await asyncio.sleep(self.work_s)
                self.respond(
                    writer,
                    request_id,
                    200,
                    {'X-Server-Signature': 's.1'},
                    f'{self.name} {request_id}'.encode(),
                )
        finally:
            self.in_use -= 1

    def respond(
        self,
        writer: asyncio.StreamWriter,
        request_id: str | None,
        status: int,
        headers: dict[str, str] | None = None,
        body: bytes = b'',
    ) -> None:
        fields = {'X-Server-Load': self.load, 'X-Instance-Id': self.name}
        if request_id is not None:
            fields['X-Request-Id'] = request_id
        fields |= headers or {}
        fields['Content-Length'] = str(len(body))
        writer.write(encode_message(f'HTTP/1.1 {status} X', fields, body))


async def send(
    port: int,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout: float = 5,
) -> Message:
    """Send a request on a connection of its own and return the response."""
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            fields = {'Host': SITE_HOST} | (headers or {})
            if body or method in {'POST', 'PUT'}:
                fields['Content-Length'] = str(len(body))
            writer.write(
                encode_message(f'{method} {path} HTTP/1.1', fields, body)
            )
            await writer.drain()
            return await read_message(reader)
        finally:
            writer.close()


class Node:
    """A node as a process, with the settings of a small deployment."""

    def __init__(
        self,
        name: str,
        zone: str,
        service: str,
        first_port: int,
        server_port: int,
        store_port: int,
        directory: pathlib.Path,
        *,
        bounds: JsonObject | None = None,
        more: JsonObject | None = None,
    ) -> None:
        names = ('callers', 'peers', 'beacons', 'health', 'servers', 'metrics')
        self.ports = {
            name: first_port + index for index, name in enumerate(names)
        }
        self.name = name
        self.zone = zone
        self.directory = directory
        self.process: asyncio.subprocess.Process | None = None
        self.settings: JsonObject = {
            'node': name,
            'service': service,
            'failure_domain': zone,
            'region': 'north',
            'server': f'{HOST}:{server_port}',
            'heartbeat': 0.87,
            'listen': {
                name: f'{HOST}:{port}' for name, port in self.ports.items()
            },
            'link_mbps': 1000.0,
            'memory_mb': 300,
            'max_descriptors': 4100,
            'first_start': True,
            'store': {'address': f'{HOST}:{store_port}'},
            'bounds': {
                'drain': 2,
                'grace': 6,
                'config_apply': 2,
                'retry_ratio': 0.2,
                'retry_window': 10,
                'retry_reserve': 60,
                'canary_share': 0.1,
                'canary_slack': 50,
                'rollback': 5,
            }
            | (bounds or {}),
        } | (more or {})

    @property
    def path(self) -> pathlib.Path:
        return self.directory / f'{self.name}.json5'

    @property
    def log_path(self) -> pathlib.Path:
        return self.directory / f'{self.name}.log'

    def write_settings(self) -> None:
        self.path.write_text(json.dumps(self.settings), encoding='utf-8')

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.write_settings()
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        variables['BLUEBELLSLIP_NODE_FILE'] = str(self.path)
        with self.log_path.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3',
                '-m',
                'bluebellslip_platform',
                cwd=ROOT,
                env=variables,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
            )

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def is_ready(self) -> bool:
        try:
            response = await send(
                self.ports['health'], 'GET', '/bluebellslip/ready', timeout=1
            )
        except (OSError, EOFError, TimeoutError):
            return False
        return response.status == 200


def make_route(
    name: str, prefix: str, service: str, **more: object
) -> JsonObject:
    return {
        'name': name,
        'host': SITE_HOST,
        'prefix': prefix,
        'kind': 'safe',
        'timeout_s': 2.5,
        'target_latency_s': 0.5,
        'priority': 1,
        'max_attempts': 2,
        'service': service,
    } | more


def make_config(
    version: int, routes: Sequence[JsonObject], **more: object
) -> JsonObject:
    return {
        'version': version,
        'routes': list(routes),
        'services': [
            {'name': name, 'health_path': '/health', 'max_connections': 120}
            for name in sorted({str(route['service']) for route in routes})
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout_s': 3,
            'idle_timeout_s': 15,
        },
    } | more


class Deployment:
    """A store, and nodes with a server beside each."""

    def __init__(
        self,
        services: Sequence[str],
        record: Record,
        directory: pathlib.Path,
        *,
        zones: Sequence[str] = ('a', 'b', 'c'),
        bounds: JsonObject | None = None,
        work_s: float = 0.03,
        slots: int = 12,
    ) -> None:
        first = find_free_ports(1 + 7 * len(services))
        self.record = record
        self.store = Store(first)
        self.servers: list[Server] = []
        self.nodes: list[Node] = []
        self.beats: dict[str, asyncio.Task[None]] = {}
        for index, service in enumerate(services):
            port = first + 1 + 7 * index
            zone = zones[index % len(zones)]
            server = Server(
                f'i-{index}',
                service,
                zone,
                port,
                record,
                work_s=work_s,
                slots=slots,
            )
            node = Node(
                f'side-{zone}-{index}',
                zone,
                service,
                port + 1,
                port,
                first,
                directory,
                bounds=bounds,
            )
            self.servers.append(server)
            self.nodes.append(node)

    async def open(self, config: JsonObject, count: int | None = None) -> None:
        """Start the store and the first nodes, and wait until these are ready.

        Without ``count`` all of them are started.
        """
        await self.store.open()
        self.store.put('config', config)
        await self.start(0, count)
        for node in self.nodes:
            node.settings['first_start'] = False
        await self.wait_ready()
        await asyncio.sleep(3)

    async def start(self, first: int, last: int | None = None) -> None:
        """Start some of the servers, each with the node beside it."""
        started = list(zip(self.servers, self.nodes, strict=True))[first:last]
        for server, node in started:
            await server.open()
            await node.start()
        for server, node in started:
            self.beats[server.name] = asyncio.create_task(
                server.beat(node.ports['servers'])
            )

    def replace_server(
        self, number: int, kind: type['Server'], version: str
    ) -> None:
        """Let another kind of server take the place of one before its start."""
        earlier = self.servers[number]
        self.servers[number] = kind(
            earlier.name,
            earlier.service,
            earlier.zone,
            earlier.port,
            self.record,
            work_s=earlier.work_s,
            slots=earlier.slots,
            version=version,
        )

    def stop_server(self, number: int) -> None:
        """Stop a server at once, without a word to the node beside it."""
        server = self.servers[number]
        self.beats[server.name].cancel()
        server.close()

    async def wait_ready(self) -> None:
        async with asyncio.timeout(20):
            for node in self.nodes:
                while node.process and not await node.is_ready():
                    await asyncio.sleep(0.05)

    async def close(self) -> None:
        for beat in self.beats.values():
            beat.cancel()
        for node in self.nodes:
            await node.end()
        for server in self.servers:
            server.close()
        self.store.close()

    @property
    def runs(self) -> list[Run]:
        return [run for server in self.servers for run in server.runs]


Case = Callable[[Record, pathlib.Path, bool], Awaitable[int]]


def run_case(case: Case, folder: str) -> None:
    """Run a case and exit with its verdict.

    ``case`` gets whether the disruption takes place: ``TROUBLE=0`` leaves it
    out.
    """
    record = Record(pathlib.Path(folder) / 'record.txt')
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    verdict = NOT_RUN
    with tempfile.TemporaryDirectory() as directory:
        try:
            verdict = asyncio.run(
                _limit(case(record, pathlib.Path(directory), has_trouble))
            )
        except Exception as error:  # an exit with 1 would be a verdict
            record.write(f'the case could not run: {error!r}')
        if os.environ.get('KEEP_LOGS'):
            target = pathlib.Path(os.environ['KEEP_LOGS'])
            target.mkdir(parents=True, exist_ok=True)
            for log in pathlib.Path(directory).glob('*.log'):
                (target / log.name).write_bytes(log.read_bytes())
    record.write(f'verdict {verdict}')
    record.close()
    sys.exit(verdict)


async def _limit(run: Awaitable[int]) -> int:
    async with asyncio.timeout(115):
        return await run
