"""Server side of a connection.

One request of a connection is served at a time; pipelined ones wait, and
reading is paused meanwhile.
"""

import asyncio
import logging
from collections import deque
from typing import Final, Protocol

from bluebellslip._internal.calls.reply import Reply
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.request_reader import RequestReader
from bluebellslip._internal.calls.streams import WriteGate
from bluebellslip._internal.exceptions import (
    BluebellError,
    DeadlineExceededError,
    MalformedError,
)
from bluebellslip._internal.kernel.counters import Counters

logger = logging.getLogger(__name__)

_WRITE_HIGH_BYTES: Final = 64 * 1024


class Handler(Protocol):
    """What a listener does with requests."""

    async def handle(self, request: InboundRequest) -> None:
        """Answer a request; errors raised become answers."""


class ListenerState:
    """What the connections of one listener share."""

    def __init__(self) -> None:
        self.leaving = False
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
        self._gate = WriteGate()
        self._waiting: deque[InboundRequest] = deque()
        self._task: asyncio.Task[None] | None = None
        self._refused = False
        self._paused = False

    @property
    def quiet_since(self) -> float | None:
        """Loop time of the newest input, in seconds; none while serving."""
        return self._last_read if self._task is None else None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to follow a connection."""
        self.transport = transport  # type: ignore[assignment]
        self.transport.set_write_buffer_limits(high=_WRITE_HIGH_BYTES)
        self._loop = asyncio.get_running_loop()
        self._reader = RequestReader(
            self.transport, self._gate, self._state, self._take
        )
        self._last_read = self._loop.time()
        self._state.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what the caller no longer waits for."""
        self._state.connections.discard(self)
        self._gate.open()
        self._waiting.clear()
        self._reader.fail(MalformedError('The caller broke off.'))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Hold the reply back while the caller reads slowly."""
        self._gate.close()

    def resume_writing(self) -> None:
        """Let the reply go on."""
        self._gate.open()

    def data_received(self, chunk: bytes) -> None:
        """Parse input."""
        if self._refused:
            return
        self._last_read = self._loop.time()
        try:
            self._reader.feed(chunk)
        except BluebellError as error:
            self._refuse_input(error)

    def _take(self, request: InboundRequest) -> None:
        if self._task is None:
            self._begin(request)
            return
        self._waiting.append(request)
        self._paused = True
        self.transport.pause_reading()

    def _begin(self, request: InboundRequest) -> None:
        self._task = self._loop.create_task(self._serve(request))
        request.bind(self._task)

    async def _serve(self, request: InboundRequest) -> None:
        await self._answer(request)
        self._task = None
        if not request.reusable:
            self.transport.close()
        elif self._waiting:
            self._begin(self._waiting.popleft())
        elif self._paused:
            self._paused = False
            self.transport.resume_reading()

    async def _answer(self, request: InboundRequest) -> None:
        try:
            await self._handler.handle(request)
        except BluebellError as error:
            self._give_up(request, error)
        except asyncio.CancelledError:
            if not request.expired:
                raise
            self._give_up(request, _make_expired())
        except Exception:
            logger.exception('A call failed by a fault of the node.')
            self._give_up(request, BluebellError('The node failed.'))
        finally:
            request.settle()

    def _give_up(self, request: InboundRequest, error: BluebellError) -> None:
        self._counters.add('calls_refused', kind=error.kind.value)
        if not self.transport.is_closing():
            request.reply.refuse(error)

    def _refuse_input(self, error: BluebellError) -> None:
        self._refused = True
        if self._reader.fail(error):
            return
        self._counters.add('calls_refused', kind=error.kind.value)
        if self._task is None:
            Reply(self.transport, self._gate, self._state).refuse(error)
            self.transport.close()
        else:
            self.transport.abort()


def _make_expired() -> DeadlineExceededError:
    return DeadlineExceededError(
        'The time of the call is over.',
        hint='Allow more time, or look at the load of the server.',
    )
