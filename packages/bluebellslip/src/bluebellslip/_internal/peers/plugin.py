"""The plug-in that provides ``PeerLink``."""

import contextlib
import datetime as dt
from collections.abc import Awaitable, Callable
from typing import Any, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.exceptions import ListenError
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.ports import PeerLink
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.messages import PeerMessage
from bluebellslip._internal.peers.codec import PeerCodec
from bluebellslip._internal.peers.datagrams import DatagramEndpoint
from bluebellslip._internal.peers.exchanges import (
    ExchangeClient,
    ExchangeCodec,
    ExchangeServer,
)


@plugins.register('peers')
class PeersPlugin(Plugin):
    """Messages between nodes over UDP and gRPC at one address.

    Parameters
    ----------
    listen
        Address for datagrams and connections.
    codec
        Encoding of the messages.
    clock
        The node's clock.
    counters
        Where traffic is counted.
    """

    stage = Stage.PEERS

    def __init__(
        self,
        listen: Address,
        codec: PeerCodec,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._listen = listen
        exchange_codec = ExchangeCodec(codec, counters)
        self._datagrams = DatagramEndpoint(codec, counters)
        self._server = ExchangeServer(exchange_codec, counters)
        self._client = ExchangeClient(exchange_codec, clock, counters)

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the transport and provide it."""
        link = cls(
            context.peer_address,
            PeerCodec.from_registry(context.settings.peer_key),
            context.clock,
            context.counters,
        )
        context.ports.provide(PeerLink, link)
        return link

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Listen until cancelled.

        Raises
        ------
        ListenError
            When the address is in use or does not belong to the instance.
        """
        await self._open()
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            task_status.started()
            await anyio.sleep_forever()

    def send(self, to: Address, message: PeerMessage) -> None:
        """Send a datagram."""
        self._datagrams.send(to, message)

    async def ask(
        self, to: Address, message: PeerMessage, timeout: dt.timedelta
    ) -> PeerMessage:
        """Send over a connection and wait for the response."""
        return await self._client.ask(to, message, timeout)

    def on_datagram(
        self, kind: type[Any], handler: Callable[[Any, Address], None]
    ) -> None:
        """Call the handler for every datagram of a kind."""
        self._datagrams.set_handler(kind, handler)

    def on_request(
        self, kind: type[Any], handler: Callable[[Any], Awaitable[PeerMessage]]
    ) -> None:
        """Answer every exchange of a kind with the handler's response."""
        self._server.set_handler(kind, handler)

    async def _open(self) -> None:
        try:
            await self._datagrams.open(self._listen)
            await self._server.open(self._listen)
        except OSError as error:
            raise ListenError(
                'The node cannot listen for its peers.',
                context={
                    'address': str(self._listen),
                    'found': error.strerror or str(error),
                },
                hint='Choose a free address as listen.peer.',
            ) from error

    async def _close(self) -> None:
        self._datagrams.close()
        self._client.close()
        with anyio.CancelScope(shield=True):
            await self._server.close()
