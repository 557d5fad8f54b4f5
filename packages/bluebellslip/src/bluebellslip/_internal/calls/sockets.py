"""Socket options that limit how long a node waits for a silent peer."""

import asyncio
import socket
from typing import Final

# A peer that lost power or is partitioned neither responds nor resets the
# connection. It counts as lost after three seconds of silence: one idle
# second, then two keepalive probes in a row without a reply.
UNACKED_TIMEOUT_MS: Final = 3000
_KEEPALIVE_IDLE_S: Final = 1
_KEEPALIVE_INTERVAL_S: Final = 1
_KEEPALIVE_PROBES: Final = 2

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
