"""The configuration in force on this node; its revision never decreases."""

import enum
from collections.abc import Callable

from bluebellslip._internal.models.snapshot import Snapshot


@enum.unique
class ApplyResult(enum.Enum):
    """Result of an attempt to apply a snapshot."""

    APPLIED = 'applied'
    STALE = 'stale'


class AppliedConfig:
    """Holds the snapshot in force.

    ``floor`` is the lowest revision that may be applied or served from. It is
    raised to the highest revision that peers and the platform report, so that
    a node which restarts without a disk never serves an older revision than
    before.
    """

    def __init__(self) -> None:
        self._current: Snapshot | None = None
        self._floor = 0
        self._listeners: list[Callable[[Snapshot], None]] = []

    @property
    def current(self) -> Snapshot | None:
        """The snapshot in force; None if missing or below the floor."""
        if self._current is None or self._current.revision < self._floor:
            return None
        return self._current

    @property
    def revision(self) -> int:
        """The highest revision that was ever in force here; 0 for none."""
        return 0 if self._current is None else self._current.revision

    @property
    def floor(self) -> int:
        """The lowest revision that may be served from."""
        return self._floor

    def raise_floor(self, revision: int) -> None:
        """Forbid all revisions below the given one."""
        self._floor = max(self._floor, revision)

    def subscribe(self, listener: Callable[[Snapshot], None]) -> None:
        """Call the listener with every snapshot that is applied."""
        self._listeners.append(listener)

    def apply(self, snapshot: Snapshot) -> ApplyResult:
        """Replace the snapshot in force unless the new one is stale.

        A snapshot is stale if its revision is below the floor or not above
        the revision of the last snapshot applied.
        """
        if snapshot.revision <= self.revision:
            return ApplyResult.STALE
        if snapshot.revision < self._floor:
            return ApplyResult.STALE
        self._current = snapshot
        for listener in self._listeners:
            listener(snapshot)
        return ApplyResult.APPLIED
