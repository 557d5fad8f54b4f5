"""To whom a node has pledged its part of the limits of a shard.

A part is pledged to one run of one owner at a time. Nobody else may use it, the
node included, until the pledge has certainly ended.
"""

from typing import Final

from bluebellslip._internal.accounts.quotas.limits import (
    CLOCK_DRIFT,
    MAX_VALIDITY,
    choose_pledge_time,
)
from bluebellslip._internal.accounts.quotas.owner_links import OwnerLink

_DRIFT_FACTOR: Final = 1 + CLOCK_DRIFT


class ShardPledge:
    """The pledge of one shard.

    Parameters
    ----------
    free_at
        Time in seconds from which the node's part may be pledged or used.
    """

    def __init__(self, free_at: float) -> None:
        self.owner = ''
        self._owner_life = 0
        self._ends_at = free_at

    @property
    def ends_at(self) -> float:
        """Time at which the pledge has certainly ended, in seconds."""
        return self._ends_at

    def delay(self, free_at: float) -> None:
        """Neither pledge nor use the part before a time in seconds."""
        self._ends_at = max(self._ends_at, free_at)

    def pledge(self, link: OwnerLink, size: int, now: float) -> bool:
        """Pledge the part to an owner, if it is free or already pledged to it.

        Parameters
        ----------
        link
            The owner, and the time on its clock that it named last.
        size
            Number of nodes, which the duration of a pledge depends on.
        now
            Time on the node's clock, in seconds.

        Returns
        -------
        bool
            Whether the part is pledged.
        """
        if not link.life:
            return False
        holder = (self.owner, self._owner_life)
        if holder != (link.owner, link.life) and now < self._ends_at:
            return False
        self.owner = link.owner
        self._owner_life = link.life
        duration = choose_pledge_time(size) * _DRIFT_FACTOR
        self.delay(link.stamp_received_at + duration)
        return True

    def release(self, link: OwnerLink, now: float) -> None:
        """Note that an owner has confirmed that it uses the part no more.

        Permissions that it granted before are valid for a while.
        """
        if (self.owner, self._owner_life) == (link.owner, link.life):
            free_at = now + MAX_VALIDITY * _DRIFT_FACTOR
            self._ends_at = min(self._ends_at, free_at)


def choose_start_delay(size: int) -> float:
    """Return how long a starting node keeps its part from use, in seconds.

    An earlier run of the node may have pledged it until then.
    """
    return choose_pledge_time(size) * _DRIFT_FACTOR
