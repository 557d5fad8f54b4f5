"""Closes connections without losing the responses sent on them.

Closing a socket that has unread input resets the connection, which discards
output that has not arrived yet. So only the sending direction is closed at
first; input is read and dropped until the caller closes the connection too.
"""

import asyncio
import contextlib
from typing import Final

from bluebellslip._internal.calls.sockets import count_undelivered

# A caller that has sent nothing for this long after the close, and has received
# everything, gets no more time to close the connection.
IDLE_LINGER_S: Final = 2.0
# Longest time for which the input of a closed connection is read and dropped.
MAX_LINGER_S: Final = 30.0


class LingeringClose:
    """The close of one connection.

    Parameters
    ----------
    transport
        The connection's transport.
    """

    def __init__(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._last_input: float = 0
        self._latest: float = 0

    @property
    def has_begun(self) -> bool:
        """Whether the connection is being closed."""
        return self._timer is not None

    def begin(self) -> None:
        """Close the sending direction once the pending output is sent.

        The connection goes on reading.
        """
        if self.has_begun or self._transport.is_closing():
            return
        self._last_input = self._loop.time()
        self._latest = self._last_input + MAX_LINGER_S
        # The caller may have reset the connection already.
        with contextlib.suppress(OSError):
            self._transport.write_eof()
        self._wait(IDLE_LINGER_S)

    def record_input(self) -> None:
        """Give the caller more time, since it is still sending."""
        self._last_input = self._loop.time()

    def stop(self) -> None:
        """Stop waiting; the connection is closed."""
        if self._timer is not None:
            self._timer.cancel()

    def _wait(self, duration: float) -> None:
        self._timer = self._loop.call_later(duration, self._check)

    def _check(self) -> None:
        now = self._loop.time()
        idle_time = now - self._last_input
        if now >= self._latest:
            self._transport.abort()
        elif idle_time < IDLE_LINGER_S:
            self._wait(IDLE_LINGER_S - idle_time)
        elif count_undelivered(self._transport):
            self._wait(IDLE_LINGER_S)
        else:
            self._transport.close()
