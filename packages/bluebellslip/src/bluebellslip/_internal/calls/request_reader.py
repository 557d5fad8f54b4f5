"""Parsing of requests with the httptools request parser."""

import asyncio
import sys
from collections.abc import Callable
from typing import Final, Protocol

import httptools

from bluebellslip._internal.calls.headers import (
    CALL_NUMBER,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
)
from bluebellslip._internal.calls.input_meter import (
    HeaderCounter,
    InputMeter,
    describe_limit,
)
from bluebellslip._internal.calls.input_queue import (
    HEADER_STEPS,
    MESSAGE_STEPS,
)
from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.memory_budget import MemoryBudget
from bluebellslip._internal.calls.memory_shares import RequestMemory
from bluebellslip._internal.calls.read_pauses import Pausable
from bluebellslip._internal.calls.reply import (
    DrainState,
    Reply,
    ReplyWriter,
)
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.streams import ReadBuffer, WriteGate
from bluebellslip._internal.calls.unparsed_input import UnparsedInput
from bluebellslip._internal.exceptions import (
    BluebellError,
    MalformedError,
)

_HEAD: Final = b'HEAD'
_ZERO_LENGTH: Final = b'0'


class ReaderState(DrainState, Protocol):
    """The part of the listener's state that a reader depends on."""

    @property
    def limits(self) -> CallerLimits:
        """Limits on callers' requests."""

    @property
    def memory(self) -> MemoryBudget:
        """The account of the bytes that wait."""


class RequestReader:
    """Parser of one connection's input.

    While ``is_paused`` is set, input is kept in ``unparsed``.
    ``is_receiving_body`` says whether a request's body is not complete.
    ``head_started_at`` is the loop time in seconds at which an incomplete head
    began, or None.

    Parameters
    ----------
    transport
        The connection's transport.
    write_gate
        Pauses replies while the caller reads slowly.
    state
        The listener's state.
    on_request
        Called with each request as soon as its head is complete.
    pauses
        Pauses reading for a body that is not taken; by default the transport.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        write_gate: WriteGate,
        state: ReaderState,
        on_request: Callable[[InboundRequest], None],
        pauses: Pausable | None = None,
    ) -> None:
        self.is_paused = False
        self.is_receiving_body = False
        self.head_started_at: float | None = None
        self.unparsed = UnparsedInput()
        self._transport = transport
        self._write_gate = write_gate
        self._state = state
        self._on_request = on_request
        self._pauses = pauses or transport
        self._pieces: list[bytes] = []
        # The parser calls this for each chunk of a body, however small.
        self.on_body = self._pieces.append
        self._parser: httptools.HttpRequestParser | None = (
            httptools.HttpRequestParser(self)
        )
        self._current: InboundRequest | None = None
        self._target = b''
        self._headers: list[Header] = []
        self._meter = InputMeter()
        self._header_counter = HeaderCounter()
        self._steps = 0

    @property
    def pending_memory(self) -> int:
        """Bytes of input that are not a request yet."""
        if self.head_started_at is None:
            return self.unparsed.memory
        return self.unparsed.memory + self._header_counter.memory

    def close(self) -> None:
        """Drop what was kept, and what refers to this object or its owner.

        Reference cycles would stay until the next full garbage collection.
        """
        self.unparsed.clear()
        self._parser = None
        self._on_request = _ignore_request

    def feed(
        self, chunk: bytes | memoryview = b'', max_steps: int = sys.maxsize
    ) -> int:
        """Parse what was kept, and a chunk that follows it.

        Input that is not parsed is copied, so the chunk may be used again.

        Parameters
        ----------
        chunk
            The input.
        max_steps
            Steps of work after which the rest is kept; see ``input_queue``.

        Returns
        -------
        int
            Steps that were taken.

        Raises
        ------
        BluebellError
            When the input is not valid HTTP/1.1 or exceeds a limit. What
            follows it is not kept.
        """
        self._steps = 0
        rest = self.unparsed.take(chunk)
        while rest and not self.is_paused and self._steps < max_steps:
            part = rest[: self._meter.room]
            rest = rest[len(part) :]
            self._parse_part(part)
        if rest:
            self.unparsed.keep(rest)
        return self._steps

    def fail(self, error: BluebellError) -> bool:
        """Fail the request whose body is being read.

        Returns whether there is one.
        """
        if self._current is None:
            return False
        self._current.reply.disable_keep_alive()
        self._current.body.fail(error)
        return True

    def on_message_begin(self) -> None:
        """Start a new head."""
        self.head_started_at = asyncio.get_running_loop().time()
        self._target = b''
        self._headers = []
        self._header_counter.clear()

    def on_url(self, url: bytes) -> None:
        """Append part of the target."""
        self._target += url
        self._header_counter.add(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        self._steps += HEADER_STEPS
        self._header_counter.add_header(name, value)
        self._check_headers()
        if self._current is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the request to the connection."""
        parser = self._parser
        if parser is None:
            return
        self.head_started_at = None
        self._check_headers()
        self._meter.record_progress()
        self._steps += MESSAGE_STEPS
        memory = RequestMemory.for_request(
            self._state.memory, self._header_counter.memory
        )
        self._header_counter.clear()
        method = parser.get_method()
        fields = dict(self._headers)
        request = InboundRequest(
            method=method,
            target=self._target,
            headers=self._headers,
            fields=fields,
            memory=memory,
            body=ReadBuffer(
                self._pauses,
                self._state.limits.buffered_bytes,
                memory=memory,
            ),
            reply=Reply(
                ReplyWriter(self._transport, self._write_gate, memory),
                self._state,
                head_only=method == _HEAD,
                keep_alive=parser.should_keep_alive(),
                accepts_chunked=parser.get_http_version() == '1.1',
                call_number=fields.get(CALL_NUMBER),
            ),
        )
        self._current = request
        self.is_receiving_body = True
        if not _has_body(fields):
            request.body.finish()
        self._on_request(request)

    def on_message_complete(self) -> None:
        """Mark the request's body as complete."""
        self._steps += len(self._pieces)
        self._take_pieces()
        self.is_receiving_body = False
        if self._current is not None:
            self._current.body.finish()
            self._current = None
        self._meter.record_progress()

    def _parse_part(self, part: memoryview) -> None:
        if self._parser is None:
            return
        error = _parse(self._parser, part)
        self._steps += len(self._pieces) + 1
        self._take_pieces()
        if error is not None:
            raise error
        in_body = self._current is not None
        self._meter.advance(len(part), in_body=in_body)
        limits = self._state.limits
        if self._meter.exceeds(limits.head_bytes):
            raise _make_too_large_error(limits, in_body=in_body)

    def _take_pieces(self) -> None:
        """Pass the parts of a body on."""
        if not self._pieces:
            return
        self._meter.record_progress()
        if self._current is not None:
            self._current.body.feed(b''.join(self._pieces))
        self._pieces.clear()

    def _check_headers(self) -> None:
        limits = self._state.limits
        if self._header_counter.exceeds(limits.head_bytes):
            raise _make_too_large_error(
                limits, in_body=self._current is not None
            )


def _make_too_large_error(
    limits: CallerLimits, *, in_body: bool
) -> BluebellError:
    message = (
        'The trailers or chunk headers of a request are too large.'
        if in_body
        else 'The request head is too large.'
    )
    return limits.head_error(message, context=describe_limit(limits.head_bytes))


def _ignore_request(request: InboundRequest) -> None:
    """Do nothing: the connection is closed."""


def _parse(
    parser: httptools.HttpRequestParser, part: memoryview
) -> BluebellError | None:
    """Parse a part of the input; return the error if it is invalid."""
    try:
        parser.feed_data(part)
    except httptools.HttpParserUpgrade:
        return MalformedError('Protocol upgrades are not supported.')
    except httptools.HttpParserError as error:
        return _to_bluebell_error(error)
    return None


def _has_body(fields: dict[bytes, bytes]) -> bool:
    if TRANSFER_ENCODING in fields:
        return True
    return fields.get(CONTENT_LENGTH, _ZERO_LENGTH) != _ZERO_LENGTH


def _to_bluebell_error(error: BaseException) -> BluebellError:
    cause = error.__context__
    if isinstance(cause, BluebellError):
        return cause
    return MalformedError(
        'The request is not valid HTTP/1.1.', context={'found': str(error)}
    )
