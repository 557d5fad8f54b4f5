"""Counts requests by client account, with a bounded number of series."""

import heapq
from collections import Counter
from typing import Final

from bluebellslip._internal.kernel.counters import Counters

METRIC: Final = 'account_requests'
# The account of the series that counts all accounts without one of their own.
OTHER: Final = 'other'
# Accounts with a series of their own. With three outcomes each, they stay below
# the number of series that a metric may have.
MAX_ACCOUNTS: Final = 100
# Requests after which the busiest accounts are chosen anew.
REVIEW_REQUESTS: Final = 4096
_LABEL: Final = 'account'
_REFUSED: Final = frozenset(('429', '503'))


class AccountCounter:
    """Counts the requests of the busiest accounts, and of all others together.

    The busiest ones are those with the most requests lately; each review halves
    the weight of earlier requests. An account that is no longer among them is
    added to the others.

    Parameters
    ----------
    counters
        The metrics.
    """

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._recent: Counter[str] = Counter()
        self._named: set[str] = set()
        self._left = REVIEW_REQUESTS

    def record(self, account: str, outcome: str, *, failed: bool) -> None:
        """Count a request; does nothing if it has no account.

        Parameters
        ----------
        account
            The account; empty if none.
        outcome
            Status of the response, or why there is none.
        failed
            Whether the node itself ended the request.
        """
        if not account:
            return
        self._recent[account] += 1
        self._left -= 1
        if not self._left:
            self._review()
        elif len(self._named) < MAX_ACCOUNTS:
            self._named.add(account)
        self._counters.add(
            METRIC,
            account=account if account in self._named else OTHER,
            outcome=_classify(outcome, failed=failed),
        )

    def _review(self) -> None:
        self._left = REVIEW_REQUESTS
        busiest = set(
            heapq.nlargest(
                MAX_ACCOUNTS, self._recent, key=self._recent.__getitem__
            )
        )
        for idle in self._named - busiest:
            self._counters.fold(METRIC, _LABEL, idle, OTHER)
        self._named = busiest
        self._recent = Counter({
            account: count // 2
            for account, count in self._recent.items()
            if count > 1
        })


def _classify(outcome: str, *, failed: bool) -> str:
    if not failed:
        return 'served'
    return 'refused' if outcome in _REFUSED else 'failed'
