"""Anti-entropy: finding out which facts two nodes hold differently."""

import dataclasses
from collections.abc import Sequence
from typing import Final

import xxhash

from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.messages import (
    SyncExchange,
    SyncRequest,
    SyncSummary,
)
from bluebellslip._internal.membership.times import SYNC_FACTS
from bluebellslip._internal.models.facts import (
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import NodeId

_BUCKETS: Final = 128
_DIGEST_BYTES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """Keys that another node holds newer, and facts that it lacks."""

    wanted: tuple[str, ...]
    lacking: tuple[Fact, ...]

    @property
    def empty(self) -> bool:
        """Whether both nodes hold the same."""
        return not self.wanted and not self.lacking


class Ledger:
    """Digests of all facts, in buckets by the hash of their key.

    Tombstones are no part of the digests: of two nodes that differ only in
    what they still remember of the dead, none needs to learn anything.

    Parameters
    ----------
    facts
        The store that is followed.
    """

    def __init__(self, facts: FactStore) -> None:
        self._facts = facts
        self._digests = [0 for _ in range(_BUCKETS)]
        self._buckets: list[dict[str, int]] = [{} for _ in range(_BUCKETS)]
        facts.subscribe(Fact, self._follow)

    def digests(self) -> bytes:
        """Return the digests of all buckets."""
        return b''.join(
            digest.to_bytes(_DIGEST_BYTES, 'big') for digest in self._digests
        )

    def request(self, sender: NodeId, revision: int) -> SyncRequest:
        """Return the message that begins an exchange."""
        return SyncRequest(sender, revision, self.digests())

    def summarize(
        self, request: SyncRequest, sender: NodeId, revision: int, seen: int
    ) -> SyncSummary:
        """Answer a request with what stands in the differing buckets."""
        buckets = bytes(self._find_differing(request.digests))
        return SyncSummary(
            sender=sender,
            revision=revision,
            remembered=seen,
            buckets=buckets,
            entries=tuple(
                (fact.key, fact.rank) for fact in self._collect(buckets)
            ),
        )

    def compare(self, summary: SyncSummary) -> Difference:
        """Find out what each side lacks."""
        theirs = dict(summary.entries)
        return Difference(
            wanted=tuple(
                key for key, rank in summary.entries if self._wants(key, rank)
            ),
            lacking=tuple(
                fact
                for fact in self._collect(summary.buckets)
                if _is_lacking(fact, theirs)
            ),
        )

    def begin_exchange(
        self, sender: NodeId, difference: Difference
    ) -> SyncExchange:
        """Return the message that asks for and brings facts."""
        return SyncExchange(
            sender=sender,
            wanted=difference.wanted[:SYNC_FACTS],
            facts=tuple(
                encode_fact(fact) for fact in difference.lacking[:SYNC_FACTS]
            ),
        )

    def select(self, keys: Sequence[str]) -> tuple[Fact, ...]:
        """Return the facts of some keys."""
        found = (self._facts.find(key) for key in keys[:SYNC_FACTS])
        return tuple(fact for fact in found if fact is not None)

    def forget(self, key: str) -> None:
        """Drop a key that the store has dropped."""
        bucket = _find_bucket(key)
        self._digests[bucket] ^= self._buckets[bucket].pop(key, 0)

    def _find_differing(self, digests: bytes) -> list[int]:
        own = self.digests()
        if len(digests) != len(own):
            return list(range(_BUCKETS))
        return [
            bucket
            for bucket in range(_BUCKETS)
            if _cut(digests, bucket) != _cut(own, bucket)
        ]

    def _collect(self, buckets: bytes) -> tuple[Fact, ...]:
        found = (
            self._facts.find(key)
            for bucket in buckets
            if bucket < _BUCKETS
            for key in self._buckets[bucket]
        )
        return tuple(fact for fact in found if fact is not None)

    def _wants(self, key: str, rank: tuple[int, ...]) -> bool:
        own = self._facts.find(key)
        if own is None:
            return not _is_tombstone(key, rank)
        return own.rank < rank

    def _follow(self, fact: Fact) -> None:
        key = fact.key
        bucket = _find_bucket(key)
        digest = _compute_digest(fact)
        self._digests[bucket] ^= self._buckets[bucket].get(key, 0) ^ digest
        self._buckets[bucket][key] = digest


def _find_bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKETS


def _compute_digest(fact: Fact) -> int:
    if isinstance(fact, MemberFact) and fact.status is MemberStatus.DEAD:
        return 0
    rank = ' '.join(str(int(part)) for part in fact.rank)
    return xxhash.xxh3_64_intdigest(f'{fact.key} {rank}'.encode())


def _cut(digests: bytes, bucket: int) -> bytes:
    start = bucket * _DIGEST_BYTES
    return digests[start : start + _DIGEST_BYTES]


def _is_tombstone(key: str, rank: tuple[int, ...]) -> bool:
    return key.startswith('member/') and rank[-1:] == (MemberStatus.DEAD,)


def _is_lacking(fact: Fact, theirs: dict[str, tuple[int, ...]]) -> bool:
    rank = theirs.get(fact.key)
    if rank is None:
        return not _is_tombstone(fact.key, fact.rank)
    return rank < fact.rank
