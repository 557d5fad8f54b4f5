"""One node's side of anti-entropy exchanges."""

from collections.abc import Callable, Sequence
from random import Random
from typing import Final

import msgspec

from bluebellslip._internal.membership.applied_revisions import AppliedRevisions
from bluebellslip._internal.membership.encoding import encode_fact
from bluebellslip._internal.membership.fact_digests import FactDigests
from bluebellslip._internal.membership.fact_receiver import FactReceiver
from bluebellslip._internal.membership.messages import (
    SyncExchange,
    SyncFacts,
    SyncRequest,
    SyncSummary,
)
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.utils.buckets import TokenBucket

_LARGE_EXCHANGE_FACTS: Final = 64  # requests for more are rate-limited
_THROTTLED_EXCHANGE_FACTS: Final = 16  # facts sent to a throttled peer


class SyncProtocol:
    """Starts, continues and answers exchanges.

    Large responses are limited by a token bucket, so that many nodes that
    rejoin at the same time do not overload this one. A throttled peer gets
    the time to wait before a retry, and a few of the facts, from which it
    learns of other members to ask.

    Parameters
    ----------
    fact_digests
        Digests of the store.
    fact_receiver
        Checks and merges received facts.
    applied_revisions
        Revisions that other members have applied.
    rate_limiter
        Limits the rate of large responses.
    random
        Source of randomness.
    node
        The node itself.
    read_applied_revision
        Returns the configuration revision that this node has applied.
    """

    def __init__(
        self,
        fact_digests: FactDigests,
        fact_receiver: FactReceiver,
        applied_revisions: AppliedRevisions,
        rate_limiter: TokenBucket,
        random: Random,
        node: NodeId,
        read_applied_revision: Callable[[], int],
    ) -> None:
        self._fact_digests = fact_digests
        self._fact_receiver = fact_receiver
        self._applied_revisions = applied_revisions
        self._rate_limiter = rate_limiter
        self._random = random
        self._node = node
        self._read_applied_revision = read_applied_revision

    def make_request(self) -> SyncRequest:
        """Return the message that starts an exchange."""
        return self._fact_digests.make_request(
            self._node, self._read_applied_revision()
        )

    def handle_request(self, request: SyncRequest) -> SyncSummary:
        """Return a summary of the buckets in which the stores differ."""
        self._applied_revisions.record(request.sender, request.revision)
        return self._fact_digests.summarize(
            request,
            self._node,
            self._read_applied_revision(),
            self._applied_revisions.find(request.sender),
        )

    def handle_summary(self, summary: SyncSummary) -> SyncExchange | None:
        """Return the next message to the peer, or None if nothing differs."""
        self._applied_revisions.record(summary.sender, summary.revision)
        difference = self._fact_digests.compare(summary)
        if difference.empty:
            return None
        return self._fact_digests.make_exchange(self._node, difference)

    def handle_exchange(self, request: SyncExchange) -> SyncFacts:
        """Merge the received facts; return the requested ones, or a sample."""
        self._fact_receiver.receive(request.facts)
        if (
            len(request.wanted) > _LARGE_EXCHANGE_FACTS
            and not self._rate_limiter.take()
        ):
            sample = self._random.sample(
                request.wanted, _THROTTLED_EXCHANGE_FACTS
            )
            return SyncFacts(
                self._encode(sample), self._rate_limiter.compute_wait()
            )
        return SyncFacts(self._encode(request.wanted))

    def _encode(self, keys: Sequence[str]) -> tuple[msgspec.Raw, ...]:
        return tuple(
            encode_fact(fact) for fact in self._fact_digests.select(keys)
        )
