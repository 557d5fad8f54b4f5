"""Limits of accounts, and the times by which permissions are bounded."""

import dataclasses
import hashlib
from collections.abc import Iterable, Mapping
from typing import Final, Self

from bluebellslip._internal.models.identity import AccountName
from bluebellslip._internal.models.mesh import AccountRule
from bluebellslip._internal.models.mesh_settings import Bounds

# Longest times by which permissions may overlap, in seconds.
_MAX_GRANT_TIME: Final = 0.1
_MAX_RETURN_TIME: Final = 0.1
# Parts of ``quota_overage`` that may be used: by permissions that are out, by
# returned ones, and to make up for the shares of dead nodes. The rest is left
# for the time from a permission to the arrival at the server.
_GRANT_PART: Final = 0.2
_RETURN_PART: Final = 0.2
_EXCESS_PART: Final = 0.2
# Part of ``quota_slack`` that late returns may use, and the same again for
# accounts whose burst is less than one request.
_SLACK_PART: Final = 0.25
# Parts of ``quota_slack`` by which a limit is widened: its burst, and what its
# rate allows in a window. For a rate of a few requests a second, the slack is
# as much as the limit, and random arrivals exceed a narrow limit often.
_WIDER_BURST_PART: Final = 0.25
_WIDER_RATE_PART: Final = 0.25
# Reports that an owner handles in a second; each costs it some 60 microseconds
# together with the answer.
MAX_REPORTS_PER_SECOND: Final = 300
BASE_REPORT_INTERVAL: Final = 0.4
# A pledge counts from an answer that is up to one interval old, outlives
# another report that is late, and has to outlast permissions.
_REPORTS_PER_PLEDGE: Final = 4
_MIN_PLEDGE_TIME: Final = 1.5
# How far the clocks of two nodes may drift apart, as a share of a time.
CLOCK_DRIFT: Final = 0.01
# Longest time for which a permission is valid, in seconds.
MAX_VALIDITY: Final = 0.3
# Validity of permissions for requests that wait: the time that they wait, and
# that of a slow answer.
MIN_VALIDITY: Final = 0.1
_DIGEST_BYTES: Final = 8
_ID_MASK: Final = 2**63 - 1


def make_account_id(name: AccountName) -> int:
    """Return the number that stands for an account in messages."""
    digest = hashlib.blake2b(name.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) & _ID_MASK


@dataclasses.dataclass(frozen=True, slots=True)
class AccountLimit:
    """The limit of an account, in requests and seconds.

    Parameters
    ----------
    account
        The account's number in messages.
    rate
        Requests a second, of all nodes together.
    burst
        Requests beyond the rate that may be sent at once.
    """

    account: int
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitTolerance:
    """What is permitted beyond each limit, within the slack of the bound.

    Parameters
    ----------
    rate
        Requests a second.
    burst
        Requests at once.
    """

    rate: float = 0
    burst: float = 0

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> Self:
        """Return the tolerance for the bounds of a deployment."""
        slack = bounds.quota_slack
        return cls(
            rate=slack * _WIDER_RATE_PART / bounds.quota_window,
            burst=slack * _WIDER_BURST_PART,
        )

    def widen(self, rule: AccountRule) -> AccountLimit:
        """Return the limit that is applied for an account."""
        return AccountLimit(
            make_account_id(rule.name),
            rule.rate + self.rate,
            rule.burst + self.burst,
        )


_NO_TOLERANCE: Final = LimitTolerance()


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaLimits:
    """The limits of one configuration.

    Parameters
    ----------
    revision
        The configuration's revision; 0 before the first one.
    by_name
        Limits by account; accounts without a limit are left out.
    by_id
        The same limits by the number of the account.
    unlimited
        Numbers of the accounts without a limit.
    """

    revision: int
    by_name: Mapping[AccountName, AccountLimit]
    by_id: Mapping[int, AccountLimit]
    unlimited: frozenset[int]

    @classmethod
    def from_accounts(
        cls,
        revision: int,
        accounts: Iterable[AccountRule],
        tolerance: LimitTolerance = _NO_TOLERANCE,
    ) -> Self:
        """Return the limits of the accounts of a configuration."""
        by_name: dict[AccountName, AccountLimit] = {}
        unlimited: set[int] = set()
        for rule in accounts:
            if rule.rate > 0:
                by_name[rule.name] = tolerance.widen(rule)
            else:
                unlimited.add(make_account_id(rule.name))
        by_id = {limit.account: limit for limit in by_name.values()}
        return cls(revision, by_name, by_id, frozenset(unlimited))


NO_LIMITS: Final = QuotaLimits.from_accounts(0, ())


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaTimes:
    """Times and shares that keep all permissions within the bound.

    In any window, at most ``burst + rate * (window + grant + return_time)``
    requests of an account are permitted, and a little more if nodes are dead.

    Parameters
    ----------
    grant
        Seconds at the rate by which permissions that are out may exceed the
        burst.
    return_time
        Seconds within which a request that didn't run returns its permission.
    slack
        Requests that may be returned later than that, and as many that may be
        sent beyond a burst of less than one request.
    excess
        Factor by which an owner may exceed the shares pledged to it while they
        are less than the whole.
    max_return_time
        Longest time to return a permission, in seconds.
    """

    grant: float
    return_time: float
    slack: float
    excess: float
    max_return_time: float

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> Self:
        """Return the times for the bounds of a deployment."""
        overage = bounds.quota_overage * bounds.quota_window
        return cls(
            grant=min(_MAX_GRANT_TIME, overage * _GRANT_PART),
            return_time=min(_MAX_RETURN_TIME, overage * _RETURN_PART),
            slack=bounds.quota_slack * _SLACK_PART,
            excess=1 + bounds.quota_overage * _EXCESS_PART,
            max_return_time=bounds.quota_window,
        )

    def choose_validity(self, limit: AccountLimit) -> float:
        """Return how long permission for expected requests lasts, in seconds.

        With a small burst, permissions that are out for long would use it up,
        so that the rate could not be reached.
        """
        by_burst = limit.burst / (2 * limit.rate)
        return min(MAX_VALIDITY, max(MIN_VALIDITY, self.grant + by_burst))

    def choose_depth(self, limit: AccountLimit, share: float) -> float:
        """Return how many requests a share of a limit permits at once.

        A large share of a small burst still permits one request.
        """
        return max(limit.burst * share, min(1, self.slack * share))

    def choose_return_time(self, limit: AccountLimit) -> float:
        """Return how old a permission may be that is returned, in seconds."""
        by_slack = self.slack / limit.rate
        return min(self.return_time + by_slack, self.max_return_time)


def choose_report_interval(size: int) -> float:
    """Return the seconds between the reports of a node to an owner."""
    return max(BASE_REPORT_INTERVAL, size / MAX_REPORTS_PER_SECOND)


def choose_pledge_time(size: int) -> float:
    """Return the seconds for which a pledge lasts."""
    return max(
        _MIN_PLEDGE_TIME, choose_report_interval(size) * _REPORTS_PER_PLEDGE
    )
