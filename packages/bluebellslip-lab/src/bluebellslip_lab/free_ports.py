"""Search for free ranges of ports on loopback."""

import socket
from random import Random
from typing import Final

_HOST: Final = '127.0.0.1'
_FIRST_PORT: Final = 27000
_LAST_PORT: Final = 28999
_MAX_TRIES: Final = 200


def find_free_range(count: int, random_source: Random) -> int:
    """Return the first of ``count`` consecutive ports that are free now.

    Raises
    ------
    OSError
        When no such range is found.
    """
    for _ in range(_MAX_TRIES):
        base = random_source.randrange(_FIRST_PORT, _LAST_PORT - count)
        if all(_is_free(port) for port in range(base, base + count)):
            return base
    raise OSError(f'no {count} consecutive free ports on {_HOST}')


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((_HOST, port))
        except OSError:
            return False
    return True
