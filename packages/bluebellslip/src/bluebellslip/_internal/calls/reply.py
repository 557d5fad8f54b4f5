"""The reply to a request: a complete response, a stream or an error."""

import asyncio
import datetime as dt
from collections.abc import Sequence
from typing import Final, Protocol

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.error_bodies import encode_error
from bluebellslip._internal.calls.framing import (
    CONTINUE_RESPONSE,
    LAST_CHUNK,
    build_response_head,
    frame_chunk,
)
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.memory_budget import (
    Holder,
)
from bluebellslip._internal.calls.memory_shares import (
    RequestMemory,
    make_unlimited,
)
from bluebellslip._internal.calls.sockets import (
    is_closed_by_peer,
    reset_on_close,
)
from bluebellslip._internal.calls.streams import WriteGate
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.error_responses import ERROR_RESPONSES

_BODILESS_STATUSES: Final = frozenset((204, 304))
_CLOSE: Final = (b'connection', b'close')
_CHUNKED: Final = (header_names.TRANSFER_ENCODING, b'chunked')
_JSON: Final = (b'content-type', b'application/json')


class DrainState(Protocol):
    """The part of the listener's state that a reply depends on."""

    @property
    def draining(self) -> bool:
        """Whether connections are closed after their next reply."""


class ReplyWriter:
    """Writes one reply to its connection, in the order of the requests.

    Callers may pipeline requests. The data of a later reply is buffered until
    the earlier replies are sent. ``ends_with_connection`` is set for a reply
    without a length or chunks.

    Parameters
    ----------
    transport
        The connection's transport.
    write_gate
        Pauses the reply while the caller reads slowly.
    memory
        Counts the bytes that wait for earlier replies.
    """

    __slots__ = (
        '_broken',
        '_gate',
        '_held',
        '_is_open',
        '_opened',
        '_transport',
        'ends_with_connection',
        'memory',
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        write_gate: WriteGate,
        memory: RequestMemory | None = None,
    ) -> None:
        self.memory = memory or make_unlimited()
        self._transport = transport
        self._gate = write_gate
        self._held: list[bytes] = []
        self._is_open = True
        self._broken = False
        self.ends_with_connection = False
        self._opened: asyncio.Event | None = None

    @property
    def is_writable(self) -> bool:
        """Whether data would be sent immediately."""
        return self._is_open and self._gate.is_open

    @property
    def is_closed_by_caller(self) -> bool:
        """Whether the caller has closed the connection."""
        return is_closed_by_peer(self._transport)

    def hold(self) -> None:
        """Buffer all data until ``release``."""
        self._is_open = False
        self._opened = asyncio.Event()

    def release(self) -> None:
        """Send the buffered data and stop buffering."""
        if self._is_open:
            return
        self._is_open = True
        if self._opened is not None:
            self._opened.set()
        if self._broken:
            self.abort()
        elif self._held:
            self._transport.write(b''.join(self._held))
            self._held.clear()
            self.memory.clear(Holder.OUTPUT)

    def write(self, chunk: bytes) -> None:
        """Send data, or buffer it after ``hold`` until ``release``."""
        if self._is_open:
            self._transport.write(chunk)
        else:
            self._held.append(chunk)
            self.memory.add(Holder.OUTPUT, len(chunk))

    def abort(self) -> None:
        """Break off the reply; its connection is closed once it ends.

        The end of the connection completes a reply without a length, so the
        connection is reset then.
        """
        self._held.clear()
        self.memory.clear(Holder.OUTPUT)
        self._broken = True
        if self._is_open and self.ends_with_connection:
            reset_on_close(self._transport)
            self._transport.abort()

    async def wait(self) -> None:
        """Wait until data would be sent immediately."""
        if self._opened is not None:
            await self._opened.wait()
        await self._gate.wait()


class Reply:
    """Formats and writes one reply to a connection.

    While ``may_have_run`` is set, no error response says that the request did
    not run. ``blocked_time`` is the time that the reply waited for a slow
    caller or for earlier replies. ``has_next_request`` is set once a later
    pipelined request has arrived, for which the connection must stay open.
    ``refusal_headers`` are added to error responses.

    Parameters
    ----------
    writer
        Sends the reply.
    state
        The listener's state.
    head_only
        Whether the request method is HEAD.
    keep_alive
        Whether the caller may reuse the connection.
    accepts_chunked
        Whether the caller supports chunked bodies.
    call_number
        The call number of the request, if it has one.
    """

    def __init__(
        self,
        writer: ReplyWriter,
        state: DrainState,
        *,
        head_only: bool = False,
        keep_alive: bool = False,
        accepts_chunked: bool = True,
        call_number: bytes | None = None,
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
        self._call_number = call_number
        self._head = b''
        self._chunked = False
        self._ended = False

    @property
    def ended(self) -> bool:
        """Whether the reply is complete."""
        return self._ended

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection stays open after the reply."""
        return self._keep_alive

    def disable_keep_alive(self) -> None:
        """Close the connection after the reply."""
        self._keep_alive = False

    def send_continue(self) -> None:
        """Send 100 Continue to a caller that waits for it."""
        self.writer.write(CONTINUE_RESPONSE)

    def start(
        self, status: int, headers: Sequence[Header], length: int | None
    ) -> None:
        """Start a reply whose body has ``length`` bytes, None if unknown."""
        if self._state.draining and not self.has_next_request:
            self._keep_alive = False
        sent_headers = list(headers)
        if length is not None and status not in _BODILESS_STATUSES:
            sent_headers.append((header_names.CONTENT_LENGTH, b'%d' % length))
        elif self._allows_body(status):
            sent_headers.extend(self._delimit_body())
        if self._call_number is not None:
            sent_headers.append((header_names.CALL_NUMBER, self._call_number))
        if not self._keep_alive:
            sent_headers.append(_CLOSE)
        self.started = True
        self._head = build_response_head(status, sent_headers)

    def write(self, chunk: bytes) -> None:
        """Send part of the body."""
        framed = frame_chunk(chunk) if self._chunked else chunk
        self.writer.write(self._take_head() + framed)

    async def drain(self) -> None:
        """Wait until more of the body can be sent."""
        if self.writer.is_writable:
            return
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self.writer.wait()
        self.blocked_time += dt.timedelta(seconds=loop.time() - started)

    def finish(self, chunk: bytes = b'') -> None:
        """Send the last part of the body and end the reply."""
        tail = chunk
        if self._chunked:
            framed = frame_chunk(chunk) if chunk else b''
            tail = framed + LAST_CHUNK
        self.writer.write(self._take_head() + tail)
        self._ended = True

    def respond(
        self, status: int, headers: Sequence[Header], body: bytes
    ) -> None:
        """Send a complete reply."""
        self.start(status, headers, len(body))
        self.finish(body if self._allows_body(status) else b'')

    def refuse(self, error: BluebellError) -> None:
        """Reply with an error response.

        If the reply has started, the connection is closed instead, so that
        the caller can't mistake a partial reply for a complete one.
        """
        if self.started:
            self.writer.abort()
            return
        response = ERROR_RESPONSES[error.kind]
        headers = [
            *self.refusal_headers,
            _JSON,
            (header_names.ERROR, error.kind.value.encode()),
        ]
        if response.not_run and not self.may_have_run:
            headers.append((header_names.NOT_RUN, b'1'))
        if response.retry_after is not None:
            seconds = max(1, round(response.retry_after.total_seconds()))
            headers.append((header_names.RETRY_AFTER, b'%d' % seconds))
        self.respond(response.status, headers, encode_error(error))

    def _delimit_body(self) -> list[Header]:
        """Return the headers of a body of unknown length.

        Its end is marked by the last chunk, or by closing the connection if
        the caller does not support chunked bodies.
        """
        if self._accepts_chunked:
            self._chunked = True
            return [_CHUNKED]
        self._keep_alive = False
        self.writer.ends_with_connection = True
        return []

    def _allows_body(self, status: int) -> bool:
        return not self._head_only and status not in _BODILESS_STATUSES

    def _take_head(self) -> bytes:
        head = self._head
        self._head = b''
        return head
