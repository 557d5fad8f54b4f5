"""Server side of a connection.

Requests that a caller sends ahead are served side by side, up to a bound, and
answered in their order; reading is paused at the bound.
"""

import asyncio
import contextlib
import logging
from collections import deque
from typing import Final, Protocol

from bluebellslip._internal.calls.limits import CallerLimits
from bluebellslip._internal.calls.reply import Reply, ReplyWriter
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.request_reader import RequestReader
from bluebellslip._internal.calls.sockets import set_silence_timeouts
from bluebellslip._internal.calls.streams import WriteGate
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    MalformedError,
    RequestTimeoutError,
)
from bluebellslip._internal.kernel.counters import Counters

logger = logging.getLogger(__name__)

_WRITE_HIGH_WATER_BYTES: Final = 64 * 1024
# How long the rest of a body that was answered early is read and dropped.
# Closing with input unread would reset the connection and lose the answer.
_BODY_DISCARD_TIMEOUT_S: Final = 2.0


class Handler(Protocol):
    """What a listener does with requests."""

    async def handle(self, request: InboundRequest) -> None:
        """Answer a request; errors raised become answers."""


class ListenerState:
    """What the connections of one listener share.

    While it is ``leaving``, replies close their connections, but for those
    that are followed by another request; while ``finishing``, requests that
    follow are left unread, so that their callers send them elsewhere.

    Parameters
    ----------
    limits
        Bounds of the connections.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self.draining = False
        self.shutting_down = False
        self.limits = limits
        self.connections: set[InboundConnection] = set()


class InboundConnection(asyncio.Protocol):
    """One connection of a caller.

    Parameters
    ----------
    handler
        What answers the requests.
    counters
        Counts of refused input.
    state
        The listener's state, which this connection enters itself into.
    """

    transport: asyncio.Transport

    def __init__(
        self, handler: Handler, counters: Counters, state: ListenerState
    ) -> None:
        self._handler = handler
        self._counters = counters
        self._state = state
        self._write_gate = WriteGate()
        self._in_progress: deque[InboundRequest] = deque()
        self._waiting: deque[InboundRequest] = deque()
        self._refused = False
        self._paused = False

    @property
    def idle_since(self) -> float | None:
        """Loop time of the newest input, in seconds; none while serving."""
        return None if self._in_progress else self._last_read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to follow a connection."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        set_silence_timeouts(self.transport)
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(
            self.transport, self._write_gate, self._state, self._accept_request
        )
        self._last_read = self._loop.time()
        self._state.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the caller no longer waits for."""
        self._state.connections.discard(self)
        self._write_gate.open()
        self._waiting.clear()
        self._reader.fail(MalformedError('The caller broke off.'))
        for request in self._in_progress:
            request.cancel()

    def pause_writing(self) -> None:
        """Hold the reply back while the caller reads slowly."""
        self._write_gate.close()

    def resume_writing(self) -> None:
        """Let the reply go on."""
        self._write_gate.open()

    def data_received(self, chunk: bytes) -> None:
        """Parse input."""
        if self._refused:
            return
        self._last_read = self._loop.time()
        try:
            self._reader.feed(chunk)
        except BluebellError as error:
            self._refuse_input(error)

    def check_head_timeout(self, now: float) -> None:
        """Refuse a head that has been on its way for too long.

        Parameters
        ----------
        now
            Loop time in seconds.
        """
        limit = self._state.limits.head_timeout
        started = self._reader.head_started_at
        if limit is None or started is None or self._refused:
            return
        if now - started > limit.total_seconds():
            self._refuse_input(
                RequestTimeoutError('The head of the request took too long.')
            )

    def _accept_request(self, request: InboundRequest) -> None:
        if self._refused:
            return
        if self._state.shutting_down:
            self._refused = True
            if not self._in_progress:
                self._close()
            return
        if self._in_progress:
            request.reply.writer.hold()
            self._in_progress[-1].reply.has_next_request = True
        if (
            self._waiting
            or len(self._in_progress) >= self._state.limits.max_pipelined
        ):
            self._waiting.append(request)
            self._paused = True
            self.transport.pause_reading()
            return
        self._start_request(request)

    def _start_request(self, request: InboundRequest) -> None:
        self._in_progress.append(request)
        request.attach_task(self._loop.create_task(self._serve(request)))

    async def _serve(self, request: InboundRequest) -> None:
        try:
            await self._handle(request)
            await self._discard_remaining_body(request)
        finally:
            request.mark_done()
            self._advance()

    async def _handle(self, request: InboundRequest) -> None:
        try:
            await self._handler.handle(request)
        except BluebellError as error:
            self._reply_with_error(request, error)
        except asyncio.CancelledError:
            if not request.expired:
                raise
            self._reply_with_error(request, _make_expired())
        except Exception:
            logger.exception('A call failed by a fault of the node.')
            self._reply_with_error(request, BluebellError('The node failed.'))

    async def _discard_remaining_body(self, request: InboundRequest) -> None:
        if request.body.complete or not request.reply.ended:
            return
        with contextlib.suppress(BluebellError, TimeoutError):
            async with asyncio.timeout(_BODY_DISCARD_TIMEOUT_S):
                await request.body.discard()

    def _advance(self) -> None:
        """Let the replies out whose turn has come, and begin what waits."""
        while self._in_progress and self._in_progress[0].done:
            request = self._in_progress.popleft()
            if not request.reusable:
                self._close()
                return
            if self._in_progress:
                self._in_progress[0].reply.writer.release()
        while self._waiting and self._has_room:
            waiting = self._waiting.popleft()
            if not self._in_progress:
                waiting.reply.writer.release()
            self._start_request(waiting)
        if self._state.shutting_down and not self._in_progress:
            self._close()
        elif self._paused and not self._waiting:
            self._paused = False
            self.transport.resume_reading()

    @property
    def _has_room(self) -> bool:
        return len(self._in_progress) < self._state.limits.max_pipelined

    def _close(self) -> None:
        self._refused = True
        self._waiting.clear()
        for request in self._in_progress:
            request.cancel()
        self.transport.close()

    def _reply_with_error(
        self, request: InboundRequest, error: BluebellError
    ) -> None:
        self._counters.add('calls_refused', kind=error.kind.value)
        if not self.transport.is_closing():
            request.reply.refuse(error)

    def _refuse_input(self, error: BluebellError) -> None:
        self._refused = True
        if self._reader.fail(error):
            return
        self._counters.add('calls_refused', kind=error.kind.value)
        if self._in_progress:
            self.transport.abort()
            return
        writer = ReplyWriter(self.transport, self._write_gate)
        Reply(writer, self._state).refuse(error)
        self.transport.close()


def _make_expired() -> DeadlineExceededError:
    return DeadlineExceededError(
        'The time of the call is over.',
        hint='Allow more time, or look at the load of the server.',
    )
