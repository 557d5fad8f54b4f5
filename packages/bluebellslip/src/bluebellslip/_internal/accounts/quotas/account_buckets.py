"""Permissions of one account at the owner of its quota.

Designed for accounts of any rate. Permissions that were granted and may not
have been used yet count against the burst until they expire.
"""

import dataclasses
import heapq
import math
from typing import Final

from bluebellslip._internal.accounts.quotas.limits import (
    MIN_VALIDITY,
    AccountLimit,
    QuotaTimes,
)

# A node that got less than it asked for counts as asking for this long.
_CONTENTION_TIME: Final = 0.5
_MIN_PAUSE: Final = 0.02
_MAX_PAUSE: Final = 0.5
# Time constant with which earlier refusals are forgotten.
_BACKLOG_TIME: Final = 1.0
# Longest time over which callers are asked to spread their retries.
_MAX_BACKLOG: Final = 5.0
# Part of the burst that is only granted to requests that wait already.
_RESERVED_PART: Final = 0.5
# Part of the rest that is granted to one node for requests that it expects.
_SPARE_PART: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Grant:
    """What an owner grants to one node at once.

    Parameters
    ----------
    granted
        Number of requests that are permitted.
    validity
        Seconds for which the permission is valid.
    pause
        Seconds until the node should ask again; 0 if it got what it needs.
    backlog
        Seconds that it takes to permit the requests refused lately.
    """

    granted: int
    validity: float
    pause: float = 0
    backlog: float = 0


class AccountBucket:
    """A bucket that refills at the pledged part of an account's rate.

    Its level and the permissions that are out never exceed the pledged part of
    the burst, plus the rate times ``QuotaTimes.grant``.

    Parameters
    ----------
    limit
        The account's limit.
    share
        The part of the limit that is pledged to the owner.
    times
        Bounds on permissions.
    level
        Requests that are permitted at once now.
    now
        Time on the owner's clock, in seconds.
    """

    __slots__ = (
        '_backlog',
        '_contenders',
        '_level',
        '_outstanding',
        '_outstanding_lots',
        '_share',
        '_times',
        '_updated_at',
        'limit',
    )

    def __init__(
        self,
        limit: AccountLimit,
        share: float,
        times: QuotaTimes,
        level: float,
        now: float,
    ) -> None:
        self.limit = limit
        self._share = share
        self._times = times
        self._level = level
        self._updated_at = now
        # A heap of pairs of expiry and number of permissions.
        self._outstanding_lots: list[tuple[float, int]] = []
        self._outstanding = 0
        self._contenders: dict[str, float] = {}
        self._backlog: float = 0

    @property
    def _rate(self) -> float:
        return self.limit.rate * self._share

    @property
    def _depth(self) -> float:
        return self._times.choose_depth(self.limit, self._share)

    def change(self, limit: AccountLimit, share: float, now: float) -> None:
        """Set another limit or share; an added part of the burst is empty."""
        self._refill(now)
        self.limit = limit
        self._share = share
        self._level = min(self._level, self._find_room())

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is as if it had never been used."""
        self._refill(now)
        return (
            not self._outstanding
            and self._level >= self._depth
            and self._backlog < 1
        )

    def grant(
        self, node: str, waiting: int, expected: int, now: float
    ) -> Grant:
        """Permit requests of a node.

        Parameters
        ----------
        node
            The node that asks.
        waiting
            Requests that wait for the answer.
        expected
            Requests that the node expects soon; these are permitted only while
            the bucket holds plenty.
        now
            Time on the owner's clock, in seconds.
        """
        self._refill(now)
        granted = min(waiting, math.floor(self._level))
        missing = waiting - granted
        if missing:
            self._record_grant(granted, now + MIN_VALIDITY)
            self._contenders[node] = now
            self._backlog += missing
            return Grant(
                granted,
                MIN_VALIDITY,
                self._choose_pause(now),
                self._choose_backlog(),
            )
        self._contenders.pop(node, None)
        spare = self._level - granted - self._depth * _RESERVED_PART
        extra = min(expected, max(0, math.floor(spare * _SPARE_PART)))
        validity = MIN_VALIDITY
        if extra:
            validity = self._times.choose_validity(self.limit)
        self._record_grant(granted + extra, now + validity)
        return Grant(granted + extra, validity)

    def add_refused(self, refused: int, now: float) -> None:
        """Count requests that a node refused without asking."""
        self._refill(now)
        self._backlog += refused

    def _record_grant(self, granted: int, expiry: float) -> None:
        if granted:
            self._level -= granted
            self._outstanding += granted
            heapq.heappush(self._outstanding_lots, (expiry, granted))

    def _find_room(self) -> float:
        """Return the highest level that the permissions that are out allow."""
        room = self._depth + self._rate * self._times.grant - self._outstanding
        return max(0, min(self._depth, room))

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._updated_at)
        if not elapsed and not self._outstanding:
            return
        self._updated_at += elapsed
        # What has expired since makes room only from now on, which permits
        # less than could be, never more.
        grown = self._level + elapsed * self._rate
        lots = self._outstanding_lots
        while lots and lots[0][0] <= now:
            self._outstanding -= heapq.heappop(lots)[1]
        self._level = min(grown, self._find_room())
        self._backlog *= math.exp(-elapsed / _BACKLOG_TIME)

    def _choose_pause(self, now: float) -> float:
        """Return the time after which it is this node's turn again."""
        self._contenders = {
            node: asked_at
            for node, asked_at in self._contenders.items()
            if now - asked_at < _CONTENTION_TIME
        }
        if self._rate <= 0:
            return _MAX_PAUSE
        pause = len(self._contenders) / self._rate
        return min(max(pause, _MIN_PAUSE), _MAX_PAUSE)

    def _choose_backlog(self) -> float:
        if self._rate <= 0:
            return _MAX_BACKLOG
        return min(self._backlog / self._rate, _MAX_BACKLOG)
