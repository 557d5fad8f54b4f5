"""Decisions of a node without an owner: its own shares, and refusals."""

from random import Random
from typing import Final

from bluebellslip._internal.accounts.quotas.account_demand import (
    AccountDemand,
    OwnShare,
    Permit,
    Refusal,
)
from bluebellslip._internal.accounts.quotas.limits import QuotaTimes

# Shortest time over which refused callers are asked to spread their retries.
_MIN_SPREAD: Final = 0.1
_MIN_RETRY_AFTER: Final = 0.05
_MAX_RETRY_AFTER: Final = 5.0
# Time in which another owner usually takes over.
_OWNER_LOST_RETRY_AFTER: Final = 0.5


class OwnShares:
    """The node's own parts of the limits.

    Parameters
    ----------
    times
        Bounds on permissions.
    random_source
        Randomizes Retry-After.
    """

    def __init__(self, times: QuotaTimes, random_source: Random) -> None:
        self._times = times
        self._random = random_source
        # Number of nodes that share the quotas.
        self.size = 1

    def apply(self, times: QuotaTimes) -> None:
        """Apply other bounds on permissions."""
        self._times = times

    def refuse(self, demand: AccountDemand, now: float) -> Refusal:
        """Return a refusal by what the owner said of the account."""
        wait = max(demand.pause_ends_at - now, _MIN_RETRY_AFTER)
        return self._spread(wait, demand.backlog)

    def use(
        self, demand: AccountDemand, free_since: float, now: float
    ) -> Permit | Refusal:
        """Use the node's part of a limit, unless it is pledged.

        Parameters
        ----------
        demand
            The account.
        free_since
            Time in seconds from which the part is not pledged.
        now
            Time on the node's clock, in seconds.
        """
        if now <= free_since:
            return self._spread(
                max(free_since - now, _OWNER_LOST_RETRY_AFTER), 0
            )
        own = demand.own_share
        if own is None or own.since != free_since:
            own = OwnShare(free_since, 0, free_since)
            demand.own_share = own
        self._refill(own, demand, now)
        if own.level >= 1:
            own.level -= 1
            return Permit(demand.limit, now)
        wait = (1 - own.level) * self.size / demand.limit.rate
        return self._spread(wait, wait)

    def is_full(self, demand: AccountDemand, now: float) -> bool:
        """Return whether the node's part is as if it had never been used."""
        own = demand.own_share
        return own is None or own.level >= self._refill(own, demand, now)

    def _refill(
        self, own: OwnShare, demand: AccountDemand, now: float
    ) -> float:
        """Refill the part of a limit, and return its depth."""
        part = 1 / self.size
        depth = self._times.choose_depth(demand.limit, part)
        own.refill(demand.limit.rate * part, depth, now)
        return depth

    def _spread(self, wait: float, backlog: float) -> Refusal:
        base = min(wait, _MAX_RETRY_AFTER)
        spread = max(backlog, _MIN_SPREAD, base)
        return Refusal(base + spread * self._random.random())
