"""Client side of a connection.

A connection carries one exchange at a time. It goes back to the pool only
after a whole answer to a whole request; anything else closes it, so that no
late or crossed answer can reach another caller.
"""

import asyncio
from typing import Final

from bluebellslip._internal.calls.headers import Header
from bluebellslip._internal.calls.response_reader import (
    ResponseHead,
    ResponseReader,
)
from bluebellslip._internal.calls.sockets import set_silence_timeouts
from bluebellslip._internal.calls.streams import ReadBuffer, WriteGate
from bluebellslip._internal.exceptions import (
    BluebellError,
    ServerFailedError,
)

_WRITE_HIGH_WATER_BYTES: Final = 64 * 1024


class OutboundConnection(asyncio.Protocol):
    """A connection to a server.

    ``body`` is that of the newest exchange's answer. ``idle_since`` is loop
    time in seconds, kept by the pool; ``idle_limit`` is how long the server
    said that it keeps an idle connection, in seconds, if it did.
    """

    body: ReadBuffer

    def __init__(self) -> None:
        self.idle_since: float = 0
        self.idle_limit: float | None = None
        self._write_gate = WriteGate()
        self._reader = ResponseReader()
        self._sent = True

    @property
    def reusable(self) -> bool:
        """Whether no exchange is open and the connection in order."""
        return (
            self._reader.usable
            and self._sent
            and self._reader.response_complete
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to follow a connection."""
        self._transport: asyncio.Transport = transport  # type: ignore[assignment]
        self._transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        set_silence_timeouts(self._transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Turn what is missing into an error."""
        self._write_gate.open()
        self._reader.end_input(clean=exc is None)

    def pause_writing(self) -> None:
        """Hold the request back while the server reads slowly."""
        self._write_gate.close()

    def resume_writing(self) -> None:
        """Let the request go on."""
        self._write_gate.open()

    def data_received(self, chunk: bytes) -> None:
        """Parse input; what is no answer closes the connection."""
        try:
            self._reader.feed(chunk)
        except ServerFailedError as error:
            self.fail(error)

    @property
    def received_nothing(self) -> bool:
        """Whether nothing came back in the newest exchange."""
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
            The request's head, and its body where that is at hand.
        headless
            Whether the answer has no body, as for HEAD.
        whole
            Whether the request ends here.
        echo
            Header that tells an answer to this request from a stray one.
        """
        self._head_received: asyncio.Future[ResponseHead] = (
            asyncio.get_running_loop().create_future()
        )
        self.body = ReadBuffer(self._transport)
        self._reader.expect(
            self._head_received, self.body, head_only=head_only, echo=echo
        )
        self._continue_received = self._reader.watch_for_continue()
        self._sent = is_complete
        self._transport.write(message)

    def send(self, chunk: bytes, *, last: bool = False) -> None:
        """Send a part of the request's body."""
        self._transport.write(chunk)
        self._sent = last

    async def drain(self) -> None:
        """Return when the server keeps up.

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
        """Return when the server asks for the body, or needs none."""
        await self._continue_received

    async def response(self) -> ResponseHead:
        """Return the answer's head.

        Raises
        ------
        ServerFailedError
            When the server broke off or sent what is no answer.
        """
        return await self._head_received

    def fail(self, error: BluebellError) -> None:
        """Give the exchange up for a reason."""
        self._reader.fail(error)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once."""
        self._reader.usable = False
        self._transport.abort()
