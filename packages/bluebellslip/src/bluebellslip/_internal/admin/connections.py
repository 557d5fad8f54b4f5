"""Connections of operators, bounded in the size and time of a head."""

import asyncio
from typing import Any, Final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

HEAD_LIMIT: Final = 16 << 10  # bytes
HEAD_TIMEOUT_SECONDS: Final = 10.0


class BoundedProtocol(HttpToolsProtocol):
    """Uvicorn's protocol; drops clients whose head is too long or slow."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._head_bytes = 0
        self._in_head = True
        self._head_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Start to wait for the first head."""
        super().connection_made(transport)
        self._await_head()

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop waiting."""
        self._forget_timer()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what came, unless the head grows too long."""
        if self._in_head:
            if self._head_timer is None:
                self._await_head()
            self._head_bytes += len(data)
        super().data_received(data)
        if self._in_head and self._head_bytes > HEAD_LIMIT:
            self.transport.close()

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

    def _await_head(self) -> None:
        self._head_timer = self.loop.call_later(
            HEAD_TIMEOUT_SECONDS, self._give_up
        )

    def _give_up(self) -> None:
        self._head_timer = None
        self.transport.abort()

    def _forget_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
