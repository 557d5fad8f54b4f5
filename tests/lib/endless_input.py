"""Input without an end, of each kind that a peer may send."""

import dataclasses
from collections.abc import Iterator
from typing import Protocol

from bluebellslip._internal.exceptions import BluebellError

_REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\n'
_RESPONSE = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
_LETTERS = b'a' * 1000


@dataclasses.dataclass(frozen=True)
class EndlessInput:
    """A beginning, and what follows it again and again."""

    name: str
    start: bytes
    repeated: bytes

    def chunks(self, size: int, total: int) -> Iterator[bytes]:
        """Yield ``total`` bytes in chunks of at least ``size`` bytes."""
        repeated = self.repeated * max(1, size // len(self.repeated))
        yield self.start
        for _ in range(total // len(repeated)):
            yield repeated


def _make_head_inputs(start: bytes) -> list[EndlessInput]:
    return [
        EndlessInput('header name', start, _LETTERS),
        EndlessInput('header value', b'%bx: ' % start, _LETTERS),
        EndlessInput('padding of a value', b'%bx:' % start, b' ' * 1000),
        EndlessInput('headers', start, b'a: b\r\n'),
        EndlessInput('headers without a value', start, b'a:\r\n'),
    ]


def _make_body_inputs(start: bytes) -> list[EndlessInput]:
    body = b'%b%b1\r\nx\r\n' % (start, _CHUNKED)
    last_chunk = b'%b0\r\n' % body
    return [
        EndlessInput('chunk extension', b'%b1;' % body, _LETTERS),
        EndlessInput('chunk size', body, b'0' * 1000),
        EndlessInput('trailer name', last_chunk, _LETTERS),
        EndlessInput('trailer value', b'%bx: ' % last_chunk, _LETTERS),
        EndlessInput('trailers', last_chunk, b'a: b\r\n'),
        EndlessInput('trailers without a value', last_chunk, b'a:\r\n'),
    ]


REQUEST_HEADS = (
    EndlessInput('target', b'GET /', _LETTERS),
    EndlessInput('blank lines', b'', b'\r\n'),
    *_make_head_inputs(_REQUEST),
)
REQUEST_BODIES = _make_body_inputs(_REQUEST)
RESPONSE_HEADS = (
    EndlessInput('reason', b'HTTP/1.1 200 ', _LETTERS),
    EndlessInput('blank lines', b'', b'\r\n'),
    EndlessInput('informational', b'', b'HTTP/1.1 102 X\r\n\r\n'),
    EndlessInput('informational headers', b'HTTP/1.1 102 X\r\n', b'a: b\r\n'),
    *_make_head_inputs(_RESPONSE),
)
RESPONSE_BODIES = _make_body_inputs(_RESPONSE)
_SKIPPED = b'HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length:'
SKIPPED_RESPONSES = (
    EndlessInput('responses', b'', b'%b 1\r\n\r\nx' % _SKIPPED),
    EndlessInput('empty responses', b'', b'%b 0\r\n\r\n' % _SKIPPED),
    EndlessInput('body', b'%b 999999999\r\n\r\n' % _SKIPPED, _LETTERS),
)


class FakeTransport:
    """A connection of which only the reading is controlled."""

    def pause_reading(self) -> None:
        """Ignore the request."""

    def resume_reading(self) -> None:
        """Ignore the request."""


class _Reader(Protocol):
    def feed(self, chunk: bytes) -> None: ...


def feed_until_refused(
    reader: _Reader, endless: EndlessInput, size: int, total: int
) -> BluebellError:
    """Feed endless input to a reader and return the error that ends it."""
    for chunk in endless.chunks(size, total):
        try:
            reader.feed(chunk)
        except BluebellError as error:
            return error
    raise AssertionError(f'{endless.name}: {total} bytes were accepted')
