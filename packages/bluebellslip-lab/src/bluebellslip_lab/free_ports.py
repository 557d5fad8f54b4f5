"""Ranges of ports that nothing listens at."""

import contextlib
import socket
from typing import Final

HOST: Final = '127.0.0.1'
_KINDS: Final = (socket.SOCK_STREAM, socket.SOCK_DGRAM)
_LAST: Final = 29_900


def find_free_range(first: int, count: int) -> int:
    """Return the least port from which a range is free for TCP and UDP.

    Ranges are tried one after another, from ``first`` up. Ports below the
    system's own range of ephemeral ports are used, since a connection of
    another process could take one of those at any moment.

    Raises
    ------
    OSError
        When no range below the ephemeral ports is free.
    """
    for start in range(first, _LAST, count):
        if all(_is_free(port) for port in range(start, start + count)):
            return start
    raise OSError(f'no {count} free ports in a row from {first} on')


def _is_free(port: int) -> bool:
    return all(_can_bind(port, kind) for kind in _KINDS)


def _can_bind(port: int, kind: socket.SocketKind) -> bool:
    probe = socket.socket(socket.AF_INET, kind)
    with probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False
