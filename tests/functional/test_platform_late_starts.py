"""Requests that a stopping node can't finish any more.

They guard against requests that are passed on to a server late in the grace
period and then cut off, among them some that must not run twice: their bodies
arrive late, or they wait for a slot, and how long they run is known.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import msgspec
import pytest

from lib.calls import (
    Caller,
    ReceivedRequest,
    ReceivedResponse,
)
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

_GRACE_S = 4
_RUN_S = 1.0
# From the signal: before the node takes no more heads, and after the last time
# at which a run still ends before the cutoff, which is at 3.3 s.
_HEAD_AT_S = 0.3
_REST_AT_S = 2.6
_HANG_TIMEOUT_S = 20
_FIRST_BYTES = 200
_HELD = 'running'
_SIZES = {'short': 800, 'long': 60_000, 'chunked': 800}
_PATHS = {'peer': '/art/', 'local': '/own/'}
_CONFIG = make_document_json(
    3,
    *(
        make_route_json(
            f'r-{where}',
            path,
            'art' if where == 'peer' else 'store',
            kind='upload',
            timeout_s=30,
            target_latency_s=20,
        )
        for where, path in _PATHS.items()
    ),
)


class WorkingServer:
    """Runs each request for a time, or until it is released."""

    def __init__(self) -> None:
        self.request_ids: list[str] = []
        self.released = asyncio.Event()

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        request_id = request.headers['x-request-id']
        self.request_ids.append(request_id)
        if request_id == _HELD:
            await self.released.wait()
        else:
            await asyncio.sleep(_RUN_S)
        writer.write(encode_signed_response(request, b'done'))


class Mesh:
    """A calling node, and a node beside another server."""

    def __init__(
        self, where: str, slots: int = 4, *, has_spare: bool = False
    ) -> None:
        self.path = f'{_PATHS[where]}1'
        self.store = SimulatedStore()
        self.store.put('op', 'config', _CONFIG)
        self.servers = {'local': WorkingServer(), 'peer': WorkingServer()}
        self.server = self.servers[where]
        self.front = PlatformNode(
            'front',
            'store',
            self.store,
            self.servers['local'].handle,
            slots=slots,
        )
        self.back = PlatformNode(
            'back', 'art', self.store, self.servers['peer'].handle, slots=slots
        )
        self.target = self.front if where == 'local' else self.back
        self.spare_server = WorkingServer()
        self.spares = []
        if has_spare:
            spare = PlatformNode(
                'spare',
                self.target.service,
                self.store,
                self.spare_server.handle,
                domain='b',
            )
            self.spares.append(spare)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['Mesh', None]:
        """Run the nodes; how long requests run is known then."""
        nodes = [self.front, self.back, *self.spares]
        async with run_nodes(self.store, nodes):
            assert (await self.upload('warm-up')).status == 200
            assert not self.spare_server.request_ids
            yield self

    async def upload(self, request_id: str) -> ReceivedResponse:
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            return await self.front.call(
                self.path, request_id, method='POST', body=b'x'
            )

    async def stop_front(self) -> None:
        """Let the calling node stop as after SIGTERM."""
        front = self.front
        front.heartbeats_stopped = True
        bounds = msgspec.structs.replace(front.settings.bounds, grace=_GRACE_S)
        front.node._settings = msgspec.structs.replace(
            front.settings, bounds=bounds
        )
        await front.node._stop()


class SlowUpload:
    """An upload whose body arrives in two parts, long after one another."""

    def __init__(self, mesh: Mesh, form: str) -> None:
        self._mesh = mesh
        body = b'x' * _SIZES[form]
        framing = b'content-length: %d' % len(body)
        if form == 'chunked':
            framing = b'transfer-encoding: chunked'
            body = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
        self._body = body
        self._head = (
            b'POST %b HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: late\r\n%b\r\n\r\n'
        ) % (mesh.path.encode(), framing)

    async def begin(self) -> Caller:
        caller = await self._mesh.front.open_caller()
        caller.writer.write(self._head + self._body[:_FIRST_BYTES])
        await caller.writer.drain()
        return caller

    async def finish(self, caller: Caller) -> ReceivedResponse:
        with contextlib.suppress(OSError):
            caller.writer.write(self._body[_FIRST_BYTES:])
            await caller.writer.drain()
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        caller.close()
        return response


def check_refused(response: ReceivedResponse, mesh: Mesh) -> None:
    assert response.status == 503
    assert 'late' not in mesh.server.request_ids


@pytest.mark.parametrize('begun', ['before', 'after'])
@pytest.mark.parametrize('where', ['peer', 'local'])
@pytest.mark.parametrize('form', ['short', 'long', 'chunked'])
async def test_body_that_is_complete_too_late_is_not_passed_on(
    form: str, where: str, begun: str
) -> None:
    async with Mesh(where).running() as mesh:
        upload = SlowUpload(mesh, form)
        if begun == 'before':
            caller = await upload.begin()
            stopping = asyncio.create_task(mesh.stop_front())
        else:
            stopping = asyncio.create_task(mesh.stop_front())
            await asyncio.sleep(_HEAD_AT_S)
            caller = await upload.begin()
        await asyncio.sleep(_REST_AT_S)
        check_refused(await upload.finish(caller), mesh)
        await stopping


@pytest.mark.parametrize('where', ['peer', 'local'])
@pytest.mark.parametrize('form', ['short', 'long', 'chunked'])
async def test_late_body_is_not_passed_on_to_a_server_without_the_route(
    form: str, where: str
) -> None:
    """One server refused it for lack of time, the next took it."""
    async with Mesh(where, has_spare=True).running() as mesh:
        upload = SlowUpload(mesh, form)
        stopping = asyncio.create_task(mesh.stop_front())
        await asyncio.sleep(_HEAD_AT_S)
        caller = await upload.begin()
        await asyncio.sleep(_REST_AT_S)
        check_refused(await upload.finish(caller), mesh)
        assert not mesh.spare_server.request_ids
        await stopping


@pytest.mark.parametrize('where', ['peer', 'local'])
async def test_slot_that_is_free_too_late_is_not_taken(where: str) -> None:
    async with Mesh(where, slots=1).running() as mesh:
        gateway = mesh.target.node._data_plane.gateway
        running = asyncio.create_task(
            mesh.target.call(mesh.path, _HELD, method='POST', body=b'x')
        )

        async def is_running() -> bool:
            return _HELD in mesh.server.request_ids

        async def is_waiting() -> bool:
            return gateway.gate.waiting > 0

        await wait_until(is_running)
        waiting = asyncio.create_task(mesh.upload('late'))
        await wait_until(is_waiting)
        stopping = asyncio.create_task(mesh.stop_front())
        await asyncio.sleep(_REST_AT_S)
        mesh.server.released.set()
        check_refused(await waiting, mesh)
        assert (await running).status == 200
        await stopping


async def test_request_that_can_end_is_still_passed_on() -> None:
    async with Mesh('peer').running() as mesh:
        stopping = asyncio.create_task(mesh.stop_front())
        await asyncio.sleep(_HEAD_AT_S)
        assert (await mesh.upload('in-time')).status == 200
        await stopping
