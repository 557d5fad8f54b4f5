"""Answers out of bytes, by the httptools response parser."""

import asyncio
import dataclasses
from typing import Final

import httptools

from bluebellslip._internal.calls.headers import (
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
)
from bluebellslip._internal.calls.streams import ReadBuffer
from bluebellslip._internal.exceptions import BluebellError, ServerFailedError

MAX_RESPONSE_HEAD_BYTES: Final = 64 * 1024
_CONTINUE: Final = 100
_FIRST_FINAL_STATUS: Final = 200


@dataclasses.dataclass(slots=True)
class ResponseHead:
    """Status and headers of an answer; ``fields`` are those by name.

    ``length`` is none where the answer's end is marked otherwise.
    """

    status: int
    headers: list[Header]
    fields: dict[bytes, bytes]
    length: int | None


class ResponseReader:
    """Parser of one connection's answers.

    ``usable`` turns false as soon as the connection must not carry another
    exchange; ``answered`` tells that the newest exchange's answer is whole,
    ``silent`` that nothing of it came in.
    """

    def __init__(self) -> None:
        self.usable = True
        self.response_complete = True
        self.received_nothing = True
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[Header] = []
        self._head_size = 0
        self._head_received: asyncio.Future[ResponseHead] | None = None
        self._body: ReadBuffer | None = None
        self._head_only = False
        self._until_close = False
        self._echo: Header | None = None
        self._stray = False
        self._continue_received: asyncio.Future[None] | None = None

    def watch_for_continue(self) -> asyncio.Future[None]:
        """Return what is done when the server asks for the body."""
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
        """Begin an exchange.

        Parameters
        ----------
        answer
            Receives the answer's head.
        body
            Receives the answer's body.
        headless
            Whether the answer has no body.
        echo
            Header that tells an answer to this request. One that carries
            another text belongs to an earlier request and is passed over.
        """
        self._echo = echo
        self._stray = False
        self._continue_received = None
        self._head_received = head_received
        self._body = body
        self._head_only = head_only
        self._until_close = False
        self.response_complete = False
        self.received_nothing = True

    def feed(self, chunk: bytes) -> None:
        """Parse input.

        Raises
        ------
        ServerFailedError
            When it is no answer, or one that nothing asked for.
        """
        if self.response_complete:
            raise ServerFailedError('The server sent what nothing asked for.')
        self.received_nothing = False
        try:
            self._parser.feed_data(chunk)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            raise ServerFailedError(
                'The server sent what is no answer.',
                context={'found': str(error)},
            ) from error

    def end_input(self, *, clean: bool) -> None:
        """Take in the connection's end, which may be the answer's too."""
        self.usable = False
        if self._until_close and clean and not self._stray:
            self._finish()
        self.fail(ServerFailedError('The server closed the connection.'))

    def fail(self, error: BluebellError) -> None:
        """Let who waits for the rest of the answer see an error."""
        if self._body is not None:
            self._body.fail(error)
        if self._head_received is not None and not self._head_received.done():
            self._head_received.set_exception(error)
            self._head_received.exception()
        self._signal_continue()

    def on_message_begin(self) -> None:
        """Start a new head; a second answer spoils the connection."""
        self._headers = []
        self._head_size = 0
        if self.response_complete:
            self.usable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take in a header."""
        self._head_size += len(value)
        if self._head_size > MAX_RESPONSE_HEAD_BYTES:
            raise ServerFailedError('The head of the answer is too large.')
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Hand the head over; informational ones are left out."""
        status = self._parser.get_status_code()
        if status == _CONTINUE:
            self._signal_continue()
        if status < _FIRST_FINAL_STATUS or self.response_complete:
            return
        head = _make_head(status, self._headers)
        self._stray = self._is_stray(head)
        if self._stray:
            self.usable = False
            return
        self._until_close = _ends_at_close(head)
        if self._head_received is not None and not self._head_received.done():
            self._head_received.set_result(head)
        if self._head_only:
            self.usable = False
            self._finish()

    def on_body(self, chunk: bytes) -> None:
        """Take in a part of the body."""
        if self._body is not None and not (
            self.response_complete or self._stray
        ):
            self._body.feed(chunk)

    def on_message_complete(self) -> None:
        """Mark the answer as whole."""
        if self._parser.get_status_code() < _FIRST_FINAL_STATUS or self._stray:
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._finish()

    def _is_stray(self, head: ResponseHead) -> bool:
        if self._echo is None:
            return False
        name, value = self._echo
        return head.fields.get(name, value) != value

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


def _ends_at_close(head: ResponseHead) -> bool:
    return head.length is None and TRANSFER_ENCODING not in head.fields
