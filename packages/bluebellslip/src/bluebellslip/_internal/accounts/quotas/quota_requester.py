"""Decides on the requests of accounts at one node, and asks the owners."""

from collections.abc import Callable, Iterator
from random import Random
from typing import Final

from bluebellslip._internal.accounts.quotas.account_demand import (
    MAX_WAIT,
    AccountDemand,
    Permit,
    Refusal,
    Waiter,
)
from bluebellslip._internal.accounts.quotas.deployment import (
    Deployment,
    count_shards,
)
from bluebellslip._internal.accounts.quotas.limits import (
    NO_LIMITS,
    AccountLimit,
    QuotaLimits,
    QuotaTimes,
    choose_report_interval,
)
from bluebellslip._internal.accounts.quotas.messages import (
    MAX_ENTRIES,
    AskEntry,
    GrantEntry,
    LimitEntry,
    QuotaGrant,
    QuotaReport,
)
from bluebellslip._internal.accounts.quotas.own_shares import OwnShares
from bluebellslip._internal.accounts.quotas.owner_links import (
    ANSWER_TIMEOUT,
    OwnerLink,
)
from bluebellslip._internal.accounts.quotas.quota_shards import QuotaShard
from bluebellslip._internal.accounts.quotas.shard_pledges import (
    choose_start_delay,
)

_MS_PER_SECOND: Final = 1000

Report = tuple[str, QuotaReport]


class QuotaRequester:
    """The part of a node that asks owners for permission.

    Parameters
    ----------
    node
        The node's name.
    life
        Identifies the run of its process.
    deployment
        The nodes that share the quotas.
    times
        Bounds on permissions.
    random_source
        Randomizes Retry-After.
    now
        Time on the node's clock, in seconds, at its start.
    """

    def __init__(
        self,
        node: str,
        life: int,
        deployment: Deployment,
        times: QuotaTimes,
        random_source: Random,
        now: float,
    ) -> None:
        self._node = node
        self._life = life
        self._deployment = deployment
        self._times = times
        self._random = random_source
        self._started_at = now
        self._sequence = 0
        self._limits = NO_LIMITS
        self._demands: dict[int, AccountDemand] = {}
        self._own_shares = OwnShares(times, random_source)
        self._shards: list[QuotaShard] = []
        # Whether an answer is awaited, so that ``collect`` is due soon.
        self.is_waiting = False

    @property
    def active_count(self) -> int:
        """Number of accounts that were active lately."""
        return len(self._demands)

    @property
    def has_waiters(self) -> bool:
        """Whether requests wait for permission."""
        return any(shard.asking for shard in self._shards)

    def count_free(self, now: float) -> int:
        """Return for how many shards the node may use its own part."""
        return sum(now > shard.pledge.ends_at for shard in self._shards)

    def find_owner(self, account: int) -> str:
        """Return the name of an account's owner; empty if none is known."""
        if not self._shards:
            return ''
        return self._shards[account % len(self._shards)].owner

    def apply(self, limits: QuotaLimits, times: QuotaTimes, now: float) -> None:
        """Apply the limits of another configuration."""
        self._limits = limits
        self._times = times
        self._own_shares.apply(times)
        for account, demand in tuple(self._demands.items()):
            limit = limits.by_id.get(account)
            if limit is not None:
                demand.limit = limit

    def admit(
        self,
        limit: AccountLimit,
        now: float,
        decide: Callable[[Permit | Refusal], None],
    ) -> Permit | Refusal | Waiter:
        """Decide on a request, or let it wait for the answer of the owner.

        Parameters
        ----------
        limit
            The limit of its account.
        now
            Time on the node's clock, in seconds.
        decide
            Called with the decision on a request that waits.
        """
        demand = self._demands.get(limit.account)
        if demand is None:
            demand = AccountDemand(limit, now)
            self._demands[limit.account] = demand
        demand.note_arrival(now)
        permit = demand.take(now)
        if permit is not None:
            return permit
        if now < demand.pause_ends_at:
            demand.refused += 1
            return self._own_shares.refuse(demand, now)
        if not self._shards:
            self._update_shards(now)
        shard = self._shards[limit.account % len(self._shards)]
        if not shard.choose_link(now).is_responsive(now):
            return self._own_shares.use(demand, shard.pledge.ends_at, now)
        waiter = Waiter(now + MAX_WAIT, decide)
        demand.waiters.append(waiter)
        shard.asking[limit.account] = demand
        self.is_waiting = True
        return waiter

    def give_back(self, permit: Permit, now: float) -> None:
        """Return the permission of a request that ended as not run.

        After a while it is lost: returned later, it might be used in another
        window than the one that it was counted in.
        """
        expiry = permit.used_at + self._times.choose_return_time(permit.limit)
        demand = self._demands.get(permit.limit.account)
        if demand is not None and now < expiry:
            demand.give_back(permit, expiry)

    def collect(self, now: float) -> Iterator[Report]:
        """Return the reports to send now, with the owners that get them."""
        self._update_shards(now)
        self.is_waiting = False
        for shard in self._shards:
            if now >= shard.report_at:
                yield from self._report(shard, now)
            yield from self._ask(shard, now)
            for link in shard.links:
                report = link.repeat(now)
                if report is not None:
                    yield link.owner, report
                if link.is_open and link.is_responsive(now):
                    self.is_waiting = True
        self._expire_waiters(now)

    def apply_grant(self, grant: QuotaGrant, now: float) -> None:
        """Apply the answer of an owner."""
        is_current = grant.life == self._life and grant.shard < grant.shards
        if not is_current or grant.shards != len(self._shards):
            return
        shard = self._shards[grant.shard]
        link = shard.find_link(grant.owner)
        exchange = None if link is None else link.finish(grant, now)
        if link is None or exchange is None:
            return
        if exchange.report.owner_life == link.life and not exchange.report.size:
            shard.pledge.release(link, now)
            shard.report_at = min(shard.report_at, shard.pledge.ends_at)
        for entry in grant.grants:
            demand = self._demands.get(entry.account)
            if demand is not None:
                self._apply_entry(demand, entry, exchange.sent_at, now)
                if not demand.waiters:
                    shard.asking.pop(entry.account, None)

    def expire(self, now: float) -> None:
        """Forget accounts that are not in use."""
        for account, demand in tuple(self._demands.items()):
            if demand.is_idle(now) and self._own_shares.is_full(demand, now):
                del self._demands[account]

    def _update_shards(self, now: float) -> None:
        """Divide the accounts anew if the deployment has grown or shrunk.

        A part that is pledged under one division stays so until the pledge has
        ended, before it is pledged under another.
        """
        size = self._deployment.size
        self._own_shares.size = size
        count = count_shards(size)
        free_at = self._started_at + choose_start_delay(size)
        if count != len(self._shards):
            pledged_until = [shard.pledge.ends_at for shard in self._shards]
            self._divide(count, max((free_at, *pledged_until)))
        if not self._deployment.is_size_known:
            free_at = now + choose_start_delay(size)
        for shard in self._shards:
            if not shard.pledge.owner:
                shard.pledge.delay(free_at)

    def _divide(self, count: int, free_at: float) -> None:
        self._shards = [
            QuotaShard(self._node, number, free_at) for number in range(count)
        ]
        for account, demand in self._demands.items():
            demand.own_share = None
            if demand.waiters:
                self._shards[account % count].asking[account] = demand

    def _report(self, shard: QuotaShard, now: float) -> Iterator[Report]:
        """Report to the owner, and pledge the node's part to it."""
        link = shard.update_owner(self._deployment.list_candidates(), now)
        if link.is_open and link.is_responsive(now):
            # Its answer is on the way, and may hold permissions.
            shard.report_at = now + ANSWER_TIMEOUT
            return
        holder = shard.find_link(shard.pledge.owner)
        is_free = now >= shard.pledge.ends_at
        if holder is not None and holder is not link and not is_free:
            # The answer confirms that it uses the node's part no more.
            yield holder.owner, self._make_report(shard, holder, now)
        yield link.owner, self._make_report(shard, link, now)
        if now < shard.pledge.ends_at and shard.pledge.owner != link.owner:
            shard.report_at = min(shard.report_at, shard.pledge.ends_at)

    def _ask(self, shard: QuotaShard, now: float) -> Iterator[Report]:
        if not shard.asking:
            return
        link = shard.choose_link(now)
        if not link.is_open and link.is_responsive(now):
            yield link.owner, self._make_report(shard, link, now)

    def _make_report(
        self, shard: QuotaShard, link: OwnerLink, now: float
    ) -> QuotaReport:
        size = self._own_shares.size
        is_pledged = False
        if link.owner == shard.owner:
            is_pledged = shard.pledge.pledge(link, size, now)
            shard.report_at = now + self._choose_interval(size)
        self._sequence += 1
        needs_limits = link.revision < self._limits.revision
        report = QuotaReport(
            node=self._node,
            life=self._life,
            sequence=self._sequence,
            shards=len(self._shards),
            shard=shard.number,
            owner_life=link.life,
            echo_ms=link.stamp_ms,
            size=size if is_pledged else 0,
            revision=self._limits.revision,
            asks=tuple(
                _make_ask(demand, needs_limits=needs_limits)
                for demand in list(shard.asking.values())[:MAX_ENTRIES]
            ),
        )
        link.start(report, now)
        return report

    def _choose_interval(self, size: int) -> float:
        """Return the time until the next report, in seconds.

        It is randomized, so that an owner doesn't get all at the same time.
        """
        return choose_report_interval(size) * (1 - self._random.random() / 4)

    def _apply_entry(
        self,
        demand: AccountDemand,
        entry: GrantEntry,
        sent_at: float,
        now: float,
    ) -> None:
        expiry = sent_at + entry.validity_ms / _MS_PER_SECOND
        demand.add(entry.granted, expiry, now)
        if not entry.pause_ms:
            return
        demand.pause_ends_at = now + entry.pause_ms / _MS_PER_SECOND
        demand.backlog = entry.backlog_ms / _MS_PER_SECOND
        for waiter in demand.release():
            # The owner has counted those that it was told of.
            waiter.decide(self._own_shares.refuse(demand, now))

    def _expire_waiters(self, now: float) -> None:
        for shard in self._shards:
            free_since = shard.pledge.ends_at
            for account, demand in tuple(shard.asking.items()):
                for waiter in demand.expire(now):
                    waiter.decide(self._own_shares.use(demand, free_since, now))
                if demand.waiters:
                    self.is_waiting = True
                else:
                    del shard.asking[account]


def _make_ask(demand: AccountDemand, *, needs_limits: bool) -> AskEntry:
    limit = demand.limit
    refused = demand.refused
    demand.refused = 0
    return AskEntry(
        account=limit.account,
        waiting=sum(not waiter.is_cancelled for waiter in demand.waiters),
        expected=demand.expected,
        refused=refused,
        limit=LimitEntry(limit.rate, limit.burst) if needs_limits else None,
    )
