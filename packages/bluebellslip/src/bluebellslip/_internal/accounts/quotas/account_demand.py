"""Requests of one account at one node, and the permissions it holds."""

import collections
import dataclasses
import math
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.accounts.quotas.limits import AccountLimit

# Longest time for which a request waits for the answer of the owner.
MAX_WAIT: Final = 0.05
# Time constant with which the rate of requests is estimated.
_DEMAND_TIME: Final = 1.0
# Requests beyond those that wait are asked for if the rate is as high.
_MIN_STEADY_RATE: Final = 4.0
_EXPECTED_TIME: Final = 0.2
# Time without a request after which an account counts as inactive.
_IDLE_TIME: Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request.

    Parameters
    ----------
    limit
        The limit that it counts against.
    used_at
        Time at which a request first used it, in seconds.
    """

    limit: AccountLimit
    used_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A request beyond the limit.

    Parameters
    ----------
    retry_after
        Seconds after which there is likely to be capacity.
    """

    retry_after: float


@dataclasses.dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for permission.

    Parameters
    ----------
    ends_at
        Time at which it is refused, in seconds.
    decide
        Called with the decision.
    """

    ends_at: float
    decide: Callable[[Permit | Refusal], None]
    is_cancelled: bool = False


@dataclasses.dataclass(slots=True)
class OwnShare:
    """The node's own part of a limit, while it is pledged to no owner."""

    since: float
    level: float
    updated_at: float

    def refill(self, rate: float, depth: float, now: float) -> None:
        """Refill the part, up to its depth."""
        grown = self.level + rate * (now - self.updated_at)
        self.level = min(depth, grown)
        self.updated_at = now


class AccountDemand:
    """What one account needs at this node.

    Parameters
    ----------
    limit
        The account's limit.
    now
        Time on the node's clock, in seconds.
    """

    __slots__ = (
        '_arrivals',
        '_lots',
        '_returned',
        '_updated_at',
        'backlog',
        'limit',
        'own_share',
        'pause_ends_at',
        'refused',
        'waiters',
    )

    def __init__(self, limit: AccountLimit, now: float) -> None:
        self.limit = limit
        self.waiters: collections.deque[Waiter] = collections.deque()
        self.refused = 0
        self.pause_ends_at: float = 0
        self.backlog: float = 0
        self.own_share: OwnShare | None = None
        self._arrivals: float = 0
        self._updated_at = now
        # Pairs of expiry and number of permissions.
        self._lots: collections.deque[tuple[float, int]] = collections.deque()
        # Pairs of expiry and first use of returned permissions.
        self._returned: collections.deque[tuple[float, float]] = (
            collections.deque()
        )

    @property
    def expected(self) -> int:
        """Requests that are likely to arrive soon."""
        rate = self._arrivals / _DEMAND_TIME
        if rate < _MIN_STEADY_RATE:
            return 0
        return math.ceil(rate * _EXPECTED_TIME)

    def note_arrival(self, now: float) -> None:
        """Count a request."""
        elapsed = now - self._updated_at
        self._arrivals = 1 + self._arrivals * math.exp(-elapsed / _DEMAND_TIME)
        self._updated_at = now

    def take(self, now: float) -> Permit | None:
        """Use a permission that the node holds, if any."""
        while self._returned:
            expiry, used_at = self._returned.popleft()
            if now < expiry:
                return Permit(self.limit, used_at)
        while self._lots:
            expiry, count = self._lots.popleft()
            if expiry <= now:
                continue
            if count > 1:
                self._lots.appendleft((expiry, count - 1))
            return Permit(self.limit, now)
        return None

    def add(self, granted: int, expiry: float, now: float) -> None:
        """Give permissions to the requests that wait, and keep the rest."""
        if expiry <= now:
            return
        while granted and self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.is_cancelled:
                granted -= 1
                waiter.decide(Permit(self.limit, now))
        if granted:
            self._lots.append((expiry, granted))

    def give_back(self, permit: Permit, expiry: float) -> None:
        """Keep a permission whose request didn't run, until a time."""
        self._returned.append((expiry, permit.used_at))

    def expire(self, now: float) -> list[Waiter]:
        """Drop what has expired, and return requests that waited too long."""
        while self._lots and self._lots[0][0] <= now:
            self._lots.popleft()
        while self._returned and self._returned[0][0] <= now:
            self._returned.popleft()
        expired: list[Waiter] = []
        while self.waiters and self.waiters[0].ends_at <= now:
            waiter = self.waiters.popleft()
            if not waiter.is_cancelled:
                expired.append(waiter)
        return expired

    def release(self) -> list[Waiter]:
        """Return the requests that wait, which wait no more."""
        released = [
            waiter for waiter in self.waiters if not waiter.is_cancelled
        ]
        self.waiters.clear()
        return released

    def is_idle(self, now: float) -> bool:
        """Return whether nothing has to be remembered of the account."""
        return (
            not self.waiters
            and not self._lots
            and now - self._updated_at > _IDLE_TIME
        )
