"""Tests of the limits on what a caller may send around its bodies.

They guard against memory and processor time without bound for a caller that
sends bytes without end, and against limits that hurt proper requests.
"""

import asyncio
import sys
import tracemalloc
from typing import cast

import pytest

from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.memory_budget import UNLIMITED
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.request_reader import RequestReader
from bluebellslip._internal.calls.streams import WriteGate
from bluebellslip._internal.exceptions import HeadTooLargeError
from lib.endless_input import (
    REQUEST_BODIES,
    REQUEST_HEADS,
    EndlessInput,
    FakeTransport,
    feed_until_refused,
)

pytestmark = pytest.mark.anyio

_HEAD_BYTES = 32 * 1024
# More than the limits of heads, trailers and chunk headers allow.
_REFUSED_WITHIN_BYTES = 128 * 1024
_MEMORY_BYTES = 1 << 20
_CHUNK_SIZES = (1, 1000, 100_000)
_PROPER_BODY_CHUNKS = 100_000


class _State:
    draining = False
    memory = UNLIMITED
    limits = CallerLimits(
        head_bytes=_HEAD_BYTES,
        max_pipelined=8,
        head_error=HeadTooLargeError,
    )


class _RequestInput:
    """A reader of requests, and the requests that it has read."""

    def __init__(self) -> None:
        self.requests: list[InboundRequest] = []
        self.reader = RequestReader(
            cast(asyncio.Transport, FakeTransport()),
            WriteGate(),
            _State(),
            self.requests.append,
        )


@pytest.mark.parametrize('size', _CHUNK_SIZES)
@pytest.mark.parametrize(
    'endless', REQUEST_HEADS, ids=lambda endless: endless.name
)
async def test_endless_request_head_is_accepted(
    endless: EndlessInput, size: int
) -> None:
    received = _RequestInput()
    error = feed_until_refused(
        received.reader, endless, size, _REFUSED_WITHIN_BYTES
    )
    assert isinstance(error, HeadTooLargeError)
    assert 'head' in error.message
    assert f'{_HEAD_BYTES} bytes' in error.context['limit']


@pytest.mark.parametrize('size', _CHUNK_SIZES)
@pytest.mark.parametrize(
    'endless', REQUEST_BODIES, ids=lambda endless: endless.name
)
async def test_endless_framing_of_a_request_body_is_accepted(
    endless: EndlessInput, size: int
) -> None:
    received = _RequestInput()
    error = feed_until_refused(
        received.reader, endless, size, _REFUSED_WITHIN_BYTES
    )
    assert isinstance(error, HeadTooLargeError)
    assert 'trailers' in error.message
    assert f'{_HEAD_BYTES} bytes' in error.context['limit']
    assert received.reader.fail(error)
    with pytest.raises(HeadTooLargeError):
        await received.requests[0].body.read()


@pytest.mark.parametrize(
    'endless',
    [*REQUEST_HEADS, *REQUEST_BODIES],
    ids=lambda endless: endless.name,
)
async def test_endless_request_fills_the_memory(endless: EndlessInput) -> None:
    received = _RequestInput()
    tracemalloc.start()
    try:
        feed_until_refused(
            received.reader, endless, 256 * 1024, 2 * _REFUSED_WITHIN_BYTES
        )
        assert tracemalloc.get_traced_memory()[1] < _MEMORY_BYTES
    finally:
        tracemalloc.stop()


async def test_trailers_of_a_request_become_headers() -> None:
    received = _RequestInput()
    received.reader.feed(
        b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
        b'1\r\nx\r\n0\r\nhost: b\r\nx: y\r\n\r\n'
    )
    assert [name for name, _ in received.requests[0].headers] == [
        b'host',
        b'transfer-encoding',
    ]
    assert received.requests[0].body.complete


async def test_long_chunked_body_is_refused_for_its_framing() -> None:
    """The chunks have one byte each; their framing exceeds every limit."""
    received = _RequestInput()
    received.reader.feed(
        b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n%b'
        % (b'1\r\nx\r\n' * _PROPER_BODY_CHUNKS)
    )
    received.reader.feed(b'0\r\n\r\n')
    assert len(received.requests[0].body.take()) == _PROPER_BODY_CHUNKS


async def test_body_that_arrives_with_a_partial_head_counts_as_head() -> None:
    """One chunk holds a long body and the start of the next request."""
    received = _RequestInput()
    body = b'x' * (4 * _HEAD_BYTES)
    received.reader.feed(
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n%bGET /'
        % (len(body), body)
    )
    received.reader.feed(b' HTTP/1.1\r\nhost: a\r\n\r\n')
    assert [request.method for request in received.requests] == [
        b'POST',
        b'GET',
    ]


async def test_head_at_the_limit_is_refused_for_its_separators() -> None:
    """Only the target, names and values count, as far as they are complete."""
    received = _RequestInput()
    name_size = _HEAD_BYTES // 128 - 1
    headers = b''.join(
        b'%b:  %d\r\n' % (b'n' * (name_size - 1), number % 10)
        for number in range(126)
    )
    received.reader.feed(b'GET / HTTP/1.1\r\n%b\r\n' % headers)
    assert len(received.requests) == 1


async def test_parsed_input_stays_in_memory() -> None:
    """It was once held by an empty view of it, for each connection."""
    received = _RequestInput()
    received.reader.feed(
        b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
    )
    text = b'ff0\r\n%b\r\n' % (b'x' * 0xFF0)
    references = sys.getrefcount(text)
    received.reader.feed(text)
    assert sys.getrefcount(text) == references
