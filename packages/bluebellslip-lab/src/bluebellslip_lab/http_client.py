"""Minimal HTTP client for load generation, based on httptools.

Idle connections are kept on a stack. A pool that scans all its connections
for each request becomes slow when many requests are in flight, and the delay
would look like a fault of the mesh.
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
    """The connection could not be made, so nothing was sent."""


class IncompleteResponseError(OSError):
    """The response was malformed or cut off by the end of the connection."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpResponse:
    """A complete response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class _ResponseReader:
    """Collects the parts of a response from the parser's callbacks."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.body = bytearray()
        self.is_complete = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; called by the parser."""
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        """Append a part of the body; called by the parser."""
        self.body += body

    def on_message_complete(self) -> None:
        """Mark the response complete, unless it is an interim one (1xx)."""
        if self.parser.get_status_code() >= 200:
            self.is_complete = True

    def response(self) -> HttpResponse:
        """Return the collected response."""
        return HttpResponse(
            self.parser.get_status_code(), self.headers, bytes(self.body)
        )


class HttpClient:
    """Client of one address, with keep-alive connections.

    Parameters
    ----------
    host
        IP address of the server.
    port
        TCP port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle_connections: list[tuple[float, SocketStream]] = []

    async def request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> HttpResponse:
        """Send a request and return the complete response.

        Raises
        ------
        ConnectFailedError
            When the connection could not be made; nothing was sent.
        IncompleteResponseError
            When the response ended early or was malformed.
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
        # A server may respond and close before it has read the whole body.
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
