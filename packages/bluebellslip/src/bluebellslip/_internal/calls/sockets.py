"""Sockets: limits on silent peers, undelivered bytes, and closed peers."""

import array
import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from typing import Final

# A peer that lost power or is partitioned neither responds nor resets the
# connection. It counts as lost after three seconds of silence: one idle
# second, then two keepalive probes in a row without a reply.
UNACKED_TIMEOUT_MS: Final = 3000
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2

# Fewer undelivered bytes of an aborted connection hardly delay others. The
# connection is then closed, not reset.
MIN_DROPPED_BYTES: Final = 16 * 1024
# Closing the socket resets the connection at once.
_RESET_ON_CLOSE: Final = struct.pack('ii', 1, 0)

# States of Linux in which the other side has closed or reset the connection:
# TIME_WAIT, CLOSE, CLOSE_WAIT, LAST_ACK and CLOSING.
_CLOSED_BY_PEER: Final = frozenset((6, 7, 8, 9, 11))

_OPTIONS: Final = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
)


def set_silence_timeouts(transport: asyncio.Transport) -> None:
    """Set the timeouts on a transport's socket, if it has one."""
    connection = transport.get_extra_info('socket')
    if connection is None:
        return
    for level, option, setting in _OPTIONS:
        connection.setsockopt(level, option, setting)


def count_undelivered(transport: asyncio.Transport) -> int:
    """Return the bytes written to a transport that have not arrived yet."""
    buffered = transport.get_write_buffer_size()
    connection = transport.get_extra_info('socket')
    if connection is None or transport.is_closing():
        return buffered
    queued = array.array('i', [0])
    # Where the kernel doesn't tell, only the transport's own buffer counts.
    with contextlib.suppress(OSError):
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, queued)
    return buffered + queued[0]


def drop_undelivered(transport: asyncio.Transport) -> None:
    """Let the kernel drop what is undelivered when the transport is aborted.

    Otherwise it would still be sent, ahead of later bytes of other connections.
    """
    if count_undelivered(transport) >= MIN_DROPPED_BYTES:
        reset_on_close(transport)


def reset_on_close(transport: asyncio.Transport) -> None:
    """Let closing a transport reset its connection."""
    connection = transport.get_extra_info('socket')
    if connection is None or transport.is_closing():
        return
    # Where the kernel doesn't support it, the connection ends in order.
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


def is_closed_by_peer(transport: asyncio.BaseTransport) -> bool:
    """Return whether the other side has closed the connection.

    Also true while bytes that arrived before the end are unread, when the
    transport doesn't know yet. Where the kernel doesn't tell, the connection
    counts as open.
    """
    connection = transport.get_extra_info('socket')
    if connection is None:
        return False
    with contextlib.suppress(OSError):
        # The first byte is the state.
        state = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] in _CLOSED_BY_PEER
    return False


def close_abandoned(transport: asyncio.Transport) -> None:
    """Close a paused transport if the other side has closed the connection.

    A transport that reads does so by itself.
    """
    if transport.is_reading() or transport.is_closing():
        return
    if is_closed_by_peer(transport):
        transport.close()
