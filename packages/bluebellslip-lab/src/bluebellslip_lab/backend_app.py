"""The simulated backend server as an ASGI application."""

import hashlib
from contextlib import ExitStack
from pathlib import Path
from random import Random
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip_lab.asgi import (
    Headers,
    Receive,
    Response,
    Scope,
    Send,
    send_response,
)
from bluebellslip_lab.behaviour import Behaviour, simulate_call

NONCE_HEADER: Final = b'lab-nonce'
IDEMPOTENCY_KEY_HEADER: Final = b'idempotency-key'
VERSION_HEADER: Final = b'lab-version'
RUNS_PATH: Final = '/lab/runs'
HEALTH_PATH: Final = '/lab/health'

_OVERLOADED: Final = Response(
    503,
    b'{"kind":"full"}',
    ((b'bluebell-not-run', b'1'), (b'retry-after', b'1')),
)


class Run(msgspec.Struct, frozen=True):
    """One execution of a request, recorded before the work begins."""

    nonce: str
    key: str
    path: str
    server: str


class Echo(msgspec.Struct, frozen=True):
    """Body of the response to a request that ran.

    ``received`` is the length of the request body in bytes, ``sha256`` its
    digest in hexadecimal.
    """

    nonce: str
    service: str
    version: str
    path: str
    sha256: str
    received: int


class Identity(msgspec.Struct, frozen=True):
    """Service, version, address and limits that a server announces.

    ``slots`` limits concurrent requests, ``connections`` concurrent
    connections.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int


class RunJournal:
    """Records runs in memory and, if a path is given, in a file.

    The file outlives the process, so that the runs of a killed server are
    counted too.
    """

    def __init__(self, path: Path | None) -> None:
        self._runs: list[Run] = []
        self._file = None if path is None else path.open('ab', buffering=0)

    @property
    def runs(self) -> tuple[Run, ...]:
        """All runs so far."""
        return tuple(self._runs)

    def record(self, run: Run) -> None:
        """Append a run to the journal."""
        self._runs.append(run)
        if self._file is not None:
            self._file.write(b'%b\n' % msgspec.json.encode(run))


class BackendApp:
    """Echoes requests; refuses those that arrive while all slots are in use.

    Parameters
    ----------
    identity
        Service, version, address and limits.
    behaviour
        Latency and failures of calls.
    clock
        Measures the time since the server's start.
    random_source
        Draws the random part of latencies and failures.
    journal
        Records every run.
    """

    def __init__(
        self,
        identity: Identity,
        behaviour: Behaviour,
        clock: Clock,
        random_source: Random,
        journal: RunJournal,
    ) -> None:
        self._identity = identity
        self._behaviour = behaviour
        self._clock = clock
        self._random = random_source
        self._journal = journal
        self._started = clock.elapsed()
        self._in_flight = 0

    @property
    def in_flight(self) -> int:
        """Number of requests in flight."""
        return self._in_flight

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        if scope['path'] == RUNS_PATH:
            await send_response(send, Response.from_json(self._journal.runs))
        elif scope['path'] == HEALTH_PATH:
            await send_response(send, Response(200, b'ok'))
        elif self._in_flight >= self._identity.slots:
            await send_response(send, _OVERLOADED)
        else:
            with ExitStack() as stack:
                self._in_flight += 1
                stack.callback(self._finish_request)
                await send_response(send, await self._handle(scope, receive))

    def _finish_request(self) -> None:
        self._in_flight -= 1

    async def _handle(self, scope: Scope, receive: Receive) -> Response:
        headers = dict(scope['headers'])
        nonce = headers.get(NONCE_HEADER, b'').decode('latin-1')
        self._journal.record(
            Run(
                nonce=nonce,
                key=headers.get(IDEMPOTENCY_KEY_HEADER, b'').decode('latin-1'),
                path=scope['path'],
                server=self._identity.address,
            )
        )
        digest, received = await _hash_body(receive)
        simulated = simulate_call(
            self._behaviour,
            self._clock.elapsed() - self._started,
            self._in_flight,
            scope['path'],
            self._random,
        )
        await anyio.sleep(simulated.delay.total_seconds())
        echo = Echo(
            nonce=nonce,
            service=self._identity.service,
            version=self._identity.version,
            path=scope['path'],
            sha256=digest,
            received=received,
        )
        return self._build_response(echo, 500 if simulated.fails else 200)

    def _build_response(self, echo: Echo, status: int) -> Response:
        headers: Headers = (
            (NONCE_HEADER, echo.nonce.encode('latin-1')),
            (VERSION_HEADER, echo.version.encode()),
        )
        response = Response.from_json(echo, status)
        return Response(status, response.body, (*response.headers, *headers))


async def _hash_body(receive: Receive) -> tuple[str, int]:
    digest, received, more = hashlib.sha256(), 0, True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise ConnectionError(
                'the client disconnected before the request body ended'
            )
        chunk = message.get('body', b'')
        digest.update(chunk)
        received += len(chunk)
        more = message.get('more_body', False)
    return digest.hexdigest(), received
