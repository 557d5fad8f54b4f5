"""A UDP socket that receives all waiting datagrams at once.

Handles nodes that are slow or overloaded. The transport of asyncio receives one
datagram in each iteration of the event loop, so that a node with few iterations
a second would hear its peers ever later, and take them for dead.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Final, Self

from bluebellslip._internal.models.identity import Address

_MAX_DATAGRAM_BYTES: Final = 65_536
# Datagrams received before other work continues; as many as a large mesh sends
# to one node in a few seconds.
MAX_DATAGRAMS_AT_ONCE: Final = 512


class DatagramSocket:
    """Sends and receives datagrams.

    Parameters
    ----------
    udp_socket
        A bound, non-blocking socket.
    receive
        Called with each datagram.
    report_error
        Called when a datagram could not be sent or received.
    """

    def __init__(
        self,
        udp_socket: socket.socket,
        receive: Callable[[bytes], None],
        report_error: Callable[[], None],
    ) -> None:
        self._socket = udp_socket
        self._receive = receive
        self._report_error = report_error
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(udp_socket, self._receive_waiting)

    @classmethod
    async def open(
        cls,
        listen: Address,
        receive: Callable[[bytes], None],
        report_error: Callable[[], None],
    ) -> Self:
        """Bind a socket and start to receive.

        Raises
        ------
        OSError
            When the address can't be used.
        """
        found = await asyncio.get_running_loop().getaddrinfo(
            listen.host, listen.port, type=socket.SOCK_DGRAM
        )
        family, kind, protocol = found[0][:3]
        udp_socket = socket.socket(family, kind, protocol)
        try:
            udp_socket.setblocking(False)
            udp_socket.bind(found[0][-1])
        except OSError:
            udp_socket.close()
            raise
        return cls(udp_socket, receive, report_error)

    def sendto(self, datagram: bytes, to: tuple[str, int]) -> None:
        """Send a datagram, or drop it if the socket's buffer is full."""
        try:
            self._socket.sendto(datagram, to)
        except OSError:
            self._report_error()

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self._loop.remove_reader(self._socket)
        self._socket.close()

    def _receive_waiting(self) -> None:
        for _ in range(MAX_DATAGRAMS_AT_ONCE):
            try:
                datagram = self._socket.recv(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:
                self._report_error()
                return
            self._receive(datagram)
            if self._socket.fileno() < 0:
                return
