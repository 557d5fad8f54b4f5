"""The lease on a move's row, as observed by one node."""

import datetime as dt
from typing import Final

from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.models.move_rows import MoveRow

LEASE_DURATION: Final = dt.timedelta(seconds=10)
RENEWAL_INTERVAL: Final = dt.timedelta(seconds=3)


class LeaseView:
    """The newest known row, and since when it has been unchanged.

    Only the node's own monotonic clock is used. If two reads are at least a
    lease's duration apart, the row counts as unchanged only since the second
    read. So a node that was paused observes the row for a lease's duration
    before it takes over another node's lease.

    Parameters
    ----------
    node
        The observing node.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._row: MoveRow | None = None
        self._version = 0
        self._unchanged_since = dt.timedelta()
        self._last_read = dt.timedelta()

    @property
    def row(self) -> MoveRow | None:
        """The newest known row."""
        return self._row

    @property
    def version(self) -> int:
        """Version of the newest known row; 0 for none."""
        return self._version

    @property
    def is_held(self) -> bool:
        """Whether this node holds the lease in the newest known row."""
        return self._row is not None and self._row.steward == self._node

    def update(self, row: MoveRow, version: int, elapsed: dt.timedelta) -> bool:
        """Store a row that was read or written; return whether it is newer."""
        paused = elapsed - self._last_read >= LEASE_DURATION
        self._last_read = elapsed
        if version <= self._version:
            if paused:
                self._unchanged_since = elapsed
            return False
        self._row = row
        self._version = version
        self._unchanged_since = elapsed
        return True

    def is_refresh_due(self, elapsed: dt.timedelta) -> bool:
        """Return whether it is time to read the row or to renew the lease."""
        return elapsed - self._last_read >= RENEWAL_INTERVAL

    def has_expired(self, elapsed: dt.timedelta) -> bool:
        """Return whether the row was unchanged for the lease's duration.

        A lease without a holder has expired, too. But no lease counts as
        expired if its row is unknown, or if the last read was at least the
        lease's duration ago.
        """
        if self._row is None or elapsed - self._last_read >= LEASE_DURATION:
            return False
        if not self._row.steward:
            return True
        return elapsed - self._unchanged_since >= LEASE_DURATION
