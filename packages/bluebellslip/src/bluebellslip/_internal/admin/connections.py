"""Connections of operators, bounded in number, size and time."""

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from bluebellslip._internal.admin.errors import encode_last_answer
from bluebellslip._internal.exceptions import (
    BluebellError,
    MalformedError,
    TooLargeError,
)
from bluebellslip._internal.kernel.counters import Counters

HEAD_LIMIT: Final = 16 << 10  # bytes
HEAD_TIMEOUT_SECONDS: Final = 10.0
CONNECTION_LIMIT: Final = 64  # from this instance, and as many from others


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
        if self._is_crowded():
            self._counters.add('admin_connections_refused')
            transport.abort()
            return
        self._await_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._forget_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what came, unless the head grows too long."""
        if self.transport.is_closing():
            return
        if self._in_head:
            if self._head_timer is None:
                self._await_head()
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_head and self._head_bytes > HEAD_LIMIT:
            self._refuse(
                TooLargeError(
                    'The head of the request is too large.',
                    hint=f'Allowed are {HEAD_LIMIT} bytes.',
                )
            )

    def send_400_response(self, msg: str) -> None:
        """Answer what is no HTTP."""
        self._refuse(MalformedError(msg, hint='Send HTTP/1.1.'))

    def on_headers_complete(self) -> None:
        """Go over to the body."""
        self._in_head = False
        self._forget_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Expect the next head."""
        super().on_message_complete()
        self._in_head = True
        self._head_bytes = 0

    def _is_crowded(self) -> bool:
        alike = [
            other
            for other in self.connections
            if isinstance(other, BoundedProtocol)
            and other.is_local is self.is_local
        ]
        return len(alike) > CONNECTION_LIMIT

    def _refuse(self, error: BluebellError) -> None:
        if not self.transport.is_closing():
            self._counters.add('admin_refused', kind=error.kind)
            self.transport.write(encode_last_answer(error))
            self.transport.close()

    def _await_head(self) -> None:
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_SECONDS, self._give_up
        )

    def _give_up(self) -> None:
        self._head_timer = None
        self._counters.add('admin_connections_stalled')
        self.transport.abort()

    def _forget_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
