"""Limits on connections to the administration API."""

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
# Clients on this instance and remote clients are limited separately.
MAX_CONNECTIONS_PER_ORIGIN: Final = 64


class BoundedProtocol(HttpToolsProtocol):
    """Uvicorn's HTTP protocol with limits on connections and request heads.

    Local and remote connections are counted separately, so that many remote
    clients can't keep the backend server beside the node from announcing
    itself.

    Parameters
    ----------
    counters
        Counts requests and connections that are refused before they reach the
        application.
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
        """Start the timer of the first head, or refuse the connection."""
        super().connection_made(transport)
        if self._exceeds_connection_limit():
            self._counters.add('admin_connections_refused')
            transport.abort()
            return
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the timer of the head."""
        self._cancel_head_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse the data, and refuse a head that exceeds the limit."""
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
                    hint=f'At most {MAX_HEAD_BYTES} bytes are allowed.',
                )
            )

    def send_400_response(self, msg: str) -> None:
        """Respond to input that is not valid HTTP."""
        self._refuse(MalformedError(msg, hint='Send HTTP/1.1.'))

    def on_headers_complete(self) -> None:
        """Cancel the timer of the head; the body follows."""
        self._in_head = False
        self._cancel_head_timer()
        super().on_headers_complete()

    def on_message_complete(self) -> None:
        """Reset the count of head bytes for the next request."""
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
