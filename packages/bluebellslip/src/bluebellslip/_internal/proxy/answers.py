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
HELD_BYTES: Final = 256 * 1024
# An answer that takes longer than this from its head to its end is a stream
# and goes out as it comes.
HELD_TIME_S: Final = 0.3
_SERVER_ERROR: Final = 500


@dataclasses.dataclass(slots=True)
class Answer:
    """A whole answer of a server."""

    head: ResponseHead
    body: bytes

    @property
    def is_failure(self) -> bool:
        """Whether the server failed."""
        return self.head.status >= _SERVER_ERROR


async def collect(
    head: ResponseHead, connection: OutboundConnection, reply: Reply
) -> Answer | None:
    """Return the whole answer; a long one is streamed instead.

    Raises
    ------
    ServerFailedError
        When the answer broke off.
    """
    body = connection.body
    if body.complete:
        return Answer(head, body.take())
    parts: list[bytes] = []
    try:
        async with asyncio.timeout(HELD_TIME_S):
            is_whole = await _read_bounded(connection, parts)
    except TimeoutError:
        is_whole = False
    if is_whole:
        return Answer(head, b''.join(parts))
    await _stream(head, connection, reply, b''.join(parts))
    return None


async def _stream(
    head: ResponseHead,
    connection: OutboundConnection,
    reply: Reply,
    begun: bytes,
) -> None:
    reply.start(
        head.status, names.filter_response_headers(head.headers), head.length
    )
    if begun:
        reply.write(begun)
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
        if size > HELD_BYTES:
            return False
    return True
