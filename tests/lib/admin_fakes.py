"""Fake components, tokens and clients for tests of the administration API."""

import dataclasses
import hashlib
from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import msgspec
from expression import Error, Ok, Result

from bluebellslip._internal.admin import routes  # ruff: ignore[unused-import]
from bluebellslip._internal.admin.app import AdminApp
from bluebellslip._internal.cli.client import AdminClient, ClientOptions
from bluebellslip._internal.cli.console import Console
from bluebellslip._internal.cli.transport import AdminRequest, AdminResponse
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.services import (
    Accepted,
    ChangeRequest,
    MoveRequest,
    MoveStatus,
)
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.rows import AuditRow
from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
    TokenSettings,
)

OPERATOR_TOKEN = 'token-of-the-operator'
READER_TOKEN = 'token-of-a-reader'
PRINT_TEAM_TOKEN = 'token-of-the-print-team'
SERVER_TOKEN = 'token-of-the-server'


def make_token_settings(holder: str, token: str, *scopes: str) -> TokenSettings:
    digest = hashlib.sha256(token.encode()).hexdigest()
    return TokenSettings(holder=holder, digest=digest, scopes=scopes)


def make_settings(admin: str = '127.0.0.1:26401') -> NodeSettings:
    return NodeSettings(
        node='orders-1',
        mesh='thistle-quill',
        region='scot-central',
        failure_domain='fd-a',
        listen=ListenSettings(
            egress='127.0.0.1:26101',
            ingress='127.0.0.1:26201',
            peer='127.0.0.1:26301',
            admin=admin,
        ),
        platform=PlatformSettings(
            table='http://127.0.0.1:26901', objects='http://127.0.0.1:26901'
        ),
        peer_key='key-of-the-test-mesh',
        tokens=(
            make_token_settings(
                'operator', OPERATOR_TOKEN, 'read', 'apply', 'move'
            ),
            make_token_settings('reader', READER_TOKEN, 'read'),
            make_token_settings(
                'printers', PRINT_TEAM_TOKEN, 'apply:print', 'move:print'
            ),
            make_token_settings('server', SERVER_TOKEN, 'announce'),
        ),
    )


def make_context(admin: str = '127.0.0.1:26401') -> Context:
    return Context.from_settings(
        make_settings(admin), ManualClock(), Random(1), InMemoryCounters()
    )


class FakeAuditTrail:
    """An audit trail in memory; ``reachable`` decides whether it records."""

    def __init__(self) -> None:
        self.rows: list[AuditRow] = []
        self.reachable = True

    async def record(self, row: AuditRow) -> bool:
        if self.reachable:
            self.rows.append(row)
        return self.reachable

    async def recent(self, limit: int) -> tuple[AuditRow, ...]:
        return tuple(reversed(self.rows))[:limit]


class FakeAcceptor:
    """Accepts every change; reports a known change id as replayed."""

    def __init__(self) -> None:
        self.requests: list[ChangeRequest] = []

    async def submit(
        self, request: ChangeRequest
    ) -> Result[Accepted, BluebellError]:
        replayed = any(
            known.change == request.change for known in self.requests
        )
        self.requests.append(request)
        return Ok(Accepted(revision=2, digest='d2', replayed=replayed))


class FakeMoves:
    """Holds one prepared status per service.

    ``request`` returns ``error`` instead if it is set.
    """

    def __init__(self, *statuses: MoveStatus) -> None:
        self.statuses = {status.service: status for status in statuses}
        self.requests: list[MoveRequest] = []
        self.error: BluebellError | None = None

    async def request(
        self, request: MoveRequest
    ) -> Result[MoveStatus, BluebellError]:
        self.requests.append(request)
        if self.error is not None:
            return Error(self.error)
        return Ok(self.statuses[request.service])

    async def withdraw(
        self, service: ServiceName, who: str, reason: str
    ) -> Result[MoveStatus, BluebellError]:
        return Ok(dataclasses.replace(self.statuses[service], reason=reason))

    def status(self, service: ServiceName) -> MoveStatus | None:
        return self.statuses.get(service)

    def all_statuses(self) -> tuple[MoveStatus, ...]:
        return tuple(self.statuses.values())


class FakeMembership:
    """Records announcements."""

    def __init__(self) -> None:
        self.announced: list[Backend] = []
        self.draining = False

    @property
    def own_backend(self) -> Backend | None:
        return self.announced[-1] if self.announced else None

    def announce(self, backend: Backend) -> None:
        self.announced.append(backend)

    def leave(self) -> None:
        self.draining = True


@dataclasses.dataclass
class AppResponse:
    """A response of the administration API."""

    status: int
    headers: dict[str, str]
    body: Any


class AdminAppClient:
    """Calls the ASGI application directly, without a socket.

    With ``read_response=False`` the application blocks in its first send, as
    if the client did not read, and the returned response is empty.
    """

    def __init__(self, context: Context) -> None:
        self._app = AdminApp(context)

    async def call(
        self,
        method: str,
        target: str,
        token: str | None = OPERATOR_TOKEN,
        body: bytes | dict[str, Any] = b'',
        read_response: bool = True,
    ) -> AppResponse:
        path, _, query = target.partition('?')
        headers = []
        if token is not None:
            headers.append((b'authorization', f'Bearer {token}'.encode()))
        if isinstance(body, dict):
            body = msgspec.json.encode(body)
        incoming = [{'type': 'http.request', 'body': body, 'more_body': False}]
        sent: list[Any] = []

        async def receive() -> Any:
            return incoming.pop(0)

        async def send(message: Any) -> None:
            sent.append(message)
            if not read_response:
                await anyio.sleep_forever()

        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'query_string': query.encode(),
            'headers': headers,
        }
        await self._app(scope, receive, send)
        if not read_response:
            return AppResponse(0, {}, None)
        return AppResponse(
            status=sent[0]['status'],
            headers={
                name.decode(): text.decode()
                for name, text in sent[0]['headers']
            },
            body=msgspec.json.decode(sent[1]['body']),
        )


class FakeTransport:
    """Responds with what ``respond`` returns, and records the requests."""

    def __init__(
        self, respond: Callable[[AdminRequest], AdminResponse]
    ) -> None:
        self._respond = respond
        self.sent: list[AdminRequest] = []

    def send(self, request: AdminRequest) -> AdminResponse:
        self.sent.append(request)
        return self._respond(request)


def make_client(
    transport: FakeTransport, *nodes: str, pauses: list[float] | None = None
) -> AdminClient:
    """Return a client that appends its pauses to ``pauses``, in seconds."""
    recorded_pauses: list[float] = [] if pauses is None else pauses
    return AdminClient(
        ClientOptions(nodes or ('n1:1',), 'token'),
        transport,
        recorded_pauses.append,
        Random(1),
    )


class CapturedOutput:
    """Captures the lines that a command prints."""

    def __init__(self, as_json: bool = False) -> None:
        self.lines: list[str] = []
        self.console = Console(as_json, self.lines.append, self.lines.append)

    @property
    def text(self) -> str:
        return '\n'.join(self.lines)


def make_admin_response(
    body: msgspec.Struct, status: int = 200
) -> AdminResponse:
    return AdminResponse(status, msgspec.json.encode(body))
