"""Requests out of bytes, by the httptools request parser."""

import asyncio
from collections.abc import Callable
from typing import Final

import httptools

from bluebellslip._internal.calls.headers import (
    CALL,
    CONTENT_LENGTH,
    TRANSFER_ENCODING,
    Header,
)
from bluebellslip._internal.calls.reply import LeavingState, Reply
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.streams import ReadBuffer, WriteGate
from bluebellslip._internal.exceptions import (
    BluebellError,
    MalformedError,
    TooLargeError,
)

MAX_HEAD_BYTES: Final = 32 * 1024
MAX_HEADERS: Final = 128
_HEAD: Final = b'HEAD'
_NOTHING: Final = b'0'


class RequestReader:
    """Parser of one connection's input.

    Parameters
    ----------
    transport
        Where the bytes come from and replies go.
    gate
        What holds replies back.
    state
        The listener's state.
    on_request
        Called with each request as soon as its head is whole.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        gate: WriteGate,
        state: LeavingState,
        on_request: Callable[[InboundRequest], None],
    ) -> None:
        self._transport = transport
        self._gate = gate
        self._state = state
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._current: InboundRequest | None = None
        self._target = b''
        self._headers: list[Header] = []
        self._head_size = 0
        self._raw_size = 0
        self._between = True

    def feed(self, chunk: bytes) -> None:
        """Parse input.

        Raises
        ------
        BluebellError
            When it is no HTTP/1.1 or over a bound.
        """
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            raise MalformedError('Protocol upgrades are not served.') from None
        except httptools.HttpParserError as error:
            raise _find_cause(error) from error
        self._check_partial_head(len(chunk))

    def fail(self, error: BluebellError) -> bool:
        """Break off the request whose body is being read, if there is one."""
        if self._current is None:
            return False
        self._current.reply.spoil()
        self._current.body.fail(error)
        return True

    def on_message_begin(self) -> None:
        """Start a new head."""
        self._between = False
        self._target = b''
        self._headers = []
        self._head_size = 0

    def on_url(self, url: bytes) -> None:
        """Take in a part of the target."""
        self._target += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Take in a header."""
        self._headers.append((name.lower(), text))
        self._head_size += len(name) + len(text)

    def on_headers_complete(self) -> None:
        """Hand the request over."""
        self._check_head()
        method = self._parser.get_method()
        fields = dict(self._headers)
        request = InboundRequest(
            method=method,
            target=self._target,
            headers=self._headers,
            fields=fields,
            body=ReadBuffer(self._transport),
            reply=Reply(
                self._transport,
                self._gate,
                self._state,
                headless=method == _HEAD,
                keep_alive=self._parser.should_keep_alive(),
                modern=self._parser.get_http_version() == '1.1',
                call=fields.get(CALL),
            ),
        )
        self._current = request
        self._raw_size = 0
        if not _has_body(fields):
            request.body.finish()
        self._on_request(request)

    def on_body(self, chunk: bytes) -> None:
        """Take in a part of the body."""
        if self._current is not None:
            self._current.body.feed(chunk)

    def on_message_complete(self) -> None:
        """Mark the request's body as whole."""
        if self._current is not None:
            self._current.body.finish()
            self._current = None
        self._between = True

    def _check_head(self) -> None:
        size = self._head_size + len(self._target)
        if size > MAX_HEAD_BYTES or len(self._headers) > MAX_HEADERS:
            raise _make_too_large()

    def _check_partial_head(self, size: int) -> None:
        """Bound what the parser itself holds of a head that has no end."""
        if self._current is not None or self._between:
            self._raw_size = 0
            return
        self._raw_size += size
        if self._raw_size > MAX_HEAD_BYTES:
            raise _make_too_large()


def _make_too_large() -> TooLargeError:
    return TooLargeError(
        'The head of the request is too large.',
        context={'limit': f'{MAX_HEAD_BYTES} bytes, {MAX_HEADERS} headers'},
    )


def _has_body(fields: dict[bytes, bytes]) -> bool:
    if TRANSFER_ENCODING in fields:
        return True
    return fields.get(CONTENT_LENGTH, _NOTHING) != _NOTHING


def _find_cause(error: BaseException) -> BluebellError:
    cause = error.__context__
    if isinstance(cause, BluebellError):
        return cause
    return MalformedError(
        'The request is no HTTP/1.1.', context={'found': str(error)}
    )
