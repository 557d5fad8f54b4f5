"""Names of headers, and what of a message's head is passed on."""

from collections.abc import Iterable, Mapping, Sequence
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
CALL_NUMBER: Final = b'bluebell-call'
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
_REPLACED_IN_REQUEST: Final = _HOP_BY_HOP | {TIMEOUT_MS, DEPTH, CALL_NUMBER}


def read_number(fields: Mapping[bytes, bytes], name: bytes) -> int | None:
    """Return a header as a whole number.

    Raises
    ------
    MalformedError
        When the header holds anything but digits.
    """
    text = fields.get(name)
    if text is None:
        return None
    if not text.isdigit():
        raise MalformedError(
            'A header must be a whole number.',
            context={'header': name.decode(), 'found': text.decode('latin-1')},
        )
    return int(text)


def read_host(headers: Sequence[Header], fields: Mapping[bytes, bytes]) -> str:
    """Return the name in the Host header, without a port.

    ``fields`` are the same headers by name, which keeps one of each.

    Raises
    ------
    MalformedError
        When there is not exactly one Host header.
    """
    host = fields.get(HOST)
    doubled = len(fields) != len(headers) and _count_hosts(headers) > 1
    if host is None or doubled:
        raise MalformedError(
            'A request needs exactly one Host header.',
            hint='Name the service in it, as in "orders" or "orders.mesh".',
        )
    return host.decode('latin-1').partition(':')[0].lower()


def filter_request_headers(headers: Iterable[Header]) -> list[Header]:
    """Leave out what holds for one connection or is set anew."""
    return [
        header for header in headers if header[0] not in _REPLACED_IN_REQUEST
    ]


def filter_response_headers(headers: Iterable[Header]) -> list[Header]:
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


def _count_hosts(headers: Iterable[Header]) -> int:
    return sum(1 for name, _ in headers if name == HOST)
