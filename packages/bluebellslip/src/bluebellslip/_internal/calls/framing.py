"""Serialization of HTTP/1.1 message heads and chunks."""

import http
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.calls.headers import Header

LAST_CHUNK: Final = b'0\r\n\r\n'
CONTINUE_RESPONSE: Final = b'HTTP/1.1 100 Continue\r\n\r\n'

_REASONS: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_NO_REASON: Final = b'Unknown'


def build_request_head(
    method: bytes, target: bytes, headers: Iterable[Header]
) -> bytes:
    """Return a request's head."""
    return b''.join((
        method,
        b' ',
        target,
        b' HTTP/1.1\r\n',
        *_format_headers(headers),
    ))


def build_response_head(status: int, headers: Iterable[Header]) -> bytes:
    """Return a response's head."""
    reason = _REASONS.get(status, _NO_REASON)
    return b''.join((
        b'HTTP/1.1 %d %b\r\n' % (status, reason),
        *_format_headers(headers),
    ))


def frame_chunk(chunk: bytes) -> bytes:
    """Return data framed as one chunk of a chunked body."""
    return b'%x\r\n%b\r\n' % (len(chunk), chunk)


def _format_headers(headers: Iterable[Header]) -> list[bytes]:
    lines = [b'%b: %b\r\n' % header for header in headers]
    lines.append(b'\r\n')
    return lines
