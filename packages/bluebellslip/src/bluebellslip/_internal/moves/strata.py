"""Strata: calls of both versions from one stretch of time."""

from typing import Final

from bluebellslip._internal.moves.tallies import Tally

ENOUGH_PAIRS: Final = 3.0
MOST_WINDOWS: Final = 600


class OpenStratum:
    """A stratum of one route that still gathers calls.

    It is complete once it carries some weight, so that routes with few calls
    are compared over longer stretches than busy ones.
    """

    __slots__ = ('_windows', 'new', 'old')

    def __init__(self) -> None:
        self.old = Tally()
        self.new = Tally()
        self._windows = 0

    @property
    def is_complete(self) -> bool:
        """Whether the stratum is ready to be judged."""
        if self._windows >= MOST_WINDOWS:
            return True
        old = self.old.calls + self.old.refused
        new = self.new.calls + self.new.refused
        return old * new >= ENOUGH_PAIRS * (old + new)

    def add(self, old: Tally | None, new: Tally | None) -> None:
        """Take in one window."""
        self._windows += 1
        if old is not None:
            self.old.add(old)
        if new is not None:
            self.new.add(new)
