"""Names of headers, and what of a message's head is passed on."""

from collections.abc import Iterable
from typing import Final, TypeAlias

from bluebellslip._internal.exceptions import MalformedError

Header: TypeAlias = tuple[bytes, bytes]

HOST: Final = b'host'
CONTENT_LENGTH: Final = b'content-length'
TRANSFER_ENCODING: Final = b'transfer-encoding'
EXPECT: Final = b'expect'
IDEMPOTENCY_KEY: Final = b'idempotency-key'
TIMEOUT_MS: Final = b'bluebell-timeout-ms'
DEPTH: Final = b'bluebell-depth'
STICKY: Final = b'bluebell-sticky'
NOT_RUN: Final = b'bluebell-not-run'
ERROR: Final = b'bluebell-error'
LOAD: Final = b'bluebell-load'
RETRY_AFTER: Final = b'retry-after'

_OWN_PREFIX: Final = b'bluebell-'
_HOP_BY_HOP: Final = frozenset((
    b'connection',
    b'content-length',
    b'expect',
    b'keep-alive',
    b'proxy-authenticate',
    b'proxy-authorization',
    b'proxy-connection',
    b'te',
    b'trailer',
    b'transfer-encoding',
    b'upgrade',
))
_REPLACED_IN_REQUEST: Final = _HOP_BY_HOP | {TIMEOUT_MS, DEPTH}


def find_header(headers: Iterable[Header], name: bytes) -> bytes | None:
    """Return the first value of a header; names are in lower case."""
    for known, text in headers:
        if known == name:
            return text
    return None


def read_number(headers: Iterable[Header], name: bytes) -> int | None:
    """Return a header as a whole number.

    Raises
    ------
    MalformedError
        When the header holds anything but digits.
    """
    text = find_header(headers, name)
    if text is None:
        return None
    if not text.isdigit():
        raise MalformedError(
            'A header must be a whole number.',
            context={'header': name.decode(), 'found': text.decode('latin-1')},
        )
    return int(text)


def read_host(headers: Iterable[Header]) -> str:
    """Return the name in the Host header, without a port.

    Raises
    ------
    MalformedError
        When there is not exactly one Host header.
    """
    hosts = [text for known, text in headers if known == HOST]
    if len(hosts) != 1:
        raise MalformedError(
            'A request needs exactly one Host header.',
            context={'found': str(len(hosts))},
            hint='Name the service in it, as in "orders" or "orders.mesh".',
        )
    return hosts[0].decode('latin-1').partition(':')[0].lower()


def pass_request_headers(headers: Iterable[Header]) -> list[Header]:
    """Leave out what holds for one connection or is set anew."""
    return [
        header for header in headers if header[0] not in _REPLACED_IN_REQUEST
    ]


def pass_response_headers(headers: Iterable[Header]) -> list[Header]:
    """Leave out what holds for one connection, and the system's own.

    The node beside the caller writes its own refusals, so no backend server
    can make a caller believe that a request did not run.
    """
    return [
        header
        for header in headers
        if header[0] not in _HOP_BY_HOP
        and not header[0].startswith(_OWN_PREFIX)
    ]
