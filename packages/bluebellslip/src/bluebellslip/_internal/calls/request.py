"""A request received from a caller."""

import asyncio
import dataclasses
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.calls import headers as header_names
from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.memory_shares import (
    RequestMemory,
    make_unlimited,
)
from bluebellslip._internal.calls.reply import Reply
from bluebellslip._internal.calls.streams import ReadBuffer
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
)

# Why a request that was read got no response, for the log: it arrived on a
# connection that was being closed, its caller left before it was started, or
# its complete response was held behind an earlier one when its caller left.
IGNORED: Final = 'ignored'
NOT_STARTED: Final = 'caller-left-waiting'
UNDELIVERED: Final = 'undelivered'


@dataclasses.dataclass(slots=True, eq=False)
class InboundRequest:
    """One request and the reply to it.

    ``fields`` maps header names to values; of a repeated header it keeps only
    the last value. ``expired`` is set when the call times out,
    ``interruption`` is the error to reply with when the serving task was
    cancelled for one, ``connection_closed`` is set when its connection is
    closed before the reply is complete, ``closed_by_node`` if it was not the
    caller who closed it, ``done`` when the node has finished processing the
    request. ``memory`` counts the bytes that wait for it.
    """

    method: bytes
    target: bytes
    headers: list[Header]
    fields: dict[bytes, bytes]
    body: ReadBuffer
    reply: Reply
    expired: bool = False
    interruption: BluebellError | None = None
    connection_closed: bool = False
    closed_by_node: bool = False
    done: bool = False
    memory: RequestMemory = dataclasses.field(default_factory=make_unlimited)
    _task: asyncio.Task[None] | None = None
    _timer: asyncio.TimerHandle | None = None
    _continue_sent: bool = False

    @property
    def reusable(self) -> bool:
        """Whether the connection may serve another request."""
        reply = self.reply
        return reply.ended and reply.keeps_alive and self.body.complete

    @property
    def closes_connection(self) -> bool:
        """Whether the caller was told that the connection will be closed."""
        return self.reply.started and not self.reply.keeps_alive

    def attach_task(self, task: asyncio.Task[None]) -> None:
        """Set the task that serves the request."""
        self._task = task

    def expire_after(self, seconds: float) -> None:
        """Cancel the serving task after a timeout in seconds."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(seconds, self._expire)

    def cancel(self, *, by_node: bool = False) -> None:
        """Stop serving the request, since its connection is closed.

        Parameters
        ----------
        by_node
            Whether this node closed the connection, not the caller.
        """
        self.closed_by_node = by_node and not self.connection_closed
        self.connection_closed = True
        if self._task is not None:
            self._task.cancel()

    def interrupt(self, error: BluebellError) -> None:
        """Cancel the serving task and reply with an error."""
        self.interruption = error
        if self._task is not None:
            self._task.cancel()

    def mark_done(self) -> None:
        """Mark the request as fully processed."""
        self.done = True
        # A cancelled task refers to the frames of its request.
        self._task = None
        self.memory.release()
        if self._timer is not None:
            self._timer.cancel()

    def send_continue(self) -> None:
        """Send 100 Continue, once, if the caller waits for it."""
        waits = header_names.EXPECT in self.fields and not self.body.complete
        if waits and not self._continue_sent:
            self._continue_sent = True
            self.reply.send_continue()

    def _expire(self) -> None:
        self.expired = True
        self.interrupt(
            DeadlineExceededError(
                'The call has timed out.',
                hint='Allow more time, or check the load of the server.',
            )
        )


Refuser = Callable[[InboundRequest, BluebellError], None]
UnansweredListener = Callable[[InboundRequest, str], None]


def send_error(request: InboundRequest, error: BluebellError) -> None:
    """Respond to a request with an error."""
    request.reply.refuse(error)
