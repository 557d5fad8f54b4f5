"""Grants permissions out of the shares that nodes pledge to this node."""

import dataclasses
from collections.abc import Iterator
from typing import Final

from bluebellslip._internal.accounts.quotas.account_buckets import (
    AccountBucket,
    Grant,
)
from bluebellslip._internal.accounts.quotas.limits import (
    NO_LIMITS,
    AccountLimit,
    QuotaLimits,
    QuotaTimes,
)
from bluebellslip._internal.accounts.quotas.messages import (
    AskEntry,
    GrantEntry,
    QuotaGrant,
    QuotaReport,
)
from bluebellslip._internal.accounts.quotas.pledge_ledger import PledgeLedger

# Ways to divide the accounts that are kept apart; nodes that know another
# number of nodes may divide them otherwise for a while.
_MAX_SHARDS_OWNED: Final = 64
# Longer than any pledge, in seconds: until then a late report is recognized by
# its number, so that it doesn't undo a release.
_SHARD_RETENTION: Final = 120.0
# Accounts whose newer limits are remembered until the configuration arrives.
_MAX_NEWER_LIMITS: Final = 4096
_MS_PER_SECOND: Final = 1000
_ShardKey = tuple[int, int]


@dataclasses.dataclass(slots=True)
class _LastAnswer:
    """The last answer to a node, which is repeated if the node repeats."""

    life: int
    grant: QuotaGrant


@dataclasses.dataclass(slots=True)
class _OwnedShard:
    ledger: PledgeLedger
    used_at: float = 0
    buckets: dict[int, AccountBucket] = dataclasses.field(default_factory=dict)
    answers: dict[str, _LastAnswer] = dataclasses.field(default_factory=dict)


class QuotaOwner:
    """The part of a node that acts as an owner of quotas.

    Each run of the process is another owner: it knows nothing of what an
    earlier run was pledged or has granted.

    Parameters
    ----------
    node
        The node's name.
    life
        Identifies the run of its process.
    times
        Bounds on permissions.
    """

    def __init__(self, node: str, life: int, times: QuotaTimes) -> None:
        self._node = node
        self._life = life
        self._times = times
        self._limits = NO_LIMITS
        # Limits of newer configurations, as reported by nodes that hold them.
        self._newer_limits: dict[int, tuple[int, AccountLimit]] = {}
        self._shards: dict[_ShardKey, _OwnedShard] = {}
        self.granted = 0

    @property
    def pledge_count(self) -> int:
        """Number of pledges that the node holds."""
        return sum(shard.ledger.pledge_count for shard in self._shards.values())

    def list_pledgers(self, now: float) -> Iterator[str]:
        """Return the nodes whose parts permissions may be granted from.

        A node is returned once for each shard.
        """
        for shard in self._shards.values():
            yield from shard.ledger.list_pledgers(now)

    def apply(self, limits: QuotaLimits, times: QuotaTimes, now: float) -> None:
        """Apply the limits of another configuration."""
        self._limits = limits
        self._times = times
        self._newer_limits = {
            account: known
            for account, known in self._newer_limits.items()
            if known[0] > limits.revision
        }
        for shard in self._shards.values():
            shard.ledger.apply(times)
            self._update_buckets(shard, now)

    def answer(self, report: QuotaReport, now: float) -> QuotaGrant | None:
        """Return the answer to a report; none if it is outdated.

        Parameters
        ----------
        report
            The report.
        now
            Time on the node's clock, in seconds.
        """
        shard = self._find_shard(report)
        if shard is None:
            return None
        last = shard.answers.get(report.node)
        if last is not None and last.life == report.life:
            if report.sequence == last.grant.sequence:
                return last.grant
            if report.sequence < last.grant.sequence:
                return None
        shard.used_at = now
        self._record_pledge(shard, report, now)
        self._update_share(shard, now)
        grant = QuotaGrant(
            owner=self._node,
            owner_life=self._life,
            owner_ms=int(now * _MS_PER_SECOND),
            shards=report.shards,
            shard=report.shard,
            life=report.life,
            sequence=report.sequence,
            revision=self._limits.revision,
            grants=tuple(
                self._grant(shard, report, ask, now) for ask in report.asks
            ),
        )
        shard.answers[report.node] = _LastAnswer(report.life, grant)
        return grant

    def expire(self, now: float) -> None:
        """Forget pledges that have ended and accounts that are not in use."""
        for key, shard in tuple(self._shards.items()):
            self._update_share(shard, now)
            for account, bucket in tuple(shard.buckets.items()):
                if bucket.is_full(now):
                    del shard.buckets[account]
            if now > shard.used_at + _SHARD_RETENTION and not shard.buckets:
                del self._shards[key]

    def _find_shard(self, report: QuotaReport) -> _OwnedShard | None:
        if report.shard >= report.shards:
            return None
        key = (report.shards, report.shard)
        shard = self._shards.get(key)
        if shard is None:
            if len(self._shards) >= _MAX_SHARDS_OWNED:
                return None
            shard = _OwnedShard(PledgeLedger(self._times))
            self._shards[key] = shard
        return shard

    def _record_pledge(
        self, shard: _OwnedShard, report: QuotaReport, now: float
    ) -> None:
        echoed_at = report.echo_ms / _MS_PER_SECOND
        if report.owner_life != self._life or echoed_at > now:
            return
        if report.size:
            shard.ledger.add(report.node, echoed_at, report.size)
        else:
            shard.ledger.release(report.node)

    def _update_share(self, shard: _OwnedShard, now: float) -> None:
        if shard.ledger.update(now):
            self._update_buckets(shard, now)

    def _update_buckets(self, shard: _OwnedShard, now: float) -> None:
        for account, bucket in shard.buckets.items():
            # The bucket of a removed account stays until it is full, so that
            # one that is restored soon doesn't get its burst twice.
            limit = self._find_limit(account) or bucket.limit
            bucket.change(limit, shard.ledger.share, now)

    def _grant(
        self,
        shard: _OwnedShard,
        report: QuotaReport,
        ask: AskEntry,
        now: float,
    ) -> GrantEntry:
        self._record_limit(shard, report, ask, now)
        limit = self._find_limit(ask.account)
        if limit is None:
            return self._answer_unknown(ask)
        bucket = shard.buckets.get(ask.account)
        if bucket is None:
            bucket = AccountBucket(
                limit,
                shard.ledger.share,
                self._times,
                shard.ledger.find_level(limit, now),
                now,
            )
            shard.buckets[ask.account] = bucket
        if ask.refused:
            bucket.add_refused(ask.refused, now)
        grant = bucket.grant(report.node, ask.waiting, ask.expected, now)
        self.granted += grant.granted
        return _make_entry(ask.account, grant)

    def _answer_unknown(self, ask: AskEntry) -> GrantEntry:
        """Permit all requests of an account without a limit, else none."""
        if ask.account in self._limits.unlimited:
            return GrantEntry(ask.account, ask.waiting, _MS_PER_SECOND)
        return GrantEntry(ask.account, 0, 0, _MS_PER_SECOND // 2)

    def _record_limit(
        self,
        shard: _OwnedShard,
        report: QuotaReport,
        ask: AskEntry,
        now: float,
    ) -> None:
        """Note a limit of a configuration that this node lacks."""
        entry = ask.limit
        if entry is None or report.revision <= self._limits.revision:
            return
        known = self._newer_limits.get(ask.account)
        if known is not None and known[0] >= report.revision:
            return
        if entry.rate <= 0 or len(self._newer_limits) >= _MAX_NEWER_LIMITS:
            return
        limit = AccountLimit(ask.account, entry.rate, entry.burst)
        self._newer_limits[ask.account] = (report.revision, limit)
        bucket = shard.buckets.get(ask.account)
        if bucket is not None:
            lowest = self._find_limit(ask.account) or limit
            bucket.change(lowest, shard.ledger.share, now)

    def _find_limit(self, account: int) -> AccountLimit | None:
        """Return the limit of an account, the lower of two configurations."""
        own = self._limits.by_id.get(account)
        known = self._newer_limits.get(account)
        if known is None:
            return own
        newer = known[1]
        if own is None:
            return newer
        return AccountLimit(
            account, min(own.rate, newer.rate), min(own.burst, newer.burst)
        )


def _make_entry(account: int, grant: Grant) -> GrantEntry:
    return GrantEntry(
        account,
        grant.granted,
        int(grant.validity * _MS_PER_SECOND),
        int(grant.pause * _MS_PER_SECOND),
        int(grant.backlog * _MS_PER_SECOND),
    )
