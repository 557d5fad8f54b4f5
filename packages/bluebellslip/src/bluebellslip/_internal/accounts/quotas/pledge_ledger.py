"""Which parts of the limits are pledged to an owner, and since when."""

import dataclasses
import math
from collections.abc import Iterator
from typing import Final

from bluebellslip._internal.accounts.quotas.limits import (
    MAX_VALIDITY,
    AccountLimit,
    QuotaTimes,
    choose_pledge_time,
)

# Levels of the pledged share that are remembered for accounts not asked for
# yet.
_MAX_FLOORS: Final = 8
_EPSILON: Final = 1e-9


@dataclasses.dataclass(slots=True)
class _Floor:
    """A share that has been pledged without interruption since a time."""

    share: float
    since: float


class PledgeLedger:
    """The shares that nodes have pledged to this node as an owner.

    A share counts while its pledge outlasts any permission granted now. It may
    be used from the moment at which the owner hears of it.

    Parameters
    ----------
    times
        Bounds on permissions.
    """

    def __init__(self, times: QuotaTimes) -> None:
        self._times = times
        self._pledges: dict[str, tuple[float, float]] = {}
        self._floors: list[_Floor] = []
        # When the earliest pledge ends, unless it was renewed since.
        self._check_at: float = 0
        self.share: float = 0

    @property
    def pledge_count(self) -> int:
        """Number of nodes that have pledged their shares."""
        return len(self._pledges)

    def list_pledgers(self, now: float) -> Iterator[str]:
        """Return the nodes whose pledges have not ended."""
        for node, (expiry, _) in self._pledges.items():
            if now < expiry:
                yield node

    def apply(self, times: QuotaTimes) -> None:
        """Apply other bounds on permissions."""
        self._times = times

    def add(self, node: str, echoed_at: float, size: int) -> None:
        """Note a pledge.

        Parameters
        ----------
        node
            The node that pledges its share.
        echoed_at
            The owner's time that the pledge starts from, in seconds.
        size
            Number of nodes of the deployment as the node knows it.
        """
        part = 1 / size
        expiry = echoed_at + choose_pledge_time(size)
        earlier = self._pledges.get(node)
        if earlier is None or earlier[1] != part:
            self._check_at = 0
        self._pledges[node] = (expiry, part)

    def release(self, node: str) -> None:
        """Use the share of a node no more."""
        if self._pledges.pop(node, None) is not None:
            self._check_at = 0

    def update(self, now: float) -> bool:
        """Drop pledges that end, and return whether the share has changed."""
        if now < self._check_at:
            return False
        for node, (expiry, _) in tuple(self._pledges.items()):
            if expiry - MAX_VALIDITY <= now:
                del self._pledges[node]
        ends = [pledge[0] - MAX_VALIDITY for pledge in self._pledges.values()]
        self._check_at = min(ends, default=math.inf)
        pledged = sum(part for _, part in self._pledges.values())
        share = min(1, pledged * self._times.excess)
        if abs(share - self.share) < _EPSILON:
            return False
        self.share = share
        self._update_floors(share, now)
        return True

    def find_level(self, limit: AccountLimit, now: float) -> float:
        """Return the level of a bucket that has never been asked."""
        return max(
            (
                min(
                    self._times.choose_depth(limit, floor.share),
                    limit.rate * floor.share * (now - floor.since),
                )
                for floor in self._floors
            ),
            default=0,
        )

    def _update_floors(self, share: float, now: float) -> None:
        kept: list[_Floor] = []
        for floor in self._floors:
            floor.share = min(floor.share, share)
            if not kept or floor.share > kept[-1].share:
                kept.append(floor)
        if not kept or share > kept[-1].share:
            kept.append(_Floor(share, now))
        if len(kept) > _MAX_FLOORS:
            del kept[_MAX_FLOORS // 2]
        self._floors = kept
