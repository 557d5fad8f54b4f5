"""Shares a server's slots fairly among client accounts.

Handles one account that sends many times its usual load: start-time fair
queueing among the accounts of one priority. Each account has a virtual time,
which advances by the time that its requests hold slots, and the waiting account
with the lowest one is next. An account that was idle starts at the virtual time
of the request that was admitted last, so it gains no credit. Within an account,
the order is that of the queue.

All requests without an account count as one, with the weight of all accounts
that share the slots with them: they come from many callers. Without accounts
nothing is recorded.
"""

import datetime as dt
from collections import Counter, defaultdict
from collections.abc import Collection, Hashable, Iterable, Sequence
from typing import Final, Protocol, TypeVar

# Accounts whose virtual time is not ahead are forgotten once more than this
# many are known; one entry takes about 100 bytes.
_MIN_PURGED_ACCOUNTS: Final = 64
_NO_ACCOUNT: Final = ''


class ShareTicket(Hashable, Protocol):
    """A request that wants a slot."""

    @property
    def priority(self) -> int:
        """Priority of the request; lower values are served first."""

    @property
    def account(self) -> str:
        """The client account that sent the request; empty if none."""


class ShareEntry(Protocol):
    """A waiting request; ``tag`` is the virtual time at which it starts."""

    tag: float

    @property
    def ticket(self) -> ShareTicket:
        """The request."""


_Entry = TypeVar('_Entry', bound=ShareEntry)


class _Level:
    """Virtual times of the accounts of one priority, in seconds."""

    def __init__(self) -> None:
        self._now: float = 0
        self._ends: dict[str, float] = {}
        self._purge_above = _MIN_PURGED_ACCOUNTS

    def list_active(self) -> set[str]:
        """Return the accounts that are ahead of the virtual time."""
        return {
            account
            for account, end in self._ends.items()
            if account != _NO_ACCOUNT and end > self._now
        }

    def find_start(self, account: str) -> float:
        """Return the virtual time at which an account's next request starts."""
        return max(self._now, self._ends.get(account, 0))

    def scale(self, account: str, cost: float) -> float:
        """Return the advance of an account's virtual time for a slot time."""
        if account != _NO_ACCOUNT:
            return cost
        return cost / max(1, len(self.list_active()))

    def admit(self, account: str, advance: float) -> None:
        """Count a request that starts."""
        self._now = self.find_start(account)
        self._ends[account] = self._now + advance
        if len(self._ends) > self._purge_above:
            self._purge()

    def correct(self, account: str, difference: float) -> None:
        """Correct the advance for a request that has ended."""
        end = self._ends.get(account)
        if end is not None:
            self._ends[account] = end + difference

    def _purge(self) -> None:
        self._ends = {
            account: end
            for account, end in self._ends.items()
            if end > self._now
        }
        self._purge_above = max(_MIN_PURGED_ACCOUNTS, 2 * len(self._ends))


class FairShares:
    """Virtual times of the accounts that share one server's slots."""

    def __init__(self) -> None:
        self._levels: dict[int, _Level] = {}
        self._charged: dict[ShareTicket, tuple[float, float]] = {}

    @property
    def is_active(self) -> bool:
        """Whether any request has had an account."""
        return bool(self._levels)

    def assign_tags(
        self, entries: Iterable[ShareEntry], service_time: dt.timedelta
    ) -> None:
        """Set the tags of waiting requests.

        Parameters
        ----------
        entries
            The requests, in the order in which the queue would serve them if
            all came from one account.
        service_time
            Time that a request is expected to hold its slot.
        """
        cost = service_time.total_seconds()
        positions = Counter[tuple[int, str]]()
        for entry in entries:
            priority, account = entry.ticket.priority, entry.ticket.account
            level = self._get_level(entry.ticket)
            if level is None:
                continue
            ahead = positions[priority, account]
            positions[priority, account] += 1
            entry.tag = level.find_start(account) + ahead * level.scale(
                account, cost
            )

    def count_accounts(self) -> int:
        """Return the number of accounts that have used slots lately."""
        return len(
            set[str]().union(
                *(level.list_active() for level in self._levels.values())
            )
        )

    def is_shared(self, ticket: ShareTicket) -> bool:
        """Return whether the slots of a request's priority are shared."""
        return self._get_level(ticket) is not None

    def record_admission(
        self, ticket: ShareTicket, service_time: dt.timedelta
    ) -> None:
        """Count a request that takes a slot.

        Parameters
        ----------
        ticket
            The request.
        service_time
            Time that it is expected to hold the slot.
        """
        level = self._get_level(ticket)
        if level is None:
            return
        cost = service_time.total_seconds()
        weight = level.scale(ticket.account, 1)
        level.admit(ticket.account, cost * weight)
        self._charged[ticket] = (cost, weight)

    def record_release(self, ticket: ShareTicket, held: dt.timedelta) -> None:
        """Correct the count by the time that a request held its slot."""
        charged = self._charged.pop(ticket, None)
        if charged is None:
            return
        cost, weight = charged
        self._levels[ticket.priority].correct(
            ticket.account, (held.total_seconds() - cost) * weight
        )

    def select_heaviest(
        self, entries: Collection[_Entry]
    ) -> Collection[_Entry]:
        """Return the waiting requests of the account that has most of them.

        Parameters
        ----------
        entries
            Waiting requests of one priority; never empty.
        """
        by_account = defaultdict[str, list[_Entry]](list)
        for entry in entries:
            by_account[entry.ticket.account].append(entry)
        accounts = len(by_account) - (_NO_ACCOUNT in by_account)
        return max(
            by_account.values(),
            key=lambda waiting: _measure_backlog(waiting, accounts),
        )

    def _get_level(self, ticket: ShareTicket) -> _Level | None:
        """Return the virtual times of a priority; none without accounts."""
        level = self._levels.get(ticket.priority)
        if level is None and ticket.account != _NO_ACCOUNT:
            level = _Level()
            self._levels[ticket.priority] = level
        return level


def _measure_backlog(
    waiting: Sequence[ShareEntry], accounts: int
) -> tuple[float, float]:
    """Return the weighted number of an account's requests, and the last tag."""
    weight = accounts if waiting[0].ticket.account == _NO_ACCOUNT else 1
    last_tag = max(entry.tag for entry in waiting)
    return (len(waiting) / max(1, weight), last_tag)
