"""Answers of servers: held until they are whole, or passed on as streams."""

import asyncio
import dataclasses
from typing import Final

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.reply import Reply
from bluebellslip._internal.calls.response_reader import ResponseHead

# An answer up to this size is held until it is whole, so that one that breaks
# off can still be had from another server.
MAX_BUFFERED_BYTES: Final = 256 * 1024
# An answer that takes longer than this from its head to its end is a stream
# and goes out as it comes.
MAX_BUFFERING_S: Final = 0.3
_MIN_SERVER_ERROR: Final = 500


@dataclasses.dataclass(slots=True)
class BufferedResponse:
    """A whole answer of a server."""

    head: ResponseHead
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the server failed."""
        return self.head.status >= _MIN_SERVER_ERROR


async def buffer_or_stream(
    head: ResponseHead, connection: OutboundConnection, reply: Reply
) -> BufferedResponse | None:
    """Return the whole answer; a long one is streamed instead.

    Raises
    ------
    ServerFailedError
        When the answer broke off.
    """
    body = connection.body
    if body.complete:
        return BufferedResponse(head, body.take())
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(MAX_BUFFERING_S):
            is_complete = await _read_bounded(connection, parts)
    except TimeoutError:
        is_complete = False
    if is_complete:
        return BufferedResponse(head, b''.join(parts))
    await _stream(head, connection, reply, b''.join(parts))
    return None


async def _stream(
    head: ResponseHead,
    connection: OutboundConnection,
    reply: Reply,
    buffered: bytes,
) -> None:
    reply.start(
        head.status, names.filter_response_headers(head.headers), head.length
    )
    if buffered:
        reply.write(buffered)
        await reply.drain()
    while chunk := await connection.body.read():
        reply.write(chunk)
        await reply.drain()
    reply.finish()


async def _read_bounded(
    connection: OutboundConnection, parts: list[bytes]
) -> bool:
    """Read a body up to the bound; tell whether it is whole."""
    size = 0
    while chunk := await connection.body.read():
        parts.append(chunk)
        size += len(chunk)
        if size > MAX_BUFFERED_BYTES:
            return False
    return True
