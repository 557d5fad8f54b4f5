"""Tests of the work and the memory that input causes, counted without a clock.

They guard against a caller whose bytes hold the event loop for all others,
against input that stays in memory after it was parsed, and against connections
that stay after their end.
"""

import asyncio
import gc
import sys
import weakref
from collections.abc import Iterator
from typing import cast

import pytest

from bluebellslip._internal.calls.inbound import InboundConnection
from bluebellslip._internal.calls.input_meter import MAX_HEADERS
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.listener_state import ListenerState
from bluebellslip._internal.calls.memory_budget import (
    MEGABYTE,
    Holder,
    MemoryBudget,
)
from bluebellslip._internal.calls.memory_shares import REQUEST_BYTES
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.kernel.counters import InMemoryCounters
from lib.fake_transport import FakeTransport, deliver

pytestmark = pytest.mark.anyio

_UPLOAD = b'POST /1 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
_GET = b'GET /%d HTTP/1.1\r\nhost: a\r\n\r\n'
_SMALL_CHUNKS = 40_000
_LIMITS = CallerLimits(max_pipelined=8, buffered_bytes=1 << 19)
# Calls into Python for each request, the parser's included.
_CALLS_FOR_REQUEST = 300


class _Handler:
    """Keeps the requests, and answers them when the test says so."""

    def __init__(self) -> None:
        self.requests: list[InboundRequest] = []
        self._allowed = asyncio.Event()

    async def handle(self, request: InboundRequest) -> None:
        self.requests.append(request)
        await self._allowed.wait()
        request.reply.respond(200, [], b'')

    def allow(self) -> None:
        self._allowed.set()


class _Caller:
    """A connection, and the caller at its other end."""

    def __init__(self, handler: _Handler, state: ListenerState) -> None:
        self.transport = FakeTransport()
        self.connection = InboundConnection(handler, InMemoryCounters(), state)
        self.connection.connection_made(cast(asyncio.Transport, self.transport))

    def send(self, text: bytes) -> int:
        """Send as much as the node reads at once; return that number."""
        return deliver(self.connection, text)

    async def send_all(self, text: bytes) -> None:
        """Send all, as fast as the node reads."""
        rest = text
        while rest:
            if self.transport.is_reading():
                rest = rest[self.send(rest) :]
            await asyncio.sleep(0)


class _Profile:
    """Counts the calls of functions while it is in use."""

    def __init__(self) -> None:
        self.calls = 0

    def __enter__(self) -> '_Profile':
        sys.setprofile(self._count)
        return self

    def __exit__(self, *raised: object) -> None:
        sys.setprofile(None)

    def _count(self, frame: object, event: str, argument: object) -> None:
        self.calls += event in {'call', 'c_call'}


def make_state(budget: MemoryBudget | None = None) -> ListenerState:
    return ListenerState(_LIMITS, memory=budget or MemoryBudget())


async def run_tasks() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


async def test_small_chunks_are_parsed_in_turns() -> None:
    """Others go on between two parts of such a body."""
    handler = _Handler()
    state = make_state()
    caller = _Caller(handler, state)
    other = _Caller(handler, state)
    caller.send(_UPLOAD)
    await run_tasks()
    body = handler.requests[0].body
    with _Profile() as profile:
        sent = caller.send(b'1\r\nx\r\n' * _SMALL_CHUNKS)
    # The rest of a part of 1 KiB, and one of 16 KiB: 2,901 chunks.
    assert 0 < body.size <= 3000
    assert profile.calls <= 6000
    other.send(_GET % 2)
    await asyncio.sleep(0)
    assert len(handler.requests) == 2
    assert body.size <= 3 * 3000
    await run_tasks()
    assert sent // 6 - 1 <= body.size <= sent // 6 + 1


async def test_all_small_chunks_arrive() -> None:
    handler = _Handler()
    caller = _Caller(handler, make_state())
    caller.send(_UPLOAD)
    await run_tasks()
    request = handler.requests[0]
    received = 0
    rest = b'%b0\r\n\r\n%b' % (b'1\r\nx\r\n' * _SMALL_CHUNKS, _GET % 2)
    while rest:
        if caller.transport.is_reading():
            rest = rest[caller.send(rest) :]
        await asyncio.sleep(0)
        received += len(request.body.take())
    await run_tasks()
    assert received + len(request.body.take()) == _SMALL_CHUNKS
    assert request.body.complete
    assert [found.target for found in handler.requests] == [b'/1', b'/2']


async def test_connections_with_small_chunks_share_a_turn() -> None:
    """The work of a turn doesn't grow with the number of such callers."""
    handler = _Handler()
    state = make_state()
    callers = [_Caller(handler, state) for _ in range(40)]
    for caller in callers:
        caller.send(_UPLOAD)
    await run_tasks()
    for caller in callers:
        caller.send(b'1\r\nx\r\n' * _SMALL_CHUNKS)
    bodies = [request.body for request in handler.requests]
    before = sum(body.size for body in bodies)
    await asyncio.sleep(0)
    assert 0 < sum(body.size for body in bodies) - before <= 3 * 3000


async def test_parsed_input_is_not_kept() -> None:
    handler = _Handler()
    caller = _Caller(handler, make_state())
    caller.send(_UPLOAD)
    text = b'ff0\r\n%b\r\n' % (b'x' * 0xFF0)
    references = sys.getrefcount(text)
    caller.connection._reader.feed(text)
    assert sys.getrefcount(text) == references
    assert not caller.connection._reader.unparsed


async def test_unparsed_input_is_counted() -> None:
    budget = MemoryBudget(64 * MEGABYTE)
    handler = _Handler()
    caller = _Caller(handler, make_state(budget))
    requests = b''.join(_GET % number for number in range(600))
    sent = caller.send(requests)
    await run_tasks()
    assert len(handler.requests) == 8
    assert not caller.transport.is_reading()
    waiting = sum(len(_GET % number) for number in range(8 + 64))
    assert budget.read(Holder.HEADS) >= sent - waiting - 1024
    caller.connection.connection_lost(None)
    await run_tasks()
    assert budget.used == 0


async def test_requests_are_counted_while_they_are_served() -> None:
    budget = MemoryBudget(64 * MEGABYTE)
    handler = _Handler()
    caller = _Caller(handler, make_state(budget))
    for number in range(5):
        caller.send(_GET % number)
    await run_tasks()
    assert budget.read(Holder.REQUESTS) == 5 * REQUEST_BYTES
    assert budget.admitted == 5
    handler.allow()
    await run_tasks()
    assert budget.read(Holder.REQUESTS) == 0
    assert budget.admitted == 0


async def test_shortage_serves_one_request_of_a_connection_at_a_time() -> None:
    budget = MemoryBudget(MEGABYTE)
    handler = _Handler()
    caller = _Caller(handler, make_state(budget))
    budget.add(Holder.BODIES, MEGABYTE // 2)
    await caller_sends(caller, 4)
    assert len(handler.requests) == 1
    handler.allow()
    await run_tasks()
    assert [request.target for request in handler.requests] == [
        b'/0',
        b'/1',
        b'/2',
        b'/3',
    ]
    assert caller.transport.written.count(b'HTTP/1.1 200') == 4


async def caller_sends(caller: _Caller, count: int) -> None:
    caller.send(b''.join(_GET % number for number in range(count)))
    await run_tasks()


async def test_shortage_drops_what_was_read_ahead() -> None:
    """The response says that the connection closes, so it is sent again."""
    budget = MemoryBudget(MEGABYTE)
    handler = _Handler()
    caller = _Caller(handler, make_state(budget))
    await caller_sends(caller, 12)
    assert len(handler.requests) == 8
    budget.add(Holder.BODIES, 7 * MEGABYTE // 10)
    assert budget.read(Holder.REQUESTS) == 8 * REQUEST_BYTES
    handler.allow()
    await run_tasks()
    assert len(handler.requests) == 8
    assert caller.transport.written.count(b'HTTP/1.1 200') == 8
    assert caller.transport.written.count(b'connection: close') == 1
    assert caller.transport.has_written_eof


async def test_dropped_requests_leave_no_open_connection() -> None:
    """They waited for their caller to take earlier responses."""
    budget = MemoryBudget(MEGABYTE)
    handler = _Handler()
    caller = _Caller(handler, make_state(budget))
    caller.connection.pause_writing()
    await caller_sends(caller, 3)
    budget.add(Holder.BODIES, 7 * MEGABYTE // 10)
    assert budget.read(Holder.REQUESTS) == 0
    caller.connection.resume_writing()
    await run_tasks()
    assert not handler.requests
    assert caller.transport.has_written_eof


async def test_short_memory_refuses_requests_and_says_not_run() -> None:
    budget = MemoryBudget(MEGABYTE)
    handler = _Handler()
    state = make_state(budget)
    budget.admitted = 100
    budget.add(Holder.BODIES, 8 * MEGABYTE // 10)
    caller = _Caller(handler, state)
    await caller_sends(caller, 1)
    assert not handler.requests
    assert caller.transport.written.startswith(b'HTTP/1.1 503')
    assert b'bluebell-not-run: 1' in caller.transport.written
    assert b'connection: close' in caller.transport.written


async def test_too_many_requests_ahead_close_the_connection() -> None:
    """They are parsed in one part, before parsing stops for the first."""
    budget = MemoryBudget(64 * MEGABYTE)
    handler = _Handler()
    caller = _Caller(handler, make_state(budget))
    tiny = b'GET / HTTP/1.1\r\n\r\n' * 800
    caller.send(b'%b1\r\nx\r\n0\r\n\r\n%b' % (_UPLOAD, tiny))
    await run_tasks()
    assert budget.read(Holder.REQUESTS) <= 73 * REQUEST_BYTES


@pytest.fixture
def without_collections() -> Iterator[None]:
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.usefixtures('without_collections')
@pytest.mark.parametrize('count', [1, 3, 30])
async def test_closed_connection_is_freed_without_a_collection(
    count: int,
) -> None:
    handler = _Handler()
    state = make_state()
    caller = _Caller(handler, state)
    caller.send(b'%b3\r\nabc\r\n0\r\n\r\n' % _UPLOAD)
    await caller_sends(caller, count)
    connection = weakref.ref(caller.connection)
    reader = weakref.ref(caller.connection._reader)
    caller.connection.connection_lost(None)
    await run_tasks()
    handler.requests.clear()
    caller.transport.close()
    del caller
    await run_tasks()
    assert connection() is None
    assert reader() is None


def make_requests() -> Iterator[tuple[str, bytes]]:
    yield 'slashes', b'GET /%b HTTP/1.1\r\nhost: a\r\n\r\n' % (b'/' * 15_000)
    yield (
        'headers',
        b'GET / HTTP/1.1\r\nhost: a\r\n%b\r\n'
        % (b'a: b\r\n' * (MAX_HEADERS - 1)),
    )
    yield (
        'value',
        b'GET / HTTP/1.1\r\nhost: a\r\nx: %b\r\n\r\n' % (b' ' * 15_000),
    )


@pytest.mark.parametrize(
    'text', [pytest.param(text, id=name) for name, text in make_requests()]
)
async def test_calls_for_a_request_are_bounded(text: bytes) -> None:
    handler = _Handler()
    caller = _Caller(handler, make_state())
    with _Profile() as profile:
        await caller.send_all(text)
    assert len(handler.requests) == 1
    assert profile.calls <= _CALLS_FOR_REQUEST + 12 * MAX_HEADERS
