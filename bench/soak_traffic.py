"""Callers and servers of a soak."""

import asyncio
import contextlib
import datetime as dt
import zlib
from collections import deque
from random import Random
from typing import Final, NoReturn

import anyio

from bench.soak_accounts import (
    choose_key,
    choose_mesh_headers,
    describe_leak,
)
from bench.soak_costly import COSTLY_PREFIX
from bench.soak_plan import PROFILES, make_prefix
from bench.soak_records import (
    History,
    Notice,
    Request,
    RequestEnd,
    RouteKind,
    ServerRun,
)
from bluebellslip._internal.models.identity import Address
from lib.calls import (
    Caller,
    ReceivedRequest,
    ReceivedResponse,
)
from lib.simulated_platform import encode_signed_response

_MAX_PAUSE_S: Final = 0.3
_RECONNECT_S: Final = 0.05
# Callers wait for this long past their deadline.
_PATIENCE_S: Final = 3
_HEALTH_PATH: Final = '/health'
# Parts in which a slow caller sends a body, and the longest pause after each.
_BODY_PARTS: Final = 4
_MAX_PART_GAP_S: Final = 1.0
# Requests of one connection that wait for their responses.
_MAX_PIPELINED: Final = 4
_MAX_PIPELINE_GAP_S: Final = 0.06


def describe_body(request_id: str, body: bytes) -> bytes:
    """Return the response of a server to a request."""
    return f'{request_id} {len(body)} {zlib.crc32(body)}'.encode()


class RecordingServer:
    """Runs the requests of the server beside a node, and records each run.

    Parameters
    ----------
    node
        Name of the node.
    history
        Records the runs.
    """

    def __init__(self, node: str, history: History) -> None:
        self._node = node
        self._history = history
        self._notice: Notice | None = None
        self.has_left = False

    def begin_notice(self, limit: float | None) -> Notice:
        """Name a limit in all responses, or say that the server leaves."""
        notice = Notice(self._node, limit)
        self._history.notices.append(notice)
        self._notice = notice
        return notice

    def end_notice(self, notice: Notice) -> None:
        """Say nothing more of it."""
        notice.ended = self._history.now
        if self._notice is notice:
            self._notice = None

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        """Work on a request for a time that depends on its id, and respond."""
        if request.request_line.split()[1] == _HEALTH_PATH:
            writer.write(self._make_health_response())
            return
        request_id = request.headers.get('x-request-id', '')
        kind = RouteKind(request.request_line.split('/')[1])
        run = ServerRun(request_id, self._node, self._history.now)
        if not request_id.startswith(COSTLY_PREFIX):
            self._history.runs.append(run)
            leak = describe_leak(request)
            if leak:
                self._history.report(self._node, leak)
        await anyio.sleep(Random(request_id).uniform(*PROFILES[kind].run_s))
        run.ended = self._history.now
        body = describe_body(request_id, request.body)
        response = encode_signed_response(request, body)
        status, _, rest = response.partition(b'\r\n')
        writer.write(b'\r\n'.join((status, *self._make_headers(), rest)))

    def _make_health_response(self) -> bytes:
        status = 503 if self.has_left else 200
        return (
            b'HTTP/1.1 %d X\r\nX-Instance-Id: i-1-%b\r\n'
            b'Content-Length: 0\r\n\r\n'
        ) % (status, self._node.encode())

    def _make_headers(self) -> list[bytes]:
        notice = self._notice
        if notice is None:
            return []
        notice.named = min(notice.named, self._history.now)
        if notice.limit is None:
            return [b'Server-Leaving: 1']
        return [f'Server-Limit: {notice.limit}'.encode()]


class _RecordingCaller(Caller):
    """A connection that records when the last byte of ``request`` was sent."""

    request: Request | None = None

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        history: History,
    ) -> None:
        super().__init__(reader, writer)
        self._history = history
        # Draining then waits until everything is written.
        writer.transport.set_write_buffer_limits(high=0)

    async def receive(self) -> ReceivedResponse:
        """Wait until the request is sent, then receive its response."""
        await self.writer.drain()
        if self.request is not None:
            self.request.sent = self._history.now
        return await super().receive()


class SoakClient:
    """Sends one request after another over kept-alive connections.

    Parameters
    ----------
    name
        Name in the ids of its requests.
    node
        Name of the node.
    address
        The callers' address of the node.
    history
        Records the requests.
    has_account
        Whether its requests carry a key.
    """

    def __init__(
        self,
        name: str,
        node: str,
        address: Address,
        history: History,
        *,
        has_account: bool = False,
    ) -> None:
        self._has_account = has_account
        # Of its own, so that it changes no other choice of a seed.
        self._header_random = Random(f'headers-{name}')
        self._name = name
        self._node = node
        self._address = address
        self._history = history
        self._random = Random(name)
        self._number = 0
        self._stopped = False

    def stop(self) -> None:
        """End after the current request."""
        self._stopped = True

    async def run(self) -> None:
        """Send requests until stopped."""
        while not self._stopped:
            with contextlib.suppress(OSError):
                await self._use_connection()
            await anyio.sleep(_RECONNECT_S)

    async def _use_connection(self) -> None:
        streams = await asyncio.open_connection(
            self._address.host, self._address.port
        )
        caller = _RecordingCaller(*streams, self._history)
        with contextlib.closing(caller):
            while not self._stopped and not caller.reader.at_eof():
                request = self._make_request()
                await self._send(caller, request)
                if not _is_reusable(request):
                    break
                await anyio.sleep(self._choose_pause_s(request))

    def _choose_pause_s(self, request: Request) -> float:
        pause_s = self._random.uniform(0, _MAX_PAUSE_S)
        if request.response is None:
            return pause_s
        return pause_s + float(request.response.headers.get('retry-after', 0))

    def _choose_kind(self) -> RouteKind:
        weights = [profile.weight for profile in PROFILES.values()]
        return self._random.choices(list(PROFILES), weights)[0]

    def _make_request(self) -> Request:
        self._number += 1
        kind = self._choose_kind()
        profile = PROFILES[kind]
        size = self._random.randint(*profile.body_bytes)
        limit_s = self._random.uniform(*profile.deadline_s)
        request = Request(
            f'{self._name}-{self._number}',
            self._node,
            kind,
            self._random.randbytes(size),
            dt.timedelta(seconds=limit_s),
            self._history.now,
        )
        request.mesh_headers = choose_mesh_headers(self._header_random)
        if self._has_account:
            request.key = choose_key(self._header_random)
        self._history.requests.append(request)
        return request

    async def _send(self, caller: _RecordingCaller, request: Request) -> None:
        caller.request = request
        limit_s = request.limit.total_seconds()
        try:
            async with asyncio.timeout(limit_s + _PATIENCE_S):
                request.response = await caller.call(
                    f'{make_prefix(request.kind)}{request.request_id}',
                    method='POST' if request.body else 'GET',
                    service='shop.example',
                    body=request.body,
                    x_request_id=request.request_id,
                    x_deadline_ms=str(round(limit_s * 1000)),
                    **_list_headers(request),
                )
            request.end = RequestEnd.ANSWERED
        except asyncio.IncompleteReadError:
            request.end = RequestEnd.CLOSED
        except TimeoutError:
            request.end = RequestEnd.ABANDONED
        except OSError:
            request.end = RequestEnd.RESET
        request.ended = self._history.now


def _is_reusable(request: Request) -> bool:
    response = request.response
    return (
        response is not None and response.headers.get('connection') != 'close'
    )


class SlowClient(SoakClient):
    """Sends bodies in parts, seconds after one another."""

    def _choose_kind(self) -> RouteKind:
        return self._random.choice((RouteKind.NON_IDEMPOTENT, RouteKind.UPLOAD))

    async def _send(self, caller: _RecordingCaller, request: Request) -> None:
        limit_s = request.limit.total_seconds()
        try:
            async with asyncio.timeout(limit_s + _PATIENCE_S):
                await self._send_parts(caller, request)
                request.response = await caller.receive()
            request.end = RequestEnd.ANSWERED
        except asyncio.IncompleteReadError:
            request.end = RequestEnd.CLOSED
        except TimeoutError:
            request.end = RequestEnd.ABANDONED
        except OSError:
            request.end = RequestEnd.RESET
        request.ended = self._history.now

    async def _send_parts(
        self, caller: _RecordingCaller, request: Request
    ) -> None:
        """Send the head and the parts."""
        caller.writer.write(_encode(request))
        size = max(1, len(request.body) // _BODY_PARTS)
        for start in range(0, len(request.body), size):
            await anyio.sleep(self._random.uniform(0, _MAX_PART_GAP_S))
            caller.writer.write(request.body[start : start + size])
            await caller.writer.drain()
        request.sent = self._history.now


class PipeliningClient(SoakClient):
    """Sends safe requests before the earlier ones are answered."""

    def _choose_kind(self) -> RouteKind:
        return RouteKind.SAFE

    async def _use_connection(self) -> None:
        streams = await asyncio.open_connection(
            self._address.host, self._address.port
        )
        caller = Caller(*streams)
        pending: deque[Request] = deque()
        with contextlib.closing(caller):
            async with anyio.create_task_group() as group:
                group.start_soon(self._receive_all, caller, pending)
                await self._send_all(caller, pending)

    async def _send_all(self, caller: Caller, pending: deque[Request]) -> None:
        with contextlib.suppress(OSError):
            while not (self._stopped or caller.reader.at_eof()):
                if len(pending) < _MAX_PIPELINED:
                    request = self._make_request()
                    request.is_pipelined = bool(pending)
                    pending.append(request)
                    caller.writer.write(_encode(request))
                    await caller.writer.drain()
                    request.sent = self._history.now
                await anyio.sleep(self._random.uniform(0, _MAX_PIPELINE_GAP_S))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_PATIENCE_S):
                while pending and not caller.reader.at_eof():
                    await anyio.sleep(_RECONNECT_S)
        for abandoned in pending:
            abandoned.end = RequestEnd.ABANDONED
        caller.close()

    async def _receive_all(
        self, caller: Caller, pending: deque[Request]
    ) -> None:
        end = RequestEnd.CLOSED
        try:
            await self._match_responses(caller, pending)
        except asyncio.IncompleteReadError:
            end = RequestEnd.CLOSED
        except OSError:
            end = RequestEnd.RESET
        for unanswered in pending:
            unanswered.end = unanswered.end or end
            unanswered.ended = self._history.now

    async def _match_responses(
        self, caller: Caller, pending: deque[Request]
    ) -> NoReturn:
        while True:
            response = await caller.receive()
            request = pending.popleft()
            request.response = response
            request.end = RequestEnd.ANSWERED
            request.ended = self._history.now


def _list_headers(request: Request) -> dict[str, str]:
    key = {'api-key': request.key} if request.key else {}
    return request.mesh_headers | key


def _encode(request: Request) -> bytes:
    """Return the head of a request."""
    limit_ms = round(request.limit.total_seconds() * 1000)
    method = 'POST' if request.body else 'GET'
    length = f'content-length: {len(request.body)}\r\n' if request.body else ''
    more = ''.join(
        f'{name}: {text}\r\n' for name, text in _list_headers(request).items()
    )
    return (
        f'{method} {make_prefix(request.kind)}{request.request_id} HTTP/1.1\r\n'
        f'host: shop.example\r\nx-request-id: {request.request_id}\r\n'
        f'x-deadline-ms: {limit_ms}\r\n{more}{length}\r\n'
    ).encode()
