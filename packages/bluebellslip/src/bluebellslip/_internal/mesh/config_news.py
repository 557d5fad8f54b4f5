"""Remembers since when a node knows of configurations that it doesn't have."""

import bisect
import datetime as dt
from typing import Final

from bluebellslip._internal.kernel.clock import Clock

# Revisions that are remembered; beyond these, a later revision takes the place
# of the newest one and counts as known as long as that one.
MAX_KNOWN_REVISIONS: Final = 64
_NO_AGE: Final = dt.timedelta()


class ConfigNews:
    """Since when the node has known of each revision.

    Only revisions that decide an age are kept: one that was known before all
    later ones.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known: list[tuple[int, dt.timedelta]] = []

    def record(self, revision: int, age: dt.timedelta = _NO_AGE) -> None:
        """Record that a revision exists.

        Parameters
        ----------
        revision
            The revision.
        age
            How long it has existed at least.
        """
        known_at = self._clock.elapsed() - age
        if any(
            later >= revision and time <= known_at
            for later, time in self._known
        ):
            return
        self._known = [
            (earlier, time)
            for earlier, time in self._known
            if earlier > revision or time < known_at
        ]
        if len(self._known) >= MAX_KNOWN_REVISIONS:
            known_at = self._known.pop()[1]
        bisect.insort(self._known, (revision, known_at))

    def find_age(self, revision: int) -> dt.timedelta | None:
        """Return how long a revision or a later one has been known.

        None if neither is.
        """
        for known, known_at in self._known:
            if known >= revision:
                return self._clock.elapsed() - known_at
        return None

    def forget_before(self, revision: int) -> None:
        """Forget the revisions before one that has been applied."""
        self._known = [entry for entry in self._known if entry[0] >= revision]
