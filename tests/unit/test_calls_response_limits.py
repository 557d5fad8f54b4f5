"""Tests of the limits on what a server may send around its bodies.

They guard against memory and processor time without bound for a server that
sends bytes without end, and against limits that hurt proper responses.
"""

import asyncio
import tracemalloc
from typing import cast

import pytest

from bluebellslip._internal.calls.response_reader import (
    ResponseHead,
    ResponseReader,
)
from bluebellslip._internal.calls.streams import ReadBuffer
from bluebellslip._internal.exceptions import ServerFailedError
from lib.endless_input import (
    RESPONSE_BODIES,
    RESPONSE_HEADS,
    SKIPPED_RESPONSES,
    EndlessInput,
    FakeTransport,
    feed_until_refused,
)

pytestmark = pytest.mark.anyio

# More than the limits of heads, trailers and chunk headers allow.
_REFUSED_WITHIN_BYTES = 128 * 1024
_SKIPPED_WITHIN_BYTES = 3 << 20
_MEMORY_BYTES = 1 << 20
_ECHO = (b'x-id', b'own')
_CHUNK_SIZES = (1, 1000, 100_000)
_PROPER_BODY_CHUNKS = 100_000


class _ResponseInput:
    """A reader of the response to one request."""

    def __init__(self) -> None:
        self.reader = ResponseReader()
        self.body = ReadBuffer(cast(asyncio.Transport, FakeTransport()))
        self.head: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.reader.expect(self.head, self.body, head_only=False, echo=_ECHO)


@pytest.mark.parametrize('size', _CHUNK_SIZES)
@pytest.mark.parametrize(
    'endless', RESPONSE_HEADS, ids=lambda endless: endless.name
)
async def test_endless_response_head_is_accepted(
    endless: EndlessInput, size: int
) -> None:
    received = _ResponseInput()
    error = feed_until_refused(
        received.reader, endless, size, _REFUSED_WITHIN_BYTES
    )
    assert isinstance(error, ServerFailedError)
    assert 'head' in error.message
    assert '65536 bytes' in error.context['limit']
    assert not received.head.done()


@pytest.mark.parametrize('size', _CHUNK_SIZES)
@pytest.mark.parametrize(
    'endless', RESPONSE_BODIES, ids=lambda endless: endless.name
)
async def test_endless_framing_of_a_response_body_is_accepted(
    endless: EndlessInput, size: int
) -> None:
    received = _ResponseInput()
    error = feed_until_refused(
        received.reader, endless, size, _REFUSED_WITHIN_BYTES
    )
    assert isinstance(error, ServerFailedError)
    assert 'trailers' in error.message
    assert '65536 bytes' in error.context['limit']


@pytest.mark.parametrize(
    'endless', SKIPPED_RESPONSES, ids=lambda endless: endless.name
)
async def test_responses_to_other_requests_are_skipped_without_end(
    endless: EndlessInput,
) -> None:
    received = _ResponseInput()
    error = feed_until_refused(
        received.reader, endless, 1000, _SKIPPED_WITHIN_BYTES
    )
    assert isinstance(error, ServerFailedError)
    assert 'other requests' in error.message
    assert not received.head.done()


@pytest.mark.parametrize(
    'endless',
    [*RESPONSE_HEADS, *RESPONSE_BODIES, *SKIPPED_RESPONSES],
    ids=lambda endless: endless.name,
)
async def test_endless_response_fills_the_memory(
    endless: EndlessInput,
) -> None:
    received = _ResponseInput()
    tracemalloc.start()
    try:
        feed_until_refused(
            received.reader, endless, 256 * 1024, _SKIPPED_WITHIN_BYTES
        )
        assert tracemalloc.get_traced_memory()[1] < _MEMORY_BYTES
    finally:
        tracemalloc.stop()


async def test_trailers_of_a_response_become_headers() -> None:
    received = _ResponseInput()
    received.reader.feed(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        b'1\r\nx\r\n0\r\nx: y\r\n\r\n'
    )
    assert received.head.result().headers == [
        (b'transfer-encoding', b'chunked')
    ]
    assert received.reader.response_complete


async def test_long_chunked_body_is_refused_for_its_framing() -> None:
    """The chunks have one byte each; their framing exceeds every limit."""
    received = _ResponseInput()
    received.reader.feed(
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n%b0\r\n\r\n'
        % (b'1\r\nx\r\n' * _PROPER_BODY_CHUNKS)
    )
    assert len(received.body.take()) == _PROPER_BODY_CHUNKS


async def test_proper_informational_responses_are_refused() -> None:
    received = _ResponseInput()
    received.reader.feed(b'HTTP/1.1 102 X\r\nlink: a\r\n\r\n' * 500)
    received.reader.feed(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
    assert received.head.result().status == 200


async def test_error_of_a_large_response_head_names_the_parser() -> None:
    received = _ResponseInput()
    with pytest.raises(ServerFailedError) as raised:
        received.reader.feed(
            b'HTTP/1.1 200 OK\r\nx: %b\r\na: b\r\n' % (b'a' * 66_000)
        )
    assert raised.value.message == 'The response head is too large.'


async def test_failed_response_is_completed_by_the_end_of_its_connection() -> (
    None
):
    """The end of the connection is the end of a response without a length."""
    received = _ResponseInput()
    received.reader.feed(b'HTTP/1.1 200 OK\r\n\r\npart')
    received.reader.fail(ServerFailedError('The exchange was aborted.'))
    received.reader.end_input(clean=True)
    assert not received.body.complete
    with pytest.raises(ServerFailedError):
        await received.body.read()
