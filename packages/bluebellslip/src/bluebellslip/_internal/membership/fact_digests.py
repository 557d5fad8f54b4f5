"""Digests that show in which facts two nodes differ, for anti-entropy."""

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
from bluebellslip._internal.membership.times import MAX_FACTS_PER_SYNC
from bluebellslip._internal.models.facts import (
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import NodeId

_BUCKET_COUNT: Final = 128
_DIGEST_BYTES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class FactDifference:
    """Keys of facts to request from a peer, and facts to send to it."""

    wanted: tuple[str, ...]
    to_send: tuple[Fact, ...]

    @property
    def empty(self) -> bool:
        """Whether there is nothing to request or send."""
        return not self.wanted and not self.to_send


class FactDigests:
    """Digests of all facts, one for each bucket.

    Facts are divided into buckets by the hash of their key. A bucket's digest
    is the XOR of the digests of its facts.

    Tombstones are not part of the digests: two nodes that differ only in the
    dead members that they still remember have nothing to exchange.

    Parameters
    ----------
    facts
        The store whose facts are digested.
    """

    def __init__(self, facts: FactStore) -> None:
        self._facts = facts
        self._digests = [0 for _ in range(_BUCKET_COUNT)]
        self._buckets: list[dict[str, int]] = [{} for _ in range(_BUCKET_COUNT)]
        facts.subscribe(Fact, self._update)

    def encode(self) -> bytes:
        """Return the digests of all buckets."""
        return b''.join(
            digest.to_bytes(_DIGEST_BYTES, 'big') for digest in self._digests
        )

    def make_request(self, sender: NodeId, revision: int) -> SyncRequest:
        """Return the message that starts an exchange."""
        return SyncRequest(sender, revision, self.encode())

    def summarize(
        self,
        request: SyncRequest,
        sender: NodeId,
        revision: int,
        receiver_revision: int,
    ) -> SyncSummary:
        """Return the keys and ranks of all facts in differing buckets."""
        buckets = bytes(self._find_differing(request.digests))
        return SyncSummary(
            sender=sender,
            revision=revision,
            receiver_revision=receiver_revision,
            buckets=buckets,
            entries=tuple(
                (fact.key, fact.rank) for fact in self._list_facts(buckets)
            ),
        )

    def compare(self, summary: SyncSummary) -> FactDifference:
        """Return the facts to request from the peer and to send to it."""
        peer_ranks = dict(summary.entries)
        return FactDifference(
            wanted=tuple(
                key
                for key, rank in summary.entries
                if self._is_wanted(key, rank)
            ),
            to_send=tuple(
                fact
                for fact in self._list_facts(summary.buckets)
                if _should_send(fact, peer_ranks)
            ),
        )

    def make_exchange(
        self, sender: NodeId, difference: FactDifference
    ) -> SyncExchange:
        """Return the message that requests and sends the differing facts.

        At most ``MAX_FACTS_PER_SYNC`` facts are requested, and at most the
        same number are sent.
        """
        return SyncExchange(
            sender=sender,
            wanted=difference.wanted[:MAX_FACTS_PER_SYNC],
            facts=tuple(
                encode_fact(fact)
                for fact in difference.to_send[:MAX_FACTS_PER_SYNC]
            ),
        )

    def select(self, keys: Sequence[str]) -> tuple[Fact, ...]:
        """Return the facts of the first ``MAX_FACTS_PER_SYNC`` keys."""
        found = (self._facts.find(key) for key in keys[:MAX_FACTS_PER_SYNC])
        return tuple(fact for fact in found if fact is not None)

    def forget(self, key: str) -> None:
        """Remove a key that the store has removed."""
        bucket = _find_bucket(key)
        self._digests[bucket] ^= self._buckets[bucket].pop(key, 0)

    def _find_differing(self, digests: bytes) -> list[int]:
        own_digests = self.encode()
        if len(digests) != len(own_digests):
            return list(range(_BUCKET_COUNT))
        return [
            bucket
            for bucket in range(_BUCKET_COUNT)
            if _slice_digest(digests, bucket)
            != _slice_digest(own_digests, bucket)
        ]

    def _list_facts(self, buckets: bytes) -> tuple[Fact, ...]:
        found = (
            self._facts.find(key)
            for bucket in buckets
            if bucket < _BUCKET_COUNT
            for key in self._buckets[bucket]
        )
        return tuple(fact for fact in found if fact is not None)

    def _is_wanted(self, key: str, rank: tuple[int, ...]) -> bool:
        own_fact = self._facts.find(key)
        if own_fact is None:
            return not _is_tombstone(key, rank)
        return own_fact.rank < rank

    def _update(self, fact: Fact) -> None:
        key = fact.key
        bucket = _find_bucket(key)
        digest = _compute_digest(fact)
        self._digests[bucket] ^= self._buckets[bucket].get(key, 0) ^ digest
        self._buckets[bucket][key] = digest


def _find_bucket(key: str) -> int:
    return xxhash.xxh3_64_intdigest(key.encode()) % _BUCKET_COUNT


def _compute_digest(fact: Fact) -> int:
    if isinstance(fact, MemberFact) and fact.status is MemberStatus.DEAD:
        return 0
    rank = ' '.join(str(int(part)) for part in fact.rank)
    return xxhash.xxh3_64_intdigest(f'{fact.key} {rank}'.encode())


def _slice_digest(digests: bytes, bucket: int) -> bytes:
    start = bucket * _DIGEST_BYTES
    return digests[start : start + _DIGEST_BYTES]


def _is_tombstone(key: str, rank: tuple[int, ...]) -> bool:
    return key.startswith('member/') and rank[-1:] == (MemberStatus.DEAD,)


def _should_send(fact: Fact, peer_ranks: dict[str, tuple[int, ...]]) -> bool:
    rank = peer_ranks.get(fact.key)
    if rank is None:
        return not _is_tombstone(fact.key, fact.rank)
    return rank < fact.rank
