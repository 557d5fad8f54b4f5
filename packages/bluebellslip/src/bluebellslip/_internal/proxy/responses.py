"""Responses of servers: buffered if short, otherwise streamed."""

import asyncio
import dataclasses
from typing import Final

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.memory_budget import (
    Holder,
)
from bluebellslip._internal.calls.memory_shares import (
    RequestMemory,
)
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.reply import Reply
from bluebellslip._internal.calls.response_reader import ResponseHead

# Responses up to this size are buffered until they are complete, so that the
# request can be retried at another server if the connection breaks.
MAX_BUFFERED_BYTES: Final = 256 * 1024
# A response is streamed if its body takes longer than this to arrive.
MAX_BUFFERING_S: Final = 0.3
_MIN_SERVER_ERROR: Final = 500


@dataclasses.dataclass(slots=True)
class BufferedResponse:
    """A complete response of a server."""

    head: ResponseHead
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the status is a server error."""
        return self.head.status >= _MIN_SERVER_ERROR


async def buffer_or_stream(
    head: ResponseHead, connection: OutboundConnection, reply: Reply
) -> BufferedResponse | None:
    """Return the complete response, or None if it was streamed.

    Raises
    ------
    ServerFailedError
        When the connection broke before the end of the response.
    """
    body = connection.body
    if body.complete:
        return BufferedResponse(head, body.take())
    memory = reply.writer.memory
    body.chunks.count_for(memory)
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(MAX_BUFFERING_S):
            is_complete = await _read_bounded(connection, parts, memory)
    except TimeoutError:
        is_complete = False
    if is_complete:
        return BufferedResponse(head, b''.join(parts))
    await _stream(head, connection, reply, _take(parts))
    return None


def _take(parts: list[bytes]) -> bytes:
    """Return the buffered part, which nothing else then holds."""
    buffered = b''.join(parts)
    parts.clear()
    return buffered


async def _stream(
    head: ResponseHead,
    connection: OutboundConnection,
    reply: Reply,
    buffered: bytes,
) -> None:
    reply.start(
        head.status,
        header_names.filter_headers(head.headers),
        head.length,
    )
    if buffered:
        reply.write(buffered)
        reply.writer.memory.add(Holder.RESPONSES, -len(buffered))
        buffered = b''
        await reply.drain()
    while chunk := await connection.body.read():
        reply.write(chunk)
        await reply.drain()
    reply.finish()


async def _read_bounded(
    connection: OutboundConnection,
    parts: list[bytes],
    memory: RequestMemory,
) -> bool:
    """Buffer a body up to the limit; return whether it is complete."""
    size = 0
    while chunk := await connection.body.read():
        parts.append(chunk)
        size += len(chunk)
        memory.add(Holder.RESPONSES, len(chunk))
        if size > min(MAX_BUFFERED_BYTES, memory.budget.limits.buffered_bytes):
            return False
    return True
