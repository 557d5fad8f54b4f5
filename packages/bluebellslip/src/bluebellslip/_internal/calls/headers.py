"""Header names, and which headers are forwarded."""

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

# As many as the longest content-length that the parser accepts has.
MAX_NUMBER_DIGITS: Final = 20

# Of all headers that nodes exchange among themselves.
MESH_PREFIX: Final = b'bluebell-'
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


def read_number(fields: Mapping[bytes, bytes], name: bytes) -> int | None:
    """Return a header's value as an integer, or None if it is absent.

    Raises
    ------
    MalformedError
        When the value contains anything but digits, or too many of them.
    """
    text = fields.get(name)
    if text is None:
        return None
    digits = text.lstrip(b'0') or text[-1:]
    if not text.isdigit() or len(digits) > MAX_NUMBER_DIGITS:
        raise MalformedError(
            'A header must be a non-negative integer.',
            context={
                'header': name.decode(),
                'found': text[: 2 * MAX_NUMBER_DIGITS].decode('latin-1'),
                'limit': f'{MAX_NUMBER_DIGITS} digits',
            },
        )
    return int(digits)


def parse_count(text: bytes, limit: int) -> int | None:
    """Return a number of any length, at most ``limit``.

    None if the text has anything but digits.
    """
    digits = text.strip()
    if not digits.isdigit():
        return None
    if len(digits.lstrip(b'0')) > MAX_NUMBER_DIGITS:
        return limit
    return min(int(digits.lstrip(b'0') or b'0'), limit)


def read_host(headers: Sequence[Header], fields: Mapping[bytes, bytes]) -> str:
    """Return the name in the Host header in lower case, without a port.

    ``fields`` are the same headers by name, one value for each name.

    Raises
    ------
    MalformedError
        When there is not exactly one Host header.
    """
    host = fields.get(HOST)
    is_repeated = len(fields) != len(headers) and _count_hosts(headers) > 1
    if host is None or is_repeated:
        raise MalformedError(
            'A request needs exactly one Host header.',
            hint='Name the service in it, as in "orders" or "orders.mesh".',
        )
    return host.decode('latin-1').partition(':')[0].lower()


def filter_headers(headers: Iterable[Header]) -> list[Header]:
    """Drop hop-by-hop headers and the mesh's own headers.

    Each node sets the mesh's headers itself, in requests and in responses, so
    neither a caller nor a backend server can speak for a node.
    """
    return [
        header
        for header in headers
        if header[0] not in _HOP_BY_HOP
        and not header[0].startswith(MESH_PREFIX)
    ]


def _count_hosts(headers: Iterable[Header]) -> int:
    return sum(1 for name, _ in headers if name == HOST)
