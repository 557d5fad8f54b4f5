"""Processes of the call benchmarks: backend servers, nodes, forwarders.

Run as ``python -m bench.mesh SPEC`` with a specification in JSON.
"""

import asyncio
import sys
from random import Random
from typing import Final, TypeAlias

import anyio
import httpcore
import msgspec
import uvicorn
from uvicorn._types import (
    ASGIReceiveCallable,
    ASGISendCallable,
    HTTPScope,
)

from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.framing import build_request_head
from bluebellslip._internal.calls.plugin import CallsPlugin
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.models.config import (
    ClassSpec,
    ConfigDocument,
    Preference,
    RouteSpec,
    ServiceSpec,
    SnapshotRecord,
    TargetSpec,
)
from bluebellslip._internal.models.facts import (
    Backend,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
)
from bluebellslip._internal.models.settings import (
    ListenSettings,
    NodeSettings,
    PlatformSettings,
)
from bluebellslip._internal.utils.digests import (
    compute_digest,
    decode_snapshot,
    encode_record,
)

RESPONSE_BODY: Final = b'hello'
_UNUSED_ADDRESS: Final = '127.0.0.9:1'


class ServerSpec(msgspec.Struct, tag='server'):
    """A backend server: its slots, and the time that a call occupies one."""

    listen: str
    slots: int = 1000
    service_ms: float = 0


class ForwarderSpec(msgspec.Struct, tag='forwarder'):
    """A forwarder: a uvicorn server and a client, ``httpcore`` or ``pool``.

    ``pool`` is the project's own connection pool.
    """

    listen: str
    target: str
    client: str
    attempts: int = 1
    try_timeout_s: float = 5


class NodeSpec(msgspec.Struct, tag='node'):
    """A node that runs only the plug-in for calls."""

    name: str
    egress: str
    ingress: str
    backend: Backend | None = None
    peers: tuple[MemberFact, ...] = ()
    timeout: str = '5s'


Spec: TypeAlias = ServerSpec | ForwarderSpec | NodeSpec


def make_document(timeout: str, services: tuple[str, ...]) -> ConfigDocument:
    """Return a configuration with one call class and a route per service."""
    return ConfigDocument(
        mesh='bench',
        preference=Preference.SAFETY,
        classes=(
            ClassSpec(
                name='reads',
                target=TargetSpec(latency='250ms'),
                timeout=timeout,
            ),
        ),
        services=tuple(
            ServiceSpec(name=service, team='bench') for service in services
        ),
        routes=tuple(
            RouteSpec(name=service, service=service, path='/', work='reads')
            for service in services
        ),
    )


class FixedMembership:
    """Membership in which a backend server's announcement never expires."""

    def __init__(self, backend: Backend | None) -> None:
        self.own_backend = backend
        self.draining = False

    def announce(self, backend: Backend) -> None:
        """Replace the announced backend server."""
        self.own_backend = backend

    def leave(self) -> None:
        """Mark the node as draining."""
        self.draining = True


def make_context(spec: NodeSpec, document: ConfigDocument) -> Context:
    """Return a node's context with the document applied and the peers known."""
    settings = NodeSettings(
        node=spec.name,
        mesh='bench',
        region='north',
        failure_domain='a',
        listen=ListenSettings(
            egress=spec.egress,
            ingress=spec.ingress,
            peer=_UNUSED_ADDRESS,
            admin=_UNUSED_ADDRESS,
        ),
        platform=PlatformSettings(
            table=f'http://{_UNUSED_ADDRESS}',
            objects=f'http://{_UNUSED_ADDRESS}',
        ),
        peer_key='0123456789abcdef',
    )
    context = Context.from_settings(
        settings, SystemClock(), Random(spec.name), InMemoryCounters()
    )
    context.ports.provide(Membership, FixedMembership(spec.backend))
    body = encode_record(
        SnapshotRecord(revision=1, previous='', document=document)
    )
    context.applied.apply(decode_snapshot(body, compute_digest(body)))
    context.facts.merge(spec.peers)
    return context


def make_member(name: str, ingress: Address, backend: Backend) -> MemberFact:
    """Return the member record of a node beside a backend server."""
    return MemberFact(
        node=NodeId(name),
        incarnation=1,
        status=MemberStatus.ALIVE,
        changed=0,
        locality=Locality('north', 'a'),
        peer=Address.from_text(_UNUSED_ADDRESS),
        ingress=ingress,
        applied=1,
        backend=backend,
    )


class ServerApp:
    """An ASGI application that responds after its service time."""

    def __init__(self, spec: ServerSpec) -> None:
        self._slots = asyncio.Semaphore(spec.slots)
        self._service_time_s = spec.service_ms / 1000

    async def __call__(
        self,
        scope: HTTPScope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
    ) -> None:
        """Respond after the service time or when the caller disconnects."""
        if self._service_time_s:
            work = asyncio.create_task(self._hold_slot())
            disconnected = asyncio.create_task(self._await_disconnect(receive))
            await asyncio.wait(
                (work, disconnected), return_when=asyncio.FIRST_COMPLETED
            )
            work.cancel()
            disconnected.cancel()
        await send_response(send, 200, RESPONSE_BODY)

    async def _hold_slot(self) -> None:
        """Wait indefinitely for a slot; hold it for the service time."""
        async with self._slots:
            await asyncio.sleep(self._service_time_s)

    async def _await_disconnect(self, receive: ASGIReceiveCallable) -> None:
        kind = ''
        while kind != 'http.disconnect':
            kind = (await receive())['type']


class ForwarderApp:
    """An ASGI forwarder with immediate retries and no admission control."""

    def __init__(self, spec: ForwarderSpec) -> None:
        self._spec = spec
        self._address = Address.from_text(spec.target)
        self._pool = ConnectionPool(InMemoryCounters())
        self._httpcore_pool = httpcore.AsyncConnectionPool(
            max_connections=1000, max_keepalive_connections=100
        )

    async def __call__(
        self,
        scope: HTTPScope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
    ) -> None:
        """Forward one request; respond with 504 if every attempt fails."""
        forward = (
            self._request_by_httpcore
            if self._spec.client == 'httpcore'
            else self._request_by_pool
        )
        for _ in range(self._spec.attempts):
            try:
                async with asyncio.timeout(self._spec.try_timeout_s):
                    body = await forward(scope)
            except (TimeoutError, httpcore.NetworkError, BluebellError):
                continue
            await send_response(send, 200, body)
            return
        await send_response(send, 504, b'')

    async def _request_by_httpcore(self, scope: HTTPScope) -> bytes:
        path = scope['path']
        response = await self._httpcore_pool.request(
            scope['method'],
            f'http://{self._spec.target}{path}',
            headers=list(scope['headers']),
        )
        return response.content

    async def _request_by_pool(self, scope: HTTPScope) -> bytes:
        with Exchange(self._pool, self._address) as exchange:
            await exchange.open()
            exchange.connection.begin(
                build_request_head(
                    scope['method'].encode(),
                    scope['raw_path'],
                    list(scope['headers']),
                ),
                head_only=False,
                is_complete=True,
            )
            await exchange.connection.response()
            return await exchange.connection.body.read_all()


async def send_response(
    send: ASGISendCallable, status: int, body: bytes
) -> None:
    """Send a complete response."""
    await send({
        'type': 'http.response.start',
        'status': status,
        'headers': [(b'content-length', b'%d' % len(body))],
        'trailers': False,
    })
    await send({
        'type': 'http.response.body',
        'body': body,
        'more_body': False,
    })


async def serve_app(app: ServerApp | ForwarderApp, listen: str) -> None:
    """Serve an application with uvicorn until the process is killed."""
    address = Address.from_text(listen)
    config = uvicorn.Config(
        app,
        host=address.host,
        port=address.port,
        loop='asyncio',
        http='httptools',
        lifespan='off',
        access_log=False,
        log_level='warning',
        backlog=4096,
    )
    await uvicorn.Server(config).serve()


async def run_node(spec: NodeSpec) -> None:
    """Serve calls as a node until the process is killed."""
    document = make_document(spec.timeout, ('orders',))
    plugin = CallsPlugin.from_context(make_context(spec, document))
    async with anyio.create_task_group() as group:
        await group.start(plugin.run)


async def run_spec(spec: Spec) -> None:
    """Run the process that a specification describes."""
    if isinstance(spec, ServerSpec):
        await serve_app(ServerApp(spec), spec.listen)
    elif isinstance(spec, ForwarderSpec):
        await serve_app(ForwarderApp(spec), spec.listen)
    else:
        await run_node(spec)


def main() -> None:
    """Run the process that the command line's argument describes."""
    anyio.run(run_spec, msgspec.json.decode(sys.argv[1], type=Spec))


if __name__ == '__main__':
    main()
