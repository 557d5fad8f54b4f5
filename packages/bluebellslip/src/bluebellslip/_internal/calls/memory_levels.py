"""How short memory is, and what is given up at each level."""

import dataclasses
import enum
import sys
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

# A level ends only this far below its start, so that it doesn't change with
# every request.
_HYSTERESIS: Final = 10
_PERCENT: Final = 100


class Level(enum.IntEnum):
    """How short memory is; each level includes the earlier ones."""

    NORMAL = 0
    NO_COPIES = 1
    NO_NEW_BODIES = 2
    NO_NEW_REQUESTS = 3
    CLOSING = 4


@dataclasses.dataclass(frozen=True, slots=True)
class LevelLimits:
    """The limits at one level.

    Parameters
    ----------
    start
        Percentage of the limit at which the level begins.
    buffered_bytes
        Buffered bytes of a body, and of a response, above which reading pauses.
    read_bytes
        Bytes of a body read from a socket at a time.
    pipelined
        Requests of one connection that are served concurrently.
    waiting
        Further requests of one connection that are kept until their turn.
    """

    start: int
    buffered_bytes: int
    read_bytes: int
    pipelined: int
    waiting: int


LEVEL_LIMITS: Final[Mapping[Level, LevelLimits]] = MappingProxyType({
    # Reads are as large as asyncio's own. A part of a head that is parsed at
    # once, 1 KiB, has fewer requests than 64.
    Level.NORMAL: LevelLimits(0, sys.maxsize, 256 * 1024, sys.maxsize, 64),
    Level.NO_COPIES: LevelLimits(50, 64 * 1024, 64 * 1024, 1, 8),
    Level.NO_NEW_BODIES: LevelLimits(70, 16 * 1024, 16 * 1024, 1, 0),
    Level.NO_NEW_REQUESTS: LevelLimits(78, 16 * 1024, 16 * 1024, 1, 0),
    Level.CLOSING: LevelLimits(85, 16 * 1024, 16 * 1024, 1, 0),
})


def find_level(current: Level, used: int, limit: int) -> Level:
    """Return the level for a number of bytes.

    Parameters
    ----------
    current
        The level until now.
    used, limit
        Bytes that are used, and that may be.
    """
    level = Level.NORMAL
    for candidate, limits in LEVEL_LIMITS.items():
        start = limits.start
        if candidate <= current:
            start -= _HYSTERESIS
        if used * _PERCENT >= start * limit:
            level = candidate
    return level


def find_bounds(level: Level, limit: int) -> tuple[int, int]:
    """Return the least and the first larger number of bytes of a level."""
    lower = -sys.maxsize
    if level > Level.NORMAL:
        lower = limit * (LEVEL_LIMITS[level].start - _HYSTERESIS) // _PERCENT
    upper = sys.maxsize
    if level < Level.CLOSING:
        upper = -(-find_start(Level(level + 1), limit * _PERCENT) // _PERCENT)
    return lower, upper


def find_start(level: Level, limit: int) -> int:
    """Return the number of bytes at which a level begins."""
    return limit * LEVEL_LIMITS[level].start // _PERCENT
