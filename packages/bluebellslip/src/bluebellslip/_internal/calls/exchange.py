"""One request sent to one server, and the response passed back."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from typing import Final, Self

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.body_pacing import BodyPacer
from bluebellslip._internal.calls.framing import (
    LAST_CHUNK,
    build_request_head,
    frame_chunk,
)
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.memory_budget import (
    Holder,
)
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.exceptions import (
    BluebellError,
    OverloadedError,
    ServerFailedError,
)
from bluebellslip._internal.models.identity import Address

MAX_REPLAY_BYTES: Final = 64 * 1024
_EXPECT_CONTINUE_HEADER: Final = (header_names.EXPECT, b'100-continue')
_HEAD: Final = b'HEAD'
_call_numbers = itertools.count(1)


def _ignore_delivery() -> None:
    """Do nothing: the exchange's owner does not track the delivery."""


class Upload:
    """A request body that can be sent again if it fits the replay buffer.

    When memory is short, nothing more is kept once a part of it was sent.
    """

    def __init__(
        self, request: InboundRequest, max_replay_bytes: int = MAX_REPLAY_BYTES
    ) -> None:
        self._max_replay_bytes = max_replay_bytes
        self._body = request.body
        self._request = request
        self._replay_chunks: list[bytes] = []
        self._size = 0
        self._replayable = True
        self._was_sent = False
        self._memory = request.memory
        self._memory.drop_copies = self._drop_copies

    @property
    def replayable(self) -> bool:
        """Whether all bytes read so far are buffered for sending again."""
        return self._replayable

    @property
    def complete_body(self) -> bytes | None:
        """The complete body, or None if it is unfinished or too long."""
        if not self._body.complete or not self._replayable:
            return None
        if self._size + self._body.size > self._max_replay_bytes:
            return None
        if self._body.size:
            self._keep_for_replay(self._body.take())
        return b''.join(self._replay_chunks)

    async def buffer(self) -> None:
        """Read the body until it is complete or fills half of the buffer.

        Raises
        ------
        OverloadedError
            When memory is short; the body has not been sent.
        """
        self._request.send_continue()
        while self._replayable and not self._body.complete:
            if not self._memory.budget.accepts_bodies:
                self._memory.budget.count_refusal('buffering')
                raise OverloadedError('The node has no memory for the body.')
            if self._size + self._body.size > self._max_replay_bytes // 2:
                return
            self._keep_for_replay(await self._body.read())

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body from its start, beginning with the buffered part."""
        self._request.send_continue()
        for buffered in tuple(self._replay_chunks):
            yield buffered
        while chunk := await self._body.read():
            self._keep_for_replay(chunk)
            yield chunk

    def begin(self) -> None:
        """Check that the body can be sent from its start, and mark it as sent.

        Raises
        ------
        OverloadedError
            When an earlier attempt sent a part that was not kept.
        """
        if not self._replayable:
            raise OverloadedError('The body of the request was not kept.')
        self._was_sent = True

    def count_unsent(self, size: int) -> None:
        """Count bytes that wait to be written; 0 when they are written."""
        if size:
            self._memory.add(Holder.UPLOADS, size)
        else:
            self._memory.clear(Holder.UPLOADS)

    def _keep_for_replay(self, chunk: bytes) -> None:
        self._size += len(chunk)
        fits = self._size <= self._max_replay_bytes and self._replayable
        if fits and (self._memory.budget.keeps_copies or not self._was_sent):
            self._replay_chunks.append(chunk)
            self._memory.add(Holder.REPLAYS, len(chunk))
        else:
            self._drop_replay()

    def _drop_copies(self) -> None:
        if self._was_sent:
            self._drop_replay()

    def _drop_replay(self) -> None:
        self._replayable = False
        self._replay_chunks.clear()
        self._memory.clear(Holder.REPLAYS)


class Exchange:
    """A request and its response over one connection of the pool.

    A context manager: its end returns the connection to the pool, or closes
    it if the exchange is not complete.

    Parameters
    ----------
    pool
        The connection pool.
    address
        The server's address.
    echo
        Request header that the server echoes in its response; responses with
        another value are skipped. If None, the request carries a call number,
        and a response with another number is an error.
    expects_continue
        Whether to wait for the server's 100 Continue before sending the body.
    held_bytes
        With ``expects_continue``: how much of the body the receiver collects
        before it may pass the request on, unless the body is shorter.
    on_delivery
        Called once the receiver may have enough of the request to pass it on.
    pacer
        Paces the body, if it is sent over the node's own link.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        address: Address,
        echo: Header | None = None,
        *,
        expects_continue: bool = False,
        held_bytes: int = 0,
        on_delivery: Callable[[], None] = _ignore_delivery,
        pacer: BodyPacer | None = None,
    ) -> None:
        self._pool = pool
        self._address = address
        self._call_number: Header | None = None
        if echo is None:
            self._call_number = (
                header_names.CALL_NUMBER,
                b'%x' % next(_call_numbers),
            )
        self._echo = echo
        self._expects_continue = expects_continue
        self._reused = False
        self._held_bytes = held_bytes
        self._on_delivery = on_delivery
        self._pacer = pacer
        self._connection: OutboundConnection | None = None
        self._sending: asyncio.Task[None] | None = None

    @property
    def connection(self) -> OutboundConnection:
        """The connection, once it is open."""
        if self._connection is None:
            raise RuntimeError('the exchange is not open')
        return self._connection

    @property
    def stale(self) -> bool:
        """Whether a reused connection closed before any response bytes."""
        connection = self.connection
        return (
            self._reused
            and connection.received_nothing
            and not connection.reusable
        )

    async def open(
        self, *, fresh: bool = False, max_idle_s: float | None = None
    ) -> None:
        """Acquire a connection; raises like ``ConnectionPool.acquire``."""
        self._connection = await self._pool.acquire(
            self._address, fresh=fresh, max_idle_s=max_idle_s
        )
        self._reused = self._connection.idle_since > 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *raised: object) -> None:
        self.close()

    def close(self) -> None:
        """Return the connection to the pool, or close it."""
        if self._sending is not None:
            self._sending.cancel()
        if self._connection is not None:
            self._pool.release(self._address, self._connection)
            self._connection = None

    async def send_buffered(
        self, request: InboundRequest, headers: list[Header], body: bytes
    ) -> ResponseHead:
        """Send a request with a complete body; raises like ``send``."""
        if body or header_names.CONTENT_LENGTH in request.fields:
            headers.append((header_names.CONTENT_LENGTH, b'%d' % len(body)))
        if self._call_number is not None:
            headers.append(self._call_number)
        head = build_request_head(request.method, request.target, headers)
        self._on_delivery()
        self.connection.begin(
            head + body,
            head_only=request.method == _HEAD,
            is_complete=True,
            echo=self._echo,
        )
        return await self._receive()

    async def send(
        self,
        request: InboundRequest,
        headers: list[Header],
        upload: Upload,
    ) -> ResponseHead:
        """Send a request and return the head of its response.

        Raises
        ------
        BluebellError
            When the request's body can't be read, or the response is missing
            or invalid.
        """
        upload.begin()
        body = upload.complete_body
        if body is not None and not self._expects_continue:
            return await self.send_buffered(request, headers, body)
        self._begin_streaming(request, headers, upload)
        return await self._receive()

    async def _receive(self) -> ResponseHead:
        head = await self.connection.response()
        if self._call_number is None:
            return head
        name, number = self._call_number
        if head.fields.get(name, number) != number:
            self.connection.abort()
            raise ServerFailedError('The response is for another request.')
        return head

    def _begin_streaming(
        self,
        request: InboundRequest,
        headers: list[Header],
        upload: Upload,
    ) -> None:
        length = request.fields.get(header_names.CONTENT_LENGTH)
        if length is None:
            headers.append((header_names.TRANSFER_ENCODING, b'chunked'))
        else:
            headers.append((header_names.CONTENT_LENGTH, length))
        if self._call_number is not None:
            headers.append(self._call_number)
        if self._expects_continue:
            headers.append(_EXPECT_CONTINUE_HEADER)
        else:
            self._on_delivery()
        self.connection.begin(
            build_request_head(request.method, request.target, headers),
            head_only=request.method == _HEAD,
            is_complete=False,
            echo=self._echo,
        )
        self._sending = asyncio.get_running_loop().create_task(
            self._send_body(self.connection, upload, chunked=length is None)
        )

    async def _send_body(
        self, connection: OutboundConnection, upload: Upload, *, chunked: bool
    ) -> None:
        if self._expects_continue:
            await connection.wait_for_continue()
        try:
            await self._copy_body(connection, upload, chunked=chunked)
        except BluebellError as error:
            connection.fail(error)

    async def _copy_body(
        self, connection: OutboundConnection, upload: Upload, *, chunked: bool
    ) -> None:
        await connection.drain()
        sent = 0
        async for piece in self._take_turns(upload):
            sent += len(piece)
            if sent > self._held_bytes:
                self._on_delivery()
            upload.count_unsent(len(piece))
            connection.send(frame_chunk(piece) if chunked else piece)
            await connection.drain()
            upload.count_unsent(0)
        self._on_delivery()
        connection.send(LAST_CHUNK if chunked else b'', last=True)

    async def _take_turns(self, upload: Upload) -> AsyncIterator[bytes]:
        """Yield the body in pieces, each when it may be sent."""
        async for chunk in upload.chunks():
            if self._pacer is None:
                yield chunk
                continue
            for piece in self._pacer.split(chunk):
                await self._pacer.wait_turn(len(piece))
                yield piece


async def relay_response(
    request: InboundRequest,
    head: ResponseHead,
    connection: OutboundConnection,
    extra: tuple[Header, ...] = (),
) -> None:
    """Forward a response to the caller, with backpressure.

    Raises
    ------
    ServerFailedError
        When the response ends early.
    """
    headers = header_names.filter_headers(head.headers)
    headers.extend(extra)
    request.reply.start(head.status, headers, head.length)
    body = connection.body
    body.chunks.count_for(request.memory)
    while not body.complete:
        chunk = await body.read()
        if chunk:
            request.reply.write(chunk)
            await request.reply.drain()
    request.reply.finish(body.take())
