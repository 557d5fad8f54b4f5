"""Reads request bodies within limits of size and time."""

import datetime as dt
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Final

import anyio

from bluebellslip._internal.exceptions import MalformedError, TooLargeError

Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
AsgiScope = MutableMapping[str, Any]

MAX_BODY_BYTES: Final = 1 << 20
_BODY_TIMEOUT: Final = dt.timedelta(seconds=10)


async def read_body(receive: Receive, limit: int = MAX_BODY_BYTES) -> bytes:
    """Return the complete body of at most ``limit`` bytes.

    Raises
    ------
    TooLargeError
        If the body exceeds the limit.
    MalformedError
        If the body does not arrive in time or the client disconnects.
    """
    try:
        with anyio.fail_after(_BODY_TIMEOUT.total_seconds()):
            return await _collect(receive, limit)
    except TimeoutError as error:
        raise MalformedError(
            'The request body did not arrive in time.',
            hint=f'Send it within {_BODY_TIMEOUT.total_seconds():.0f} s.',
        ) from error


async def _collect(receive: Receive, limit: int) -> bytes:
    chunks = bytearray()
    more = True
    while more:
        message = await receive()
        if message['type'] == 'http.disconnect':
            raise MalformedError(
                'The client disconnected before the request body was complete.'
            )
        chunks += message.get('body', b'')
        if len(chunks) > limit:
            raise TooLargeError(
                'The request body is too large.',
                context={'found': f'over {limit} bytes'},
                hint=f'At most {limit} bytes are allowed.',
            )
        more = message.get('more_body', False)
    return bytes(chunks)
