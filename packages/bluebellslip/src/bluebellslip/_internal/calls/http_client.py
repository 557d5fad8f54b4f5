"""HTTP client for the node's own short requests."""

import asyncio
import dataclasses
import datetime as dt
from collections.abc import Mapping, Sequence
from typing import Final

from bluebellslip._internal.calls.framing import build_request_head
from bluebellslip._internal.calls.headers import (
    CONTENT_LENGTH,
    HOST,
    Header,
)
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.models.identity import Address

# More than a page of the store or a compressed configuration has.
_MAX_RESPONSE_BYTES: Final = 1 << 22
_HEAD: Final = b'HEAD'


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request with its body.

    Parameters
    ----------
    method
        HTTP method.
    target
        Path and query.
    headers
        Headers in addition to host and content-length.
    body
        Request body.
    """

    method: bytes
    target: bytes
    headers: Sequence[Header] = ()
    body: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ClientResponse:
    """Status and complete body of a response, and its headers by name."""

    status: int
    body: bytes
    fields: Mapping[bytes, bytes] = dataclasses.field(default_factory=dict)


async def send_request(
    pool: ConnectionPool,
    address: Address,
    request: ClientRequest,
    timeout: dt.timedelta,
) -> ClientResponse:
    """Send a request and return its response.

    Raises
    ------
    NoServerError, OverloadedError
        When nothing was sent.
    ServerFailedError, TimeoutError
        When the request may have been executed.
    """
    connection = await pool.acquire(address)
    headers = [(HOST, str(address).encode()), *request.headers]
    if request.body:
        headers.append((CONTENT_LENGTH, b'%d' % len(request.body)))
    head = build_request_head(request.method, request.target, headers)
    try:
        async with asyncio.timeout(timeout.total_seconds()):
            connection.begin(
                head + request.body,
                head_only=request.method == _HEAD,
                is_complete=True,
            )
            response = await connection.response()
            connection.body.limit_to(_MAX_RESPONSE_BYTES)
            return ClientResponse(
                response.status,
                await connection.body.read_all(),
                response.fields,
            )
    finally:
        pool.release(address, connection)
