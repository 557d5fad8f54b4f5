"""The reply to a request: a whole answer, a stream, or a refusal."""

import asyncio
import datetime as dt
from collections.abc import Sequence
from typing import Final, Protocol

from bluebellslip._internal.calls import headers as names
from bluebellslip._internal.calls.error_bodies import encode_error
from bluebellslip._internal.calls.framing import (
    CONTINUE,
    LAST_CHUNK,
    build_response_head,
    frame_chunk,
)
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.streams import WriteGate
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.answers import ANSWERS

_BODILESS: Final = frozenset((204, 304))
_CLOSE: Final = (b'connection', b'close')
_CHUNKED: Final = (names.TRANSFER_ENCODING, b'chunked')
_JSON: Final = (b'content-type', b'application/json')


class DrainState(Protocol):
    """The listener's part that a reply depends on."""

    @property
    def draining(self) -> bool:
        """Whether connections are to be closed after their reply."""


class ReplyWriter:
    """The way of one reply to its connection, in the order of the requests.

    Callers may send further requests before the first is answered. What a
    later reply writes is held until the earlier ones are out.

    Parameters
    ----------
    transport
        Where the replies go.
    gate
        What holds a reply back while the caller reads slowly.
    """

    __slots__ = (
        '_broken',
        '_gate',
        '_held',
        '_is_open',
        '_opened',
        '_transport',
    )

    def __init__(
        self, transport: asyncio.Transport, write_gate: WriteGate
    ) -> None:
        self._transport = transport
        self._gate = write_gate
        self._held: list[bytes] = []
        self._is_open = True
        self._broken = False
        self._opened: asyncio.Event | None = None

    @property
    def is_writable(self) -> bool:
        """Whether a write would go out at once."""
        return self._is_open and self._gate.is_open

    def hold(self) -> None:
        """Keep what is written until ``release``."""
        self._is_open = False
        self._opened = asyncio.Event()

    def release(self) -> None:
        """Send what is held and go on without holding."""
        if self._is_open:
            return
        self._is_open = True
        if self._opened is not None:
            self._opened.set()
        if self._broken:
            self._transport.close()
        elif self._held:
            self._transport.write(b''.join(self._held))
            self._held.clear()

    def write(self, chunk: bytes) -> None:
        """Send bytes, or hold them."""
        if self._is_open:
            self._transport.write(chunk)
        else:
            self._held.append(chunk)

    def abort(self) -> None:
        """End the connection instead of the reply."""
        self._held.clear()
        self._broken = True
        if self._is_open:
            self._transport.abort()

    async def wait(self) -> None:
        """Return when writes go out at once."""
        if self._opened is not None:
            await self._opened.wait()
        await self._gate.wait()


class Reply:
    """Writes one reply to a connection.

    ``ran`` is set as soon as the request may have run; from then on no
    refusal promises the contrary. ``held_back`` is the time that the reply
    waited for a slow caller. ``followed`` tells that another request of the
    same connection is being served behind this one, which must not be cut.
    ``hints`` are headers that a refusal carries.

    Parameters
    ----------
    outlet
        Where the reply goes.
    state
        The listener's state.
    headless
        Whether the request was for the head only.
    keep_alive
        Whether the caller may use the connection again.
    modern
        Whether the caller understands chunked bodies.
    call
        The request's number, if it had one.
    """

    def __init__(
        self,
        writer: ReplyWriter,
        state: DrainState,
        *,
        head_only: bool = False,
        keep_alive: bool = False,
        accepts_chunked: bool = True,
        call: bytes | None = None,
    ) -> None:
        self.may_have_run = False
        self.blocked_time = dt.timedelta()
        self.started = False
        self.has_next_request = False
        self.refusal_headers: tuple[Header, ...] = ()
        self.writer = writer
        self._state = state
        self._head_only = head_only
        self._keep_alive = keep_alive
        self._accepts_chunked = accepts_chunked
        self._call = call
        self._head = b''
        self._chunked = False
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the reply went out whole."""
        return self._ended

    @property
    def reusable(self) -> bool:
        """Whether the reply ended in a way that leaves the connection open."""
        return self._ended and self._keep_alive

    def disable_keep_alive(self) -> None:
        """Close the connection after the reply."""
        self._keep_alive = False

    def send_continue(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self.writer.write(CONTINUE)

    def start(
        self, status: int, headers: Sequence[Header], length: int | None
    ) -> None:
        """Begin the reply; without a length it is sent in chunks."""
        if self._state.draining and not self.has_next_request:
            self._keep_alive = False
        fields = list(headers)
        if length is not None and status not in _BODILESS:
            fields.append((names.CONTENT_LENGTH, b'%d' % length))
        elif self._allows_body(status):
            fields.extend(self._mark_end())
        if self._call is not None:
            fields.append((names.CALL_NUMBER, self._call))
        if not self._keep_alive:
            fields.append(_CLOSE)
        self.started = True
        self._head = build_response_head(status, fields)

    def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        framed = frame_chunk(chunk) if self._chunked else chunk
        self.writer.write(self._take_head() + framed)

    async def drain(self) -> None:
        """Return when the caller keeps up."""
        if self.writer.is_writable:
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self.writer.wait()
        self.blocked_time += dt.timedelta(seconds=loop.time() - started)

    def finish(self, chunk: bytes = b'') -> None:
        """Send the last part of the body."""
        tail = chunk
        if self._chunked:
            framed = frame_chunk(chunk) if chunk else b''
            tail = framed + LAST_CHUNK
        self.writer.write(self._take_head() + tail)
        self._ended = True

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a whole reply."""
        self.start(status, headers, len(body))
        self.finish(body if self._allows_body(status) else b'')

    def refuse(self, error: BluebellError) -> None:
        """Reply by an error of the closed list.

        A reply that has begun is broken off instead, so that the caller
        never takes it for a whole one.
        """
        if self.started:
            self.writer.abort()
            return
        answer = ANSWERS[error.kind]
        fields = [
            *self.refusal_headers,
            _JSON,
            (names.ERROR, error.kind.value.encode()),
        ]
        if answer.not_run and not self.may_have_run:
            fields.append((names.NOT_RUN, b'1'))
        if answer.retry_after is not None:
            seconds = max(1, round(answer.retry_after.total_seconds()))
            fields.append((names.RETRY_AFTER, b'%d' % seconds))
        self.respond(answer.status, fields, encode_error(error))

    def _mark_end(self) -> list[Header]:
        if self._accepts_chunked:
            self._chunked = True
            return [_CHUNKED]
        self._keep_alive = False
        return []

    def _allows_body(self, status: int) -> bool:
        return not self._head_only and status not in _BODILESS

    def _take_head(self) -> bytes:
        head = self._head
        self._head = b''
        return head
