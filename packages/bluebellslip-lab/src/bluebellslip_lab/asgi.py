"""ASGI helpers shared by the simulated platform and backend server."""

from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final

import msgspec

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Headers = tuple[tuple[bytes, bytes], ...]

JSON_TYPE: Final = (b'content-type', b'application/json')
MAX_BODY_BYTES: Final = 1 << 25


class Response(msgspec.Struct, frozen=True):
    """A response with its whole body."""

    status: int
    body: bytes = b''
    headers: Headers = ()

    @classmethod
    def from_json(cls, value: object, status: int = 200) -> 'Response':
        """Return a response whose body is ``value`` encoded as JSON."""
        return cls(status, msgspec.json.encode(value), (JSON_TYPE,))


async def read_body(receive: Receive) -> bytes:
    """Return a request's whole body.

    Raises
    ------
    ValueError
        When the body is longer than ``MAX_BODY_BYTES``.
    """
    chunks = bytearray()
    more = True
    while more:
        message = await receive()
        chunks += message.get('body', b'')
        more = message.get('more_body', False)
        if len(chunks) > MAX_BODY_BYTES:
            raise ValueError('the request body is longer than MAX_BODY_BYTES')
    return bytes(chunks)


async def send_response(send: Send, response: Response) -> None:
    """Send a response with its ``content-length``."""
    length = str(len(response.body)).encode()
    await send({
        'type': 'http.response.start',
        'status': response.status,
        'headers': [*response.headers, (b'content-length', length)],
    })
    await send({'type': 'http.response.body', 'body': response.body})


async def send_truncated_response(send: Send) -> None:
    """Send the head of a response without its body.

    The body stays shorter than ``content-length``, so the server closes the
    connection.
    """
    await send({
        'type': 'http.response.start',
        'status': 200,
        'headers': [(b'content-length', b'1')],
    })
