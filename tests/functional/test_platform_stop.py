"""Tests of nodes that stop while they hold requests.

They guard against requests that a node has read and that end without a
response when the node stops, and against capacity that is awaited at a node
that no longer grants it.
"""

import asyncio
import contextlib
import datetime as dt
from collections.abc import AsyncGenerator

import msgspec
import pytest

from bluebellslip._internal.models.identity import Address, ServiceName
from bluebellslip._internal.nodes import stop_schedule
from bluebellslip._internal.proxy import withdrawals
from bluebellslip._internal.proxy.body_transfers import BodyTransferLimiter
from lib.calls import (
    Caller,
    ReceivedRequest,
    ReceivedResponse,
    RequestHandler,
)
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

_CONFIG = make_document_json(
    3,
    make_route_json('r-read', '/read/', 'art'),
    make_route_json(
        'r-art',
        '/art/',
        'art',
        kind='upload',
        timeout_s=30,
        target_latency_s=20,
    ),
)
_BODY = b'x' * 60_000
# Grace period of the stopping node, which must be longer than the time for
# which it accepts callers.
_GRACE_S = 4
_HANG_TIMEOUT_S = 20
# More than the bodies that may be in transit at the default rate of a link.
_OCCUPIED_BYTES = 30_000_000


@pytest.fixture
def patient_withdrawal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave time for a withdrawal, as busy machines need it."""
    monkeypatch.setattr(
        stop_schedule, 'WITHDRAWAL_TIME', dt.timedelta(seconds=2)
    )
    monkeypatch.setattr(
        withdrawals, 'QUERY_TIMEOUT', dt.timedelta(seconds=_HANG_TIMEOUT_S)
    )


@contextlib.asynccontextmanager
async def mesh(
    handler: RequestHandler | None = None, slots: int = 4
) -> AsyncGenerator[tuple[PlatformNode, SimulatedStore, PlatformNode], None]:
    """Run a calling node, and a node beside a server for uploads."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    front = PlatformNode('front', 'store', store, respond_signed(b'store'))
    back = PlatformNode(
        'back', 'art', store, handler or respond_signed(b'art'), slots=slots
    )
    async with run_nodes(store, [front, back]):
        yield front, store, back


@contextlib.asynccontextmanager
async def occupied_link(node: PlatformNode) -> AsyncGenerator[None, None]:
    """Take up the capacity for bodies that are sent to a node."""
    limiter = _get_limiter(node)
    limiter._in_transit += _OCCUPIED_BYTES
    try:
        yield
    finally:
        limiter.release(_OCCUPIED_BYTES)


def _get_limiter(node: PlatformNode) -> BodyTransferLimiter:
    return node.node._data_plane.body_transfers


async def wait_for_transfer(node: PlatformNode) -> None:
    """Wait until a body waits for the link to a node."""

    async def is_waiting() -> bool:
        return bool(_get_limiter(node)._waiting)

    await wait_until(is_waiting)


async def wait_for_slot(node: PlatformNode) -> None:
    """Wait until a request waits for a slot of the server beside a node."""

    async def is_waiting() -> bool:
        return node.node._data_plane.gateway.gate.waiting > 0

    await wait_until(is_waiting)


async def wait_for_requests(node: PlatformNode, count: int) -> None:
    """Wait until the server beside a node has received some requests."""

    async def has_received() -> bool:
        return len(node.server.received_requests) == count

    await wait_until(has_received)


def hold_until(event: asyncio.Event) -> RequestHandler:
    """Return a handler that responds once an event is set."""

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await event.wait()
        writer.write(encode_signed_response(request, b'art'))

    return handler


async def knows_servers(node: PlatformNode, count: int) -> bool:
    peer_table = node.node._state.peer_table
    return len(peer_table.endpoints(ServiceName('art'))) == count


async def is_idle(node: PlatformNode) -> bool:
    return not node.node._data_plane.peers.in_flight.count


async def is_receiving(node: PlatformNode) -> bool:
    return _get_limiter(node).in_transit > 0


async def stop(node: PlatformNode) -> None:
    """Let a node stop as after SIGTERM, to the end of its grace period."""
    node.heartbeats_stopped = True
    bounds = msgspec.structs.replace(node.settings.bounds, grace=_GRACE_S)
    node.node._settings = msgspec.structs.replace(node.settings, bounds=bounds)
    await node.node._stop()


async def upload(
    node: PlatformNode, request_id: str = 'u1', body: bytes = _BODY
) -> ReceivedResponse:
    async with asyncio.timeout(_HANG_TIMEOUT_S):
        return await node.call('/art/1', request_id, method='POST', body=body)


@pytest.mark.parametrize('sent', ['before', 'after'])
async def test_upload_that_waits_for_the_link_is_answered_when_its_node_stops(
    sent: str,
) -> None:
    async with mesh() as (front, _, back), occupied_link(back):
        if sent == 'before':
            uploading = asyncio.create_task(upload(front))
            await wait_for_transfer(back)
            await stop(front)
        else:
            stopping = asyncio.create_task(stop(front))
            await asyncio.sleep(0.5)
            uploading = asyncio.create_task(upload(front))
            await stopping
        await asyncio.sleep(0)
        assert front.node._data_plane.callers.in_flight.count == 0
        response = await uploading
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert response.headers['x-request-id'] == 'u1'
    assert not back.server.received_requests


@pytest.mark.usefixtures('patient_withdrawal')
@pytest.mark.parametrize('size', [len(_BODY), 1000])
async def test_request_that_waits_for_a_slot_elsewhere_is_refused_at_the_cutoff(
    size: int,
) -> None:
    released = asyncio.Event()
    async with mesh(hold_until(released), slots=1) as (front, _, back):
        running = asyncio.create_task(upload(back, 'b1'))
        await wait_for_requests(back, 1)
        waiting = asyncio.create_task(upload(front, body=_BODY[:size]))
        await wait_for_slot(back)
        await stop(front)
        response = await waiting
        released.set()
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        assert (await running).status == 200
        await wait_until(lambda: is_idle(back))
    assert len(back.server.received_requests) == 1


@pytest.mark.usefixtures('patient_withdrawal')
async def test_withdrawn_attempts_leave_running_requests_alone() -> None:
    released = asyncio.Event()
    async with mesh(hold_until(released), slots=1) as (front, _, back):
        running = asyncio.create_task(upload(front, 'u1'))
        await wait_for_requests(back, 1)
        waiting = asyncio.create_task(upload(front, 'u2'))
        await wait_for_slot(back)
        await front.node._data_plane.open_attempts.withdraw()
        assert (await waiting).status == 503
        released.set()
        assert (await running).status == 200
        assert (await upload(front, 'u3')).status == 503
        await wait_until(lambda: is_idle(back))
    assert len(back.server.received_requests) == 1


@pytest.mark.usefixtures('patient_withdrawal')
async def test_withdrawn_upload_is_refused_in_the_middle_of_its_body() -> None:
    """The caller of the front node is slow to send its body."""
    async with mesh() as (front, _, back):
        caller = await front.open_caller()
        caller.writer.write(
            b'POST /art/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: u1\r\ncontent-length: 60000\r\n\r\n'
        )
        caller.writer.write(_BODY[:1000])
        await wait_until(lambda: is_receiving(back))
        await front.node._data_plane.open_attempts.withdraw()
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            assert (await caller.receive()).status == 503
        await wait_until(lambda: is_idle(back))
        caller.close()
    assert not back.server.received_requests


async def test_request_is_not_passed_on_after_the_cutoff_of_its_node() -> None:
    """The node beside the server gets it late, as from a narrow link."""
    async with mesh() as (front, _, back):
        endpoints = front.node._state.peer_table.endpoints(ServiceName('art'))
        lifetime = endpoints[0].lifetime
        routing = (
            '["art","r-art",false,1,30000,20000,"store",'
            f'{lifetime.born},"{lifetime.server}",30000,false,0,-1]'
        )
        peer = await Caller.open(Address.from_text(back.listen.peers))
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await peer.call(
                '/art/1',
                method='POST',
                body=b'x',
                x_request_id='u1',
                bluebell_work=routing,
            )
        peer.close()
        assert response.status == 503
        assert response.headers['bluebell-not-run'] == '1'
    assert not back.server.received_requests


async def test_request_that_starts_after_the_cutoff_makes_no_attempt() -> None:
    async with mesh() as (front, _, back):
        assert (await front.call('/read/1', 'r1')).status == 200
        now = front.node._clock.elapsed()
        front.node._data_plane.callers.set_cutoff(now - dt.timedelta(seconds=1))
        response = await front.call('/read/1', 'r2')
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
        await wait_until(lambda: is_idle(back))
    assert len(back.server.received_requests) == 1


async def test_upload_moves_on_when_the_node_it_waits_at_stops() -> None:
    async with mesh() as (front, store, back), occupied_link(back):
        uploading = asyncio.create_task(upload(front))
        await wait_for_transfer(back)
        other = PlatformNode('other', 'art', store, respond_signed(b'other'))
        async with other.running():
            await wait_until(lambda: knows_servers(front, 2))
            stopping = asyncio.create_task(stop(back))
            response = await uploading
            assert (response.status, response.body) == (200, b'other')
            assert not stopping.done()
            await stopping
    assert not back.server.received_requests


async def test_upload_moves_on_when_the_node_it_waits_at_is_killed() -> None:
    async with mesh() as (front, store, back), occupied_link(back):
        uploading = asyncio.create_task(upload(front))
        await wait_for_transfer(back)
        other = PlatformNode('other', 'art', store, respond_signed(b'other'))
        async with other.running():
            await wait_until(lambda: knows_servers(front, 2))
            back.node._listeners._peers.close()
            response = await uploading
            assert (response.status, response.body) == (200, b'other')
    assert not back.server.received_requests


async def test_cutoff_of_a_stopping_node_is_no_failure_of_the_server() -> None:
    """The server honours the deadline it is told, and responds after it."""

    async def outlast(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        deadline_s = int(request.headers['x-deadline-ms']) / 1000
        await asyncio.sleep(min(deadline_s, _GRACE_S + 1))
        writer.write(encode_signed_response(request, b'late', 504))

    async with mesh(outlast) as (front, _, back):
        stopping = asyncio.create_task(stop(front))
        await asyncio.sleep(0.5)
        response = await upload(front)
        assert response.status == 502
        await stopping
        await wait_until(lambda: is_idle(back))
        assert back.node._data_plane.gateway.measurements.failure_rate == 0


async def test_request_that_has_not_run_anywhere_gets_503() -> None:
    async with mesh() as (front, _, back), occupied_link(back):
        uploading = asyncio.create_task(upload(front))
        await wait_for_transfer(back)
        back.node._listeners._peers.close()
        response = await uploading
        assert response.status == 503
        assert float(response.headers['retry-after']) > 0
    assert not back.server.received_requests


async def test_stopping_node_waits_for_the_bodies_it_receives() -> None:
    """The caller of the front node is slow to send its body."""
    async with mesh() as (front, _, back):
        caller = await front.open_caller()
        caller.writer.write(
            b'POST /art/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: u1\r\ncontent-length: 60000\r\n\r\n'
        )
        caller.writer.write(_BODY[:1000])
        await wait_until(lambda: is_receiving(back))
        stopping = asyncio.create_task(stop(back))
        await asyncio.sleep(
            stop_schedule.CALLER_ACCEPT_TIME.total_seconds() + 0.3
        )
        assert not stopping.done()
        caller.writer.write(_BODY[1000:])
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            response = await caller.receive()
        assert response.status == 503
        await stopping
        assert back.node._remainder.peers == 0
        caller.close()
    assert not back.server.received_requests


async def test_request_read_after_the_listener_is_shut_down_is_refused() -> (
    None
):
    async with mesh() as (front, _, back):
        caller = await front.open_caller()
        peer = await Caller.open(Address.from_text(back.listen.peers))
        await caller.call('/read/1', service='shop.example', x_request_id='r1')
        for node in (front, back):
            for listener in node.node._listeners:
                listener._state.shutting_down = True
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            refused = await caller.call(
                '/read/1', service='shop.example', x_request_id='r2'
            )
            refused_peer = await peer.call('/read/1', service='shop.example')
        for response in (refused, refused_peer):
            assert response.status == 503
            assert response.headers['connection'] == 'close'
            assert float(response.headers['retry-after']) > 0
    assert len(back.server.received_requests) == 1


async def test_stopping_node_closes_no_connection_that_is_still_used() -> None:
    """Requests that cross the close would have to be sent again."""
    async with mesh() as (front, _, _):
        caller = await front.open_caller()
        stopping = asyncio.create_task(stop(front))
        await asyncio.sleep(0)
        for number in range(3):
            response = await caller.call(
                '/read/1', service='shop.example', x_request_id=f'r{number}'
            )
            assert response.status == 200
            assert 'connection' not in response.headers
        await stopping
        caller.close()


async def test_late_request_is_refused_like_any_other() -> None:
    async with mesh() as (front, _, back):
        caller = await front.open_caller()
        for listener in front.node._listeners:
            listener._state.shutting_down = True
        async with asyncio.timeout(_HANG_TIMEOUT_S):
            refused = await caller.call(
                '/read/1', service='shop.example', x_request_id='r1'
            )
        caller.close()
        assert refused.status == 503
        assert refused.headers['x-request-id'] == 'r1'
        assert float(refused.headers['retry-after']) < 1
        assert refused.headers['connection'] == 'close'
    assert not back.server.received_requests


async def test_server_that_refuses_as_draining_is_not_asked_again() -> None:
    """Its load falls while its node's beacons are late."""
    async with mesh() as (front, store, back):
        other = PlatformNode('other', 'art', store, respond_signed(b'other'))
        async with other.running():
            await wait_until(lambda: knows_servers(front, 2))
            back.node._data_plane.gateway.close()
            for number in range(30):
                response = await front.call('/art/1', f'a{number}')
                assert (response.status, response.body) == (200, b'other')
            endpoints = front.node._state.peer_table.endpoints(
                ServiceName('art')
            )
            failures = [endpoint.connect_failures for endpoint in endpoints]
    assert sorted(failures) == [0, 1]
