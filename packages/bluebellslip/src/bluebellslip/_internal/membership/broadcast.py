"""Sending of new facts to other members."""

from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.gossip import GossipQueue
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.messages import Gossip
from bluebellslip._internal.membership.outbox import Outbox
from bluebellslip._internal.membership.selection import pick_members
from bluebellslip._internal.membership.times import MAX_FACT_BYTES_PER_MESSAGE
from bluebellslip._internal.models.facts import (
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import NodeId
from bluebellslip._internal.utils.buckets import TokenBucket

GOSSIP_FANOUT: Final = 4  # members that each gossip message is sent to

_GOSSIP_BYTES_PER_SECOND: Final = 8192
_GOSSIP_BURST_BYTES: Final = 65536
# Tokens taken for all copies of one message, whatever its size.
_FLUSH_COST_BYTES: Final = GOSSIP_FANOUT * MAX_FACT_BYTES_PER_MESSAGE // 2


class Broadcaster:
    """Queues every new fact and sends urgent ones immediately.

    Immediate sends are rate-limited. Urgent facts above the limit stay in the
    queue, whose length is bounded.

    Parameters
    ----------
    facts
        The store whose new facts are sent.
    queue
        Facts to be sent.
    clock
        The node's clock.
    random
        Source of randomness.
    counters
        Where events are counted.
    """

    def __init__(
        self,
        facts: FactStore,
        queue: GossipQueue,
        clock: Clock,
        random: Random,
        counters: Counters,
    ) -> None:
        self._queue = queue
        self._random = random
        self._counters = counters
        self._budget = TokenBucket(
            clock, _GOSSIP_BYTES_PER_SECOND, _GOSSIP_BURST_BYTES
        )
        self._last_records: dict[NodeId, MemberFact] = {}
        facts.subscribe(Fact, self._enqueue)

    def flush(
        self,
        member_table: MemberTable,
        outbox: Outbox,
        sender: NodeId,
        revision: int,
    ) -> None:
        """Post urgent facts for a few members, within the rate limit."""
        while self._queue.has_urgent:
            members = pick_members(member_table, GOSSIP_FANOUT, self._random)
            if not members or not self._budget.take(_FLUSH_COST_BYTES):
                return
            facts = self._queue.take(len(members))
            size = sum(len(bytes(fact)) for fact in facts)
            self._counters.add('gossip_bytes', size * len(members))
            for member in members:
                outbox.post(member.peer, Gossip(sender, revision, facts))

    def forget(self, node: NodeId) -> None:
        """Drop the state kept for a member."""
        self._last_records.pop(node, None)

    def _enqueue(self, fact: Fact) -> None:
        urgent = fact.urgent
        if isinstance(fact, MemberFact):
            urgent = self._is_urgent(fact)
            self._last_records[fact.node] = fact
        self._queue.add(fact, urgent=urgent)

    def _is_urgent(self, fact: MemberFact) -> bool:
        if fact.status is MemberStatus.SUSPECT:
            return False
        previous = self._last_records.get(fact.node)
        if previous is None:
            return True
        return (previous.incarnation, previous.status, previous.backend) != (
            fact.incarnation,
            fact.status,
            fact.backend,
        )
