"""Tests of calls through real nodes on a simulated platform.

They guard against requests that run twice or reach a departed server, callers
that get an incomplete response or the response to another request, and
statuses that wrongly promise that a request did not run. Such faults come from
servers that fail or drain, from callers that disconnect, and from invalid
input.
"""

import asyncio
import contextlib
import copy
import json
import logging
from collections.abc import AsyncGenerator

import pytest

from bluebellslip._internal.exceptions import BluebellError, ErrorKind
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.nodes.listeners import MAX_PIPELINED_REQUESTS
from bluebellslip._internal.proxy.error_statuses import choose_status
from lib.calls import (
    Caller,
    ReceivedRequest,
    ReceivedResponse,
    RequestHandler,
)
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_not_executed,
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
    make_route_json('r-read', '/read/', 'store'),
    make_route_json('r-buy', '/buy/', 'store', kind='non_idempotent'),
    make_route_json('r-long', '/long/', 'store', timeout_s=60),
    make_route_json(
        'r-order', '/order/', 'store', kind='non_idempotent', timeout_s=60
    ),
    make_route_json('r-art', '/art/', 'art', kind='upload'),
)
_TRUNCATED = (
    b'HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Server-Signature: s\r\n'
    b'Content-Length: 99\r\n\r\nshort'
)
_CHUNKED_BODY = (
    b'HTTP/1.1 200 X\r\nX-Request-Id: r1\r\nX-Server-Signature: s\r\n'
    b'transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n'
)
_LONG_TRAILERS = (
    b'POST /buy/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id: r1\r\n'
    b'transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%b'
) % (b'a: b\r\n' * 9999)
_OVERSIZED_BODY = (
    b'POST /art/1 HTTP/1.1\r\nhost: shop.example\r\n'
    b'content-length: 200000\r\n\r\n'
)


async def has_revision(node: PlatformNode, revision: int) -> bool:
    return node.node._state.holder.revision == revision


@contextlib.asynccontextmanager
async def mesh(
    *handlers: RequestHandler, slots: int = 4
) -> AsyncGenerator[
    tuple[SimulatedStore, PlatformNode, list[PlatformNode]], None
]:
    """Run a calling node, and a node beside each server of ``handlers``.

    These servers belong to the service ``store``, and the local server of the
    calling node to the service ``art``.
    """
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    front = PlatformNode('front', 'art', store, respond_signed(b'art'))
    backs = [
        PlatformNode(f'back-{number}', 'store', store, handler, slots=slots)
        for number, handler in enumerate(handlers)
    ]
    async with run_nodes(store, [front, *backs]):
        yield store, front, backs


def failing_once(
    first_response: bytes | None,
) -> tuple[RequestHandler, list[str]]:
    """Return a handler that fails its first request, and a list of ids.

    The list has the identifiers of the requests received so far. Several
    servers may share the handler. The failed request gets ``first_response``,
    if any, and then the connection is closed.
    """
    request_ids: list[str] = []

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        request_ids.append(request.headers['x-request-id'])
        if len(request_ids) > 1:
            writer.write(encode_signed_response(request, b'whole'))
            return
        if first_response is not None:
            writer.write(first_response)
            await writer.drain()
        writer.close()

    return handler, request_ids


async def test_call_over_two_nodes_sets_the_headers_for_the_server() -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, [back]):
        response = await front.call('/read/1?x=2', x_deadline_ms='900')
        assert (response.status, response.body) == (200, b'hello')
        assert response.headers['X-Server-Signature'.lower()] == 's'
        [seen] = back.server.received_requests
    assert seen.request_line == 'GET /read/1?x=2 HTTP/1.1'
    assert seen.headers['x-expected-instance'] == 'i-1-back-0'
    assert seen.headers['x-caller-service'] == 'art'
    assert 0 < int(seen.headers['x-deadline-ms']) <= 900
    assert not [name for name in seen.headers if name.startswith('bluebell')]


async def test_call_to_the_local_service_stays_on_the_node() -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, _):
        response = await front.call('/art/1', method='POST', body=b'x' * 9)
        assert response.body == b'art'
        assert front.server.received_requests[0].body == b'x' * 9


async def test_caller_can_not_forge_its_service_name() -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, [back]):
        await front.call('/read/1', x_caller_service='bank')
        assert (
            back.server.received_requests[0].headers['x-caller-service']
            == 'art'
        )


async def test_unknown_route_or_host_is_not_found() -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, _):
        assert (await front.call('/other/1')).status == 404
        caller = await front.open_caller()
        response = await caller.call('/read/1', service='else.example')
        assert response.status == 404
        caller.close()


async def test_long_text_of_a_caller_is_quoted_in_full(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Callers would choose how long log lines and responses are."""
    caplog.set_level(logging.INFO)
    async with mesh(respond_signed(b'hello')) as (_, front, _):
        caller = await front.open_caller()
        response = await caller.call(
            f'/other/{"x" * 1500}',
            service='shop.example',
            x_request_id='i' * 1500,
        )
        caller.close()
    assert response.status == 404
    assert len(response.body) < 1000
    [record] = (
        found
        for found in caplog.records
        if found.getMessage() == 'request_failed'
    )
    assert len(record.request) < 300  # type: ignore[attr-defined]
    assert len(record.detail) < 1000  # type: ignore[attr-defined]


async def test_concurrent_pipelined_requests_respond_in_order() -> None:
    running = 0
    max_running = 0

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        nonlocal running, max_running
        running += 1
        max_running = max(max_running, running)
        number = int(request.headers['x-request-id'])
        await asyncio.sleep(0.2 - 0.04 * number)
        running -= 1
        writer.write(encode_signed_response(request, b'%d' % number))

    async with mesh(handler) as (_, front, _):
        caller = await front.open_caller()
        for number in range(4):
            caller.writer.write(
                b'GET /read/%d HTTP/1.1\r\nhost: shop.example\r\n'
                b'x-request-id: %d\r\n\r\n' % (number, number)
            )
        bodies = [(await caller.receive()).body for _ in range(4)]
        caller.close()
    assert bodies == [b'0', b'1', b'2', b'3']
    assert max_running == 4


@pytest.mark.parametrize(
    'broken',
    [
        None,
        _TRUNCATED,
        b'garbage\r\n',
        b'HTTP/1.1 200 X\r\n%b' % (b'a: b\r\n' * 9999),
        b'HTTP/1.1 102 X\r\n\r\n' * 9999,
        b'%b%b' % (_CHUNKED_BODY, b'a: b\r\n' * 9999),
    ],
)
async def test_safe_request_is_retried_after_an_invalid_response(
    broken: bytes | None,
) -> None:
    handler, request_ids = failing_once(broken)
    async with mesh(handler, handler) as (_, front, _):
        response = await front.call('/read/1')
    assert (response.status, response.body) == (200, b'whole')
    assert request_ids == ['r1', 'r1']


async def test_unsafe_request_is_not_retried_once_it_may_have_run() -> None:
    handler, request_ids = failing_once(None)
    async with mesh(handler, handler) as (_, front, _):
        response = await front.call('/buy/1', method='POST', body=b'x')
    assert response.status == 502
    assert request_ids == ['r1']


async def test_request_not_executed_by_a_server_is_retried() -> None:
    received_bodies: list[bytes] = []

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        received_bodies.append(request.body)
        text = (
            encode_not_executed()
            if len(received_bodies) == 1
            else encode_signed_response(request, b'ok')
        )
        writer.write(text)

    async with mesh(handler, handler) as (_, front, _):
        response = await front.call('/buy/1', method='POST', body=b'order')
    assert (response.status, response.body) == (200, b'ok')
    assert received_bodies == [b'order', b'order']


async def test_success_without_signature_is_an_error() -> None:
    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        writer.write(b'HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nno')

    async with mesh(handler) as (_, front, _):
        response = await front.call('/buy/1', method='POST', body=b'x')
    assert response.status == 502


async def test_stray_response_to_an_earlier_request_is_discarded() -> None:
    """Each response is preceded by another one to the previous request."""
    earlier: list[ReceivedRequest] = []

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        for stray in earlier:
            writer.write(encode_signed_response(stray, b'stray'))
        earlier[:] = [request]
        writer.write(
            encode_signed_response(
                request, request.headers['x-request-id'].encode()
            )
        )

    async with mesh(handler) as (_, front, _):
        for number in range(4):
            response = await front.call('/buy/1', f'id{number}', method='POST')
            assert (response.status, response.body) == (200, b'id%d' % number)


async def test_error_response_of_a_server_is_passed_on_unchanged() -> None:
    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        writer.write(encode_signed_response(request, b'sorry', 500))

    async with mesh(handler) as (_, front, _):
        response = await front.call('/buy/1', method='POST')
    assert (response.status, response.body) == (500, b'sorry')
    assert response.headers['x-server-signature'] == 's'


async def test_refusal_for_lack_of_capacity_has_a_retry_after_header() -> None:
    """The only slot stays taken until the second request is refused.

    The refused request would miss its target latency, long before its deadline.
    """
    refused = asyncio.Event()

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        await refused.wait()
        writer.write(encode_signed_response(request, b'done'))

    async with mesh(handler, slots=1) as (_, front, [back]):
        first = asyncio.create_task(
            front.call('/order/1', 'one', method='POST')
        )
        await wait_until(lambda: _has_seen(back, 1))
        response = await front.call('/order/1', 'two', method='POST')
        assert response.status == 503
        assert json.loads(response.body)['kind'] == 'overloaded'
        assert float(response.headers['retry-after']) > 0
        refused.set()
        assert (await first).status == 200
        assert len(back.server.received_requests) == 1


async def _has_seen(node: PlatformNode, count: int) -> bool:
    return len(node.server.received_requests) >= count


async def test_request_times_out_at_its_deadline() -> None:
    async with mesh(respond_signed(b'late', delay=5)) as (_, front, _):
        response = await front.call('/read/1', x_deadline_ms='150')
    assert response.status == 504


async def test_caller_disconnect_closes_the_server_connection() -> None:
    disconnected = asyncio.Event()

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        with contextlib.suppress(OSError):
            assert await reader.read() == b''
        disconnected.set()

    async with mesh(handler) as (_, front, [back]):
        caller = await front.open_caller()
        caller.writer.write(
            b'GET /long/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: r1\r\n\r\n'
        )
        await wait_until(lambda: _has_seen(back, 1))
        caller.close()
        async with asyncio.timeout(10):
            await disconnected.wait()


@pytest.mark.parametrize(
    ('request_text', 'status'),
    [
        (
            b'GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx: %b'
            % (b'a' * 9999),
            431,
        ),
        (
            _OVERSIZED_BODY,
            413,
        ),
        (_LONG_TRAILERS, 431),
        (b'GET /read/1 HTTP/1.1\r\nhost: shop.example\r\nx-request-id', 408),
        (b'nonsense\r\n\r\n', 400),
        (b'GET /read/1 HTTP/1.1\r\n\r\n', 400),
    ],
)
async def test_invalid_input_is_refused(
    request_text: bytes, status: int
) -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, _):
        caller = await front.open_caller()
        caller.writer.write(request_text)
        async with asyncio.timeout(10):
            response = await caller.receive()
        caller.close()
    assert response.status == status


async def test_chunked_upload_reaches_the_server_complete() -> None:
    async with mesh(respond_signed(b'stored')) as (_, front, [back]):
        caller = await front.open_caller()
        caller.writer.write(
            b'POST /buy/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: r1\r\ntransfer-encoding: chunked\r\n\r\n'
        )
        for _ in range(5):
            caller.writer.write(b'4e20\r\n%b\r\n' % (b'x' * 20_000))
            await asyncio.sleep(0.01)
        caller.writer.write(b'0\r\n\r\n')
        response = await caller.receive()
        caller.close()
        assert (response.status, response.body) == (200, b'stored')
        assert len(back.server.received_requests[0].body) == 100_000


async def test_metrics_are_served() -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, _):
        assert front.listen.metrics is not None
        caller = await Caller.open(Address.from_text(front.listen.metrics))
        response = await caller.call('/metrics')
        caller.close()
    assert (response.status, response.body) == (200, b'metrics')


async def test_malformed_heartbeat_is_refused_without_effect() -> None:
    async with mesh(respond_signed(b'hello')) as (_, front, [back]):
        for body in (b'', b'{}', b'\xff', json.dumps({'seq': 'x'}).encode()):
            assert (await back.call_server_api('PUT', body)).status == 400
        assert (await front.call('/read/1')).status == 200


async def test_draining_server_gets_no_more_requests() -> None:
    async with mesh(respond_signed(b'one'), respond_signed(b'two')) as (
        _,
        front,
        backs,
    ):
        backs[0].heartbeats_stopped = True
        assert (await backs[0].send_heartbeat('draining')).status == 200
        for number in range(8):
            response = await front.call('/read/1', f'id{number}')
            assert response.body == b'two'


async def test_departed_server_gets_no_more_requests() -> None:
    async with mesh(respond_signed(b'one'), respond_signed(b'two')) as (
        _,
        front,
        backs,
    ):
        assert (await backs[0].call_server_api('DELETE')).status == 200
        await backs[0].send_heartbeat()
        for number in range(8):
            response = await front.call('/read/1', f'id{number}')
            assert response.body == b'two'


async def test_continuous_pipelining_does_not_delay_shutdown() -> None:
    async with mesh(respond_signed(b'hello', delay=0.05)) as (_, front, _):
        caller = await front.open_caller()
        received: list[ReceivedResponse] = []

        async def send_continuously() -> None:
            with contextlib.suppress(OSError):
                for number in range(400):
                    caller.writer.write(
                        b'GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n'
                        b'x-request-id: %d\r\n\r\n' % number
                    )
                    await asyncio.sleep(0.01)

        sending = asyncio.create_task(send_continuously())
        for _ in range(5):
            assert (await caller.receive()).status == 200
        listeners = front.node._listeners
        listeners.start_draining()
        listeners.shut_down()
        with contextlib.suppress(asyncio.IncompleteReadError, OSError):
            async with asyncio.timeout(10):
                while True:
                    received.append(await caller.receive())
        sending.cancel()
        caller.close()
        assert not front.node._data_plane.callers.in_flight.count
    *earlier, last = received
    assert all(response.status == 200 for response in earlier)
    assert last.status in {200, 503}
    assert last.headers['connection'] == 'close'
    assert len(received) <= 10


async def test_partial_head_behind_pipelined_requests_does_not_abort_them() -> (
    None
):
    """The node itself pauses reading, so the rest of the head can't arrive."""
    config = copy.deepcopy(_CONFIG)
    config['limits']['header_timeout_s'] = 0.2
    responder = respond_signed(b'hello', delay=1.5)
    async with mesh(responder, slots=12) as (store, front, _):
        store.put('op', 'config', config | {'version': 4})
        await wait_until(lambda: has_revision(front, 4))
        caller = await front.open_caller()
        for number in range(MAX_PIPELINED_REQUESTS + 1):
            caller.writer.write(
                b'GET /long/1 HTTP/1.1\r\nhost: shop.example\r\n'
                b'x-request-id: p%d\r\n\r\n' % number
            )
        caller.writer.write(b'GET /long/1 HTTP/1.1\r\nhost: shop')
        for number in range(MAX_PIPELINED_REQUESTS + 1):
            response = await caller.receive()
            assert response.status == 200
            assert response.headers['x-request-id'] == f'p{number}'
        caller.close()


async def test_invalid_input_behind_a_request_leaves_its_response() -> None:
    async with mesh(respond_signed(b'hello', delay=0.5)) as (_, front, _):
        caller = await front.open_caller()
        caller.writer.write(
            b'GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n'
            b'x-request-id: r1\r\n\r\nno request at all\r\n\r\n'
        )
        response = await caller.receive()
        assert (response.status, response.body) == (200, b'hello')
        assert await caller.reader.read() == b''
        caller.close()


@pytest.mark.parametrize('kind', list(ErrorKind))
def test_not_run_statuses_are_used_only_if_nothing_may_have_run(
    kind: ErrorKind,
) -> None:
    error = BluebellError('x')
    error.kind = kind  # type: ignore[misc]
    assert choose_status(error, may_have_run=True) not in {408, 421, 429, 503}
