"""Server side of a connection.

Pipelined requests are served concurrently, up to a limit, and answered in
order; reading is paused at the limit. Input that takes long to parse is parsed
in turns with that of other connections.
"""

import asyncio
import logging
from collections import deque
from typing import Final, Protocol

from bluebellslip._internal.calls.input_queue import STEPS_ON_ARRIVAL
from bluebellslip._internal.calls.lingering import LingeringClose
from bluebellslip._internal.calls.listener_state import ListenerState
from bluebellslip._internal.calls.memory_budget import Stall
from bluebellslip._internal.calls.memory_levels import Level
from bluebellslip._internal.calls.memory_shares import ConnectionMemory
from bluebellslip._internal.calls.read_pauses import PauseReason, ReadPauses
from bluebellslip._internal.calls.reply import Reply, ReplyWriter
from bluebellslip._internal.calls.request import (
    NOT_STARTED,
    UNDELIVERED,
    InboundRequest,
    Refuser,
    send_error,
)
from bluebellslip._internal.calls.request_reader import RequestReader
from bluebellslip._internal.calls.shared_buffer import get_buffer
from bluebellslip._internal.calls.sockets import set_silence_timeouts
from bluebellslip._internal.calls.streams import (
    MAX_DISCARDED_BYTES,
    WriteGate,
)
from bluebellslip._internal.exceptions import (
    BluebellError,
    DrainingError,
    MalformedError,
    MemoryShortError,
    RequestTimeoutError,
)
from bluebellslip._internal.kernel.counters import Counters

logger = logging.getLogger(__name__)

_WRITE_HIGH_WATER_BYTES: Final = 64 * 1024
# How long the rest of a request body is read and dropped after an early reply.
# Closing with unread input would reset the connection and lose the reply.
_BODY_DISCARD_TIMEOUT_S: Final = 2.0
# Bytes read at a time except from a body. A connection keeps input that follows
# the requests in service, so it reads little of it.
_HEAD_READ_BYTES: Final = 16 * 1024


class Handler(Protocol):
    """Handler of a listener's requests."""

    async def handle(self, request: InboundRequest) -> None:
        """Serve a request; exceptions become error responses."""


class InboundConnection(asyncio.BufferedProtocol):
    """One connection of a caller.

    Parameters
    ----------
    handler
        Serves the requests.
    counters
        Counts refused requests.
    state
        The listener's state, which tracks this connection.
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
        self._ignores_requests = False
        self._has_invalid_input = False
        self._dropped_bytes = 0
        self._closes_after_replies = False
        self._paused = False
        self._is_slow_to_parse = False
        self._output_stalled_at: float = 0

    @property
    def idle_since(self) -> float | None:
        """Loop time of the last input or response in seconds.

        None while requests are served and while the connection is closed.
        """
        if self._in_progress or self._waiting or self._close.has_begun:
            return None
        return None if self._reader.unparsed else self._last_active

    @property
    def stall(self) -> tuple[Stall, float] | None:
        """What it waits for and since when, in loop time; None if nothing."""
        if self.transport.is_closing():
            return None
        if not self._write_gate.is_open:
            return Stall.OUTPUT, self._output_stalled_at
        if self._reader.is_receiving_body and not self._close.has_begun:
            is_paused = not self.transport.is_reading()
            kind = Stall.PAUSED if is_paused else Stall.INPUT
            return kind, self._last_active
        if self.idle_since is None and not self._close.has_begun:
            return None
        kind = Stall.INPUT if self.is_receiving_head else Stall.IDLE
        return kind, self._reader.head_started_at or self._last_active

    @property
    def is_receiving_head(self) -> bool:
        """Whether a part of a request's head has arrived."""
        return self._reader.head_started_at is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        set_silence_timeouts(self.transport)
        self._loop = asyncio.get_running_loop()
        self._pauses = ReadPauses(self.transport)
        self._reader = RequestReader(
            self.transport,
            self._write_gate,
            self._state,
            self._accept_request,
            self._pauses,
        )
        self._close = LingeringClose(self.transport)
        self._last_active = self._loop.time()
        if not self._state.make_room(self._last_active):
            self.transport.abort()
        self._state.connections.add(self)
        self._memory = ConnectionMemory(self._state.memory, self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the requests of a caller that disconnected."""
        self._state.connections.discard(self)
        self._memory.release()
        self._close.stop()
        self._write_gate.open()
        # A task that is cancelled before it starts does not mark its request
        # as done.
        for request in (*self._in_progress, *self._waiting):
            request.memory.release()
        for waiting in self._waiting:
            self._state.on_unanswered(waiting, NOT_STARTED)
        self._waiting.clear()
        self._reader.fail(MalformedError('The caller disconnected.'))
        for request in self._in_progress:
            if request.done:
                self._state.on_unanswered(request, UNDELIVERED)
            request.cancel()
        self._state.input_queue.discard(self)
        self._reader.close()

    def pause_writing(self) -> None:
        """Pause the reply while the caller reads slowly."""
        self._write_gate.close()
        self._output_stalled_at = self._loop.time()
        self._memory.update_output(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Resume the reply."""
        self._write_gate.open()
        self._memory.update_output(0)
        if self._waiting or self._closes_after_replies:
            self._advance()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        if self._reader.is_receiving_body and not self._is_slow_to_parse:
            return get_buffer(self._state.memory.limits.read_bytes)
        return get_buffer(_HEAD_READ_BYTES)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse input, a limited amount of work at once."""
        self._last_active = self._loop.time()
        self._close.record_input()
        self._state.memory.record_input(nbytes)
        if self._close.has_begun or self._has_invalid_input:
            self._limit_dropped(nbytes)
        if self._has_invalid_input:
            return
        try:
            self._reader.feed(get_buffer(nbytes), STEPS_ON_ARRIVAL)
        except BluebellError as error:
            self._refuse_input(error)
        self._is_slow_to_parse = self.has_queued_input
        self._adapt_to_input()

    @property
    def has_queued_input(self) -> bool:
        """Whether input is left that can be parsed now."""
        return bool(self._reader.unparsed) and not self._reader.is_paused

    def parse_queued(self, steps: int) -> int:
        """Parse the next part of the input; return the steps taken."""
        taken = 0
        try:
            taken = self._reader.feed(max_steps=steps)
        except BluebellError as error:
            self._refuse_input(error)
        self._adapt_to_input()
        return taken

    def adapt_to_memory(self) -> None:
        """Give up copies and read less, as far as the level says."""
        memory = self._state.memory
        for request in (*self._in_progress, *self._waiting):
            drop_copies = request.memory.drop_copies
            if drop_copies is not None and not memory.keeps_copies:
                drop_copies()
            request.body.pause_if_full()
        if self._paused and memory.level >= Level.NO_NEW_BODIES:
            self._drop_read_ahead()

    def close_stalled(self, reason: str) -> None:
        """Close the connection and release what it holds."""
        self._state.memory.count_closure(reason)
        self._ignores_requests = True
        self._memory.release()
        for request in (*self._in_progress, *self._waiting):
            request.memory.release()
            request.body.drop()
        if self._in_progress or not self._write_gate.is_open:
            self.transport.abort()
        else:
            self.transport.close()

    def interrupt(self, error: BluebellError) -> None:
        """Reply with an error to each request that has no complete reply."""
        for request in self._in_progress:
            if not request.reply.ended:
                request.interrupt(error)

    def check_head_timeout(self, now: float) -> None:
        """Refuse a request whose head exceeds the head timeout.

        Parameters
        ----------
        now
            Loop time in seconds.
        """
        limit = self._state.limits.head_timeout
        started = self._reader.head_started_at
        if limit is None or started is None or self._ignores_requests:
            return
        if self._paused or self._reader.unparsed:
            # The rest of the head can't arrive before reading resumes.
            self._reader.head_started_at = now
            return
        if now - started > limit.total_seconds():
            self._refuse_input(
                RequestTimeoutError('The request head took too long.')
            )

    def close(self) -> None:
        """Close the connection once all responses on it have arrived."""
        self._ignores_requests = True
        for waiting in self._waiting:
            self._ignore(waiting)
        self._waiting.clear()
        for request in self._in_progress:
            request.cancel(by_node=True)
            request.body.drop()
        self._close.begin()
        self._pauses.resume(PauseReason.DROPPED_INPUT)
        self._resume_parsing()

    def _adapt_to_input(self) -> None:
        """Count the input that is kept, and wait for a turn to parse it."""
        if self._closes_after_replies:
            self._reader.unparsed.clear()
        self._memory.update_heads(self._reader.pending_memory)
        if self.has_queued_input:
            self._pauses.pause(PauseReason.UNPARSED_INPUT)
            self._state.input_queue.add(self)
        else:
            self._pauses.resume(PauseReason.UNPARSED_INPUT)

    def _drop_read_ahead(self) -> None:
        """Drop what follows the requests in service, and close after these.

        What is sent behind a response that closes the connection was not
        served, and callers send it again.
        """
        if self._closes_after_replies:
            return
        self._state.memory.count_closure('read-ahead')
        self._closes_after_replies = True
        self._has_invalid_input = True
        for waiting in self._waiting:
            self._ignore(waiting)
        self._ignores_requests = True
        self._waiting.clear()
        if self._in_progress:
            self._in_progress[-1].reply.disable_keep_alive()
        self._adapt_to_input()

    def _ignore(self, request: InboundRequest) -> None:
        self._ignores_requests = True
        request.memory.release()
        request.body.drop()
        self._state.ignore(request)

    def _accept_request(self, request: InboundRequest) -> None:
        if self._ignores_requests:
            self._ignore(request)
            return
        if self._in_progress and self._in_progress[-1].closes_connection:
            self._ignore(request)
            return
        if self._state.shutting_down:
            self._refuse_late_request(request)
            return
        earlier = self._waiting or self._in_progress
        if earlier:
            request.reply.writer.hold()
            earlier[-1].reply.has_next_request = True
        if not self._waiting and self._has_room:
            self._start_request(request)
            return
        self._pause_parsing()
        if len(self._waiting) < self._state.memory.limits.waiting:
            self._waiting.append(request)
        else:
            self._ignore(request)
            self._drop_read_ahead()

    def _pause_parsing(self) -> None:
        self._paused = True
        self._reader.is_paused = True
        self._pauses.pause(PauseReason.REQUESTS)

    def _refuse_late_request(self, request: InboundRequest) -> None:
        """Refuse a request and ignore all that follow it on its connection.

        The refusal says that the connection is closed, so callers may send
        those elsewhere. Behind requests that wait for their turn, a request is
        ignored as well; the response to the last of these says so.
        """
        if self._waiting:
            self._ignore(request)
            return
        self._ignores_requests = True
        if self._in_progress:
            request.reply.writer.hold()
            self._in_progress[-1].reply.has_next_request = True
        request.reply.disable_keep_alive()
        self._in_progress.append(request)
        request.attach_task(self._loop.create_task(self._refuse(request)))

    async def _refuse(self, request: InboundRequest) -> None:
        try:
            self._reply_with_error(
                request,
                DrainingError('The node accepts no new requests.'),
                self._state.refuse,
            )
            await self._discard_remaining_body(request)
        finally:
            request.mark_done()
            self._advance()

    def _start_request(self, request: InboundRequest) -> None:
        self._in_progress.append(request)
        is_admitted = request.memory.admit()
        request.attach_task(
            self._loop.create_task(
                self._serve(request, is_admitted=is_admitted)
            )
        )

    async def _serve(
        self, request: InboundRequest, *, is_admitted: bool
    ) -> None:
        has_room = request.body.complete or self._state.memory.accepts_bodies
        try:
            if is_admitted and has_room:
                await self._handle(request)
            else:
                self._refuse_for_memory(
                    request, 'new' if is_admitted else 'requests'
                )
            await self._discard_remaining_body(request)
        finally:
            self._end_request(request)

    def _end_request(self, request: InboundRequest) -> None:
        # What a handler left unread would keep the connection paused.
        request.body.drop()
        request.mark_done()
        self._advance()

    def _refuse_for_memory(self, request: InboundRequest, reason: str) -> None:
        """Refuse a request that was not started, and close its connection."""
        self._state.memory.count_refusal(reason)
        request.reply.disable_keep_alive()
        self._reply_with_error(
            request,
            MemoryShortError('The node has no memory for the request.'),
            self._state.refuse,
        )

    async def _handle(self, request: InboundRequest) -> None:
        try:
            await self._handler.handle(request)
        except BluebellError as error:
            self._reply_with_error(request, error)
        except asyncio.CancelledError:
            if request.interruption is None:
                raise
            self._reply_with_error(request, request.interruption)
        except Exception:
            logger.exception(
                'A call failed with an internal error of the node.'
            )
            self._reply_with_error(
                request,
                BluebellError('The node failed with an internal error.'),
            )

    async def _discard_remaining_body(self, request: InboundRequest) -> None:
        if request.body.complete or not request.reply.ended:
            return
        try:
            async with asyncio.timeout(_BODY_DISCARD_TIMEOUT_S):
                await request.body.discard()
        except (BluebellError, TimeoutError):
            # Also if the body ended meanwhile: what follows it is not parsed.
            request.reply.disable_keep_alive()
            self._ignores_requests = True
            self._has_invalid_input = True
            self._dropped_bytes += request.body.discarded_bytes

    def _advance(self) -> None:
        """Release replies that are next in order and start waiting requests."""
        if self._close.has_begun:
            return
        if not self._write_gate.is_open:
            self._memory.update_output(self.transport.get_write_buffer_size())
        if not self._release_replies():
            self.close()
            return
        while self._waiting and self._has_room:
            self._start_waiting_request()
        if self._is_finished:
            self.close()
        elif self._paused and not (self._waiting or self._closes_after_replies):
            self._resume_parsing()

    def _release_replies(self) -> bool:
        """Release replies; return whether the connection may stay open."""
        while self._in_progress and self._in_progress[0].done:
            request = self._in_progress.popleft()
            if not request.reusable:
                return False
            if self._in_progress:
                self._in_progress[0].reply.writer.release()
            self._last_active = self._loop.time()
        return True

    def _start_waiting_request(self) -> None:
        waiting = self._waiting.popleft()
        if not self._in_progress:
            waiting.reply.writer.release()
        elif self._in_progress[-1].closes_connection:
            self._ignore(waiting)
            return
        self._start_request(waiting)

    def _resume_parsing(self) -> None:
        self._paused = False
        self._reader.is_paused = False
        self._pauses.resume(PauseReason.REQUESTS)
        if self._has_invalid_input:
            self._reader.unparsed.clear()
        self._adapt_to_input()

    @property
    def _is_finished(self) -> bool:
        if self._in_progress or self._waiting:
            return False
        return self._closes_after_replies or self._state.shutting_down

    @property
    def _has_room(self) -> bool:
        pipelined = min(
            self._state.limits.max_pipelined,
            self._state.memory.limits.pipelined,
        )
        if len(self._in_progress) >= pipelined:
            return False
        # Otherwise the replies to a caller that doesn't read would pile up.
        return self._write_gate.is_open

    def _limit_dropped(self, size: int) -> None:
        """Stop reading input that can't be served after a limit."""
        self._dropped_bytes += size
        if self._dropped_bytes <= MAX_DISCARDED_BYTES:
            return
        if self._close.has_begun:
            self.transport.close()
        else:
            self._pauses.pause(PauseReason.DROPPED_INPUT)

    def _reply_with_error(
        self,
        request: InboundRequest,
        error: BluebellError,
        refuse: Refuser = send_error,
    ) -> None:
        self._counters.add('calls_refused', kind=error.kind.value)
        if not (self._close.has_begun or self.transport.is_closing()):
            refuse(request, error)

    def _refuse_input(self, error: BluebellError) -> None:
        self._has_invalid_input = True
        self._reader.unparsed.clear()
        _drop_frames(error)
        if self._ignores_requests:
            return
        self._ignores_requests = True
        if self._reader.fail(error):
            return
        self._counters.add('calls_refused', kind=error.kind.value)
        if self._in_progress:
            self._closes_after_replies = True
            return
        writer = ReplyWriter(self.transport, self._write_gate)
        Reply(writer, self._state).refuse(error)
        self.close()


def _drop_frames(error: BluebellError) -> None:
    """Drop the frames of the parser, which hold the input that was read."""
    error.__cause__ = None
    error.__context__ = None
    error.__traceback__ = None
