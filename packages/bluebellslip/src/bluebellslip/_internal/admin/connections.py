"""Connections of operators, bounded in number, size and time."""

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bluebellslip._internal.admin.errors import encode_closing_response
from bluebellslip._internal.exceptions import (
    BluebellError,
    MalformedError,
    TooLargeError,
)
from bluebellslip._internal.kernel.counters import Counters

MAX_HEAD_BYTES: Final = 16 << 10
HEAD_TIMEOUT_SECONDS: Final = 10.0
# Applies to clients of this instance and to remote clients separately.
MAX_CONNECTIONS_PER_ORIGIN: Final = 64


class BoundedProtocol(HttpToolsProtocol):
    """Uvicorn's protocol; drops clients that ask for too much.

    Connections from this instance and from elsewhere are bounded apart, so
    that no crowd of remote clients keeps the backend server beside the node
    from announcing itself.

    Parameters
    ----------
    counters
        Counts what is refused before it reaches the application.
    """

    def __init__(self, counters: Counters, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._counters = counters
        self._head_bytes = 0
        self._in_head = True
        self._head_timer: asyncio.TimerHandle | None = None

    @property
    def is_local(self) -> bool:
        """Whether the client is on this instance."""
        if self.client is None or self.server is None:
            return False
        return self.client[0] == self.server[0]

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start to wait for the first head, if there is room."""
        super().connection_made(transport)
        if self._exceeds_connection_limit():
            self._counters.add('admin_connections_refused')
            transport.abort()
            return
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what came, unless the head grows too long."""
        if self.transport.is_closing():
            return
        if self._in_head:
            if self._head_timer is None:
                self._start_head_timer()
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self._refuse(
                TooLargeError(
                    'The head of the request is too large.',
                    hint=f'Allowed are {MAX_HEAD_BYTES} bytes.',
                )
            )

    def send_400_response(self, msg: str) -> None:
        """Answer what is no HTTP."""
        self._refuse(MalformedError(msg, hint='Send HTTP/1.1.'))

    def on_headers_complete(self) -> None:
        """Go over to the body."""
        self._in_head = False
        self._cancel_head_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the next head."""
        super().on_message_complete()
        self._in_head = True
        self._head_bytes = 0

    def _exceeds_connection_limit(self) -> bool:
        same_origin = [
            other
            for other in self.connections
            if isinstance(other, BoundedProtocol)
            and other.is_local is self.is_local
        ]
        return len(same_origin) > MAX_CONNECTIONS_PER_ORIGIN

    def _refuse(self, error: BluebellError) -> None:
        if not self.transport.is_closing():
            self._counters.add('admin_refused', kind=error.kind)
            self.transport.write(encode_closing_response(error))
            self.transport.close()

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_SECONDS, self._drop_stalled
        )

    def _drop_stalled(self) -> None:
        self._head_timer = None
        self._counters.add('admin_connections_stalled')
        self.transport.abort()

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
