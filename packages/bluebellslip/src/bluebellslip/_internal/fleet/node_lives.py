"""Orders the lives of a node without reading a clock.

A node that starts again knows nothing of before, and its time of day may have
been set back since. Each life has a number, and a random token that tells it
from other lives with the same number. A node begins with number 1. A peer that
knows another life with the same or a higher number ignores the node's beacons
and tells it that number, and the node goes on with the next one. The order
needs no store, so it also holds while the store is down.
"""

import dataclasses
from random import Random
from typing import Final

_TOKEN_BITS: Final = 32


@dataclasses.dataclass(frozen=True, slots=True)
class NodeLife:
    """One life of a node, from the start of its process to the end.

    Parameters
    ----------
    number
        Rises from life to life, and within one when a peer knows a higher one.
    token
        Random number that stays the same for the whole life.
    """

    number: int
    token: int

    @classmethod
    def from_random(cls, random_source: Random) -> 'NodeLife':
        """Return the first life of a node that knows of no other."""
        return cls(number=1, token=random_source.getrandbits(_TOKEN_BITS))

    def is_superseded_by(self, other: 'NodeLife') -> bool:
        """Return whether another life has the same number or a higher one."""
        return self.token != other.token and self.number <= other.number

    def follow(self, number: int) -> 'NodeLife':
        """Return this life with a number above the given one."""
        return dataclasses.replace(self, number=max(self.number, number + 1))
