"""Parsing of responses with the httptools response parser."""

import asyncio
import dataclasses
from typing import Final

import httptools

from bluebellslip._internal.calls.headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
)
from bluebellslip._internal.calls.input_meter import (
    HeaderCounter,
    InputMeter,
    describe_limit,
)
from bluebellslip._internal.calls.streams import ReadBuffer
from bluebellslip._internal.exceptions import BluebellError, ServerFailedError

MAX_RESPONSE_HEAD_BYTES: Final = 64 * 1024
# Total size of the responses to other requests that may precede a response.
MAX_SKIPPED_BYTES: Final = 1 << 20
_CONTINUE_STATUS: Final = 100
# Continue, Processing and Early Hints; the response itself follows.
_INTERIM_STATUSES: Final = frozenset((_CONTINUE_STATUS, 102, 103))
_FINAL_STATUSES: Final = range(200, 600)
_MIN_HEAD_BYTES: Final = len(b'HTTP/1.1 200\r\n\r\n')


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response; ``fields`` maps names to values.

    ``length`` is None if the response has no valid content-length.
    """

    status: int
    headers: list[Header]
    fields: dict[bytes, bytes]
    length: int | None


class ResponseReader:
    """Parser of one connection's responses.

    ``usable`` becomes false once the connection must not carry another
    exchange. ``response_complete`` and ``received_nothing`` describe the
    response of the latest exchange.
    """

    def __init__(self) -> None:
        self.usable = True
        self.response_complete = True
        self.received_nothing = True
        self._pieces: list[bytes] = []
        # The parser calls this for each chunk of a body, however small.
        self.on_body = self._pieces.append
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._meter = InputMeter()
        self._header_counter = HeaderCounter()
        self._in_body = False
        self._head_received: asyncio.Future[ResponseHead] | None = None
        self._body: ReadBuffer | None = None
        self._head_only = False
        self._until_close = False
        self._echo: Header | None = None
        self._stray = False
        self._skipped_bytes = 0
        self._continue_received: asyncio.Future[None] | None = None

    def watch_for_continue(self) -> asyncio.Future[None]:
        """Return a future that is done at 100 Continue or a failure."""
        self._continue_received = asyncio.get_running_loop().create_future()
        return self._continue_received

    def expect(
        self,
        head_received: asyncio.Future[ResponseHead],
        body: ReadBuffer,
        *,
        head_only: bool,
        echo: Header | None = None,
    ) -> None:
        """Start an exchange.

        Parameters
        ----------
        head_received
            Receives the response's head.
        body
            Receives the response's body.
        head_only
            Whether the response has no body, as for HEAD.
        echo
            Header that identifies the response to this request. A response
            with another value belongs to an earlier request and is skipped.
        """
        self._echo = echo
        self._stray = False
        self._skipped_bytes = 0
        self._continue_received = None
        self._head_received = head_received
        self._body = body
        self._head_only = head_only
        self._until_close = False
        self.response_complete = False
        self.received_nothing = True

    def feed(self, chunk: bytes | memoryview) -> None:
        """Parse input; the chunk may be used again afterwards.

        Raises
        ------
        ServerFailedError
            When the input is not a valid response or was not requested.
        """
        if self.response_complete:
            raise ServerFailedError('The server sent an unrequested response.')
        self.received_nothing = False
        rest = memoryview(chunk)
        while rest:
            part = rest[: self._meter.room]
            error = _parse(self._parser, part)
            self._take_pieces()
            if error is not None:
                raise error
            rest = rest[len(part) :]
            self._meter.advance(len(part), in_body=self._in_body)
            if self._meter.exceeds(MAX_RESPONSE_HEAD_BYTES):
                raise _make_too_large_error(in_body=self._in_body)

    def end_input(self, *, clean: bool) -> None:
        """Handle the end of the connection.

        A clean end, without a connection error, completes a response that has
        neither a valid content-length nor a transfer-encoding.
        """
        self.usable = False
        if self._until_close and clean and not self._stray:
            self._finish()
        self.fail(ServerFailedError('The server closed the connection.'))

    def fail(self, error: BluebellError) -> None:
        """Raise an error in the readers of the incomplete response."""
        self._until_close = False
        if self._body is not None:
            self._body.fail(error)
        if self._head_received is not None and not self._head_received.done():
            self._head_received.set_exception(error)
            # asyncio would log an exception that is never retrieved.
            self._head_received.exception()
        self._signal_continue()

    def on_message_begin(self) -> None:
        """Start a new head; a second response makes the connection unusable."""
        self._in_body = False
        self._headers = []
        self._header_counter.clear()
        if self.response_complete:
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        self._header_counter.add_header(name, value)
        if self._header_counter.exceeds(MAX_RESPONSE_HEAD_BYTES):
            raise _make_too_large_error(in_body=self._in_body)
        if not self._in_body:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Deliver the head, unless it is informational or is skipped."""
        status = self._parser.get_status_code()
        head_size = self._header_counter.size
        if status == _CONTINUE_STATUS:
            self._signal_continue()
        if status in _INTERIM_STATUSES:
            return
        if status not in _FINAL_STATUSES:
            # A status that is no response would be waited behind.
            raise ServerFailedError(
                'The server sent a response with an invalid status.',
                context={'found': str(status)},
            )
        self._meter.record_progress()
        self._header_counter.clear()
        self._in_body = True
        if self.response_complete:
            return
        head = _make_head(status, self._headers)
        self._stray = _is_stray(head, self._echo)
        if self._stray:
            self.usable = False
            self._skip(head_size + _MIN_HEAD_BYTES)
            return
        self._until_close = _ends_at_close(head)
        if self._head_received is not None and not self._head_received.done():
            self._head_received.set_result(head)
        if self._head_only:
            # The parser would still expect a body that the headers announce.
            self.usable = False
            self._finish()

    def on_message_complete(self) -> None:
        """Mark the response as complete."""
        self._take_pieces()
        if self._parser.get_status_code() in _INTERIM_STATUSES:
            return
        self._meter.record_progress()
        self._in_body = False
        if self._stray:
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._finish()

    def _take_pieces(self) -> None:
        """Pass the parts of a body on."""
        if not self._pieces:
            return
        chunk = b''.join(self._pieces)
        self._pieces.clear()
        self._meter.record_progress()
        if self._stray:
            self._skip(len(chunk))
        elif self._body is not None and not self.response_complete:
            self._body.feed(chunk)

    def _skip(self, size: int) -> None:
        self._skipped_bytes += size
        if self._skipped_bytes > MAX_SKIPPED_BYTES:
            raise ServerFailedError(
                'Too many bytes of responses to other requests were skipped.',
                context={'limit': f'{MAX_SKIPPED_BYTES} bytes'},
            )

    def _signal_continue(self) -> None:
        if (
            self._continue_received is not None
            and not self._continue_received.done()
        ):
            self._continue_received.set_result(None)

    def _finish(self) -> None:
        self.response_complete = True
        if self._body is not None:
            self._body.finish()


def _make_head(status: int, headers: list[Header]) -> ResponseHead:
    fields = dict(headers)
    length = fields.get(CONTENT_LENGTH)
    if length is None or not length.isdigit():
        return ResponseHead(status, headers, fields, None)
    return ResponseHead(status, headers, fields, int(length))


def _is_stray(head: ResponseHead, echo: Header | None) -> bool:
    if echo is None:
        return False
    name, value = echo
    return head.fields.get(name, value) != value


def _make_too_large_error(*, in_body: bool) -> ServerFailedError:
    message = (
        'The trailers or chunk headers of a response are too large.'
        if in_body
        else 'The response head is too large.'
    )
    return ServerFailedError(
        message, context=describe_limit(MAX_RESPONSE_HEAD_BYTES)
    )


def _parse(
    parser: httptools.HttpResponseParser, part: memoryview
) -> ServerFailedError | None:
    """Parse a part of the input; return the error if it is invalid."""
    try:
        parser.feed_data(part)
    except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
        return _to_server_error(error)
    return None


def _to_server_error(error: BaseException) -> ServerFailedError:
    cause = error.__context__
    if isinstance(cause, ServerFailedError):
        return cause
    return ServerFailedError(
        'The server sent an invalid response.', context={'found': str(error)}
    )


def _ends_at_close(head: ResponseHead) -> bool:
    return head.length is None and TRANSFER_ENCODING not in head.fields
