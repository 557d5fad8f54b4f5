"""A lean HTTP client for load: a stack of connections and a library's parser.

A pool that looks at all its connections for each request collapses when
answers are late and requests pile up, which would be taken for a fault of
the mesh.
"""

import dataclasses
from contextlib import AsyncExitStack
from typing import Final

import anyio
import httptools
from anyio.abc import SocketStream

_MAX_IDLE_SECONDS: Final = 3.0
_READ_CHUNK_BYTES: Final = 1 << 16

Headers = tuple[tuple[bytes, bytes], ...]


class ConnectFailedError(OSError):
    """Nothing was sent, since the connection could not be made."""


class IncompleteResponseError(OSError):
    """The connection ended before the answer did."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A whole answer; the names of its headers are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class _ResponseReader:
    """Takes an answer in as the parser finds it."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header; the parser calls this."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body; the parser calls this."""
        self.body += body

    def on_message_complete(self) -> None:
        """Note the end, unless another answer follows a provisional one."""
        if self.parser.get_status_code() >= 200:
            self.is_complete = True

    def response(self) -> HttpResponse:
        """Return what was read."""
        return HttpResponse(
            self.parser.get_status_code(), self.headers, bytes(self.body)
        )


class HttpClient:
    """Connections to one address.

    Parameters
    ----------
    host
        IP number.
    port
        Port.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle_connections: list[tuple[float, SocketStream]] = []

    async def request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> HttpResponse:
        """Send a request and return the whole answer.

        Raises
        ------
        ConnectFailedError
            When nothing was sent.
        AnswerCutError
            When the answer ended early or made no sense.
        """
        stream = await self._acquire_connection()
        async with AsyncExitStack() as stack:
            stack.push_async_callback(anyio.aclose_forcefully, stream)
            reader = await _send_and_receive(
                stream, _format_head(method, target, headers, body), body
            )
            if reader.parser.should_keep_alive():
                stack.pop_all()
                self._idle_connections.append((anyio.current_time(), stream))
        return reader.response()

    async def aclose(self) -> None:
        """Close the connections that are not in use."""
        while self._idle_connections:
            await anyio.aclose_forcefully(self._idle_connections.pop()[1])

    async def _acquire_connection(self) -> SocketStream:
        while self._idle_connections:
            idle_since, stream = self._idle_connections.pop()
            if anyio.current_time() - idle_since < _MAX_IDLE_SECONDS:
                return stream
            await anyio.aclose_forcefully(stream)
        try:
            return await anyio.connect_tcp(self._host, self._port)
        except OSError as error:
            raise ConnectFailedError(str(error)) from error


async def _send_and_receive(
    stream: SocketStream, head: bytes, body: bytes
) -> _ResponseReader:
    reader = _ResponseReader()
    try:
        await stream.send(head + body)
    except anyio.BrokenResourceError:
        # A server may refuse a body that it has not read to its end.
        await anyio.lowlevel.checkpoint()
    while not reader.is_complete:
        try:
            reader.parser.feed_data(await stream.receive(_READ_CHUNK_BYTES))
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            httptools.HttpParserError,
        ) as error:
            raise IncompleteResponseError(repr(error)) from error
    return reader


def _format_head(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    lines = [f'{method} {target} HTTP/1.1'.encode()]
    lines += [b'%b: %b' % header for header in headers]
    if body:
        lines.append(b'content-length: %d' % len(body))
    return b'\r\n'.join((*lines, b'', b''))
