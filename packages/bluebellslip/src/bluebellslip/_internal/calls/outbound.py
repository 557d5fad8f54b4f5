"""Client side of a connection.

A connection carries one exchange at a time. It returns to the pool only after
a complete request and a complete response; otherwise it is closed, so that no
late or misrouted response can reach another caller.
"""

import asyncio
from typing import Final

from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.memory_budget import (
    Holder,
)
from bluebellslip._internal.calls.response_reader import (
    ResponseHead,
    ResponseReader,
)
from bluebellslip._internal.calls.shared_buffer import (
    MAX_READ_BYTES,
    get_buffer,
)
from bluebellslip._internal.calls.sockets import (
    drop_undelivered,
    set_silence_timeouts,
)
from bluebellslip._internal.calls.streams import ReadBuffer, WriteGate
from bluebellslip._internal.exceptions import (
    BluebellError,
    ServerFailedError,
)

_WRITE_HIGH_WATER_BYTES: Final = 64 * 1024


class OutboundConnection(asyncio.BufferedProtocol):
    """A connection to a server.

    ``body`` is the response body of the latest exchange. ``idle_since`` is
    the loop time in seconds of the latest release to the pool, 0 before the
    first. ``idle_limit`` is the idle timeout in seconds that the server
    announced, if any. ``exchanges`` counts the exchanges, with the latest one.
    """

    body: ReadBuffer

    def __init__(self) -> None:
        self.idle_since: float = 0
        self.idle_limit: float | None = None
        self.exchanges = 0
        self._write_gate = WriteGate()
        self._reader = ResponseReader()
        self._sent = True

    @property
    def reusable(self) -> bool:
        """Whether the last exchange is complete and the connection usable."""
        return (
            self._reader.usable
            and self._sent
            and self._reader.response_complete
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        set_silence_timeouts(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail an exchange in progress."""
        self._write_gate.open()
        self._reader.end_input(clean=exc is None)

    def pause_writing(self) -> None:
        """Pause the request while the server reads slowly."""
        self._write_gate.close()

    def resume_writing(self) -> None:
        """Resume the request."""
        self._write_gate.open()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return get_buffer(MAX_READ_BYTES)

    def buffer_updated(self, nbytes: int) -> None:
        """Parse input; an invalid response closes the connection."""
        try:
            self._reader.feed(get_buffer(nbytes))
        except ServerFailedError as error:
            self.fail(error)

    @property
    def received_nothing(self) -> bool:
        """Whether no response bytes arrived in the latest exchange."""
        return self._reader.received_nothing

    def begin(
        self,
        message: bytes,
        *,
        head_only: bool,
        is_complete: bool,
        echo: Header | None = None,
    ) -> None:
        """Start an exchange.

        Parameters
        ----------
        message
            The request's head, and its body if that is available.
        head_only
            Whether the response has no body, as for HEAD.
        is_complete
            Whether the message is the complete request.
        echo
            Header that distinguishes the response to this request from one
            to an earlier request.
        """
        self._head_received: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.body = ReadBuffer(
            self._transport,
            limit_error=ServerFailedError,
            holder=Holder.RESPONSES,
        )
        self._reader.expect(
            self._head_received, self.body, head_only=head_only, echo=echo
        )
        self._continue_received = self._reader.watch_for_continue()
        self.exchanges += 1
        self._sent = is_complete
        self._transport.write(message)

    def send(self, chunk: bytes, *, last: bool = False) -> None:
        """Send a part of the request's body."""
        self._transport.write(chunk)
        self._sent = last

    async def drain(self) -> None:
        """Wait until the write buffer has room.

        Raises
        ------
        ServerFailedError
            When the server closed the connection.
        """
        if not self._write_gate.is_open:
            await self._write_gate.wait()
        if self._transport.is_closing():
            raise ServerFailedError('The server closed the connection.')

    async def wait_for_continue(self) -> None:
        """Wait until the server sends 100 Continue or the exchange fails."""
        await self._continue_received

    async def response(self) -> ResponseHead:
        """Return the response's head.

        Raises
        ------
        ServerFailedError
            When the server disconnects or sends an invalid response.
        BluebellError
            The error passed to ``fail``, if the exchange was failed.
        """
        return await self._head_received

    def fail(self, error: BluebellError) -> None:
        """Fail the exchange with an error and close the connection."""
        self._reader.fail(error)
        self.abort()

    def retire(self) -> None:
        """Use the connection for no exchange after this one."""
        self._reader.usable = False

    def abort(self) -> None:
        """Close the connection immediately and drop what is undelivered."""
        self._reader.usable = False
        drop_undelivered(self._transport)
        self._transport.abort()
