"""Checks on facts that other nodes send."""

import logging
from collections.abc import Iterable

import msgspec

from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.encoding import decode_facts
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.own_record import OwnRecord
from bluebellslip._internal.membership.times import MAX_MEMBERS
from bluebellslip._internal.models.facts import (
    Fact,
    MemberFact,
    MemberStatus,
    MoveFact,
    StopFact,
)

logger = logging.getLogger(__name__)


class FactReceiver:
    """Checks received facts and merges them into the store.

    Member facts about the node itself are refuted or ignored. Also ignored are
    the death of an unknown member, since there is no record to replace, and a
    stop fact of a move that a later move has superseded. Once ``MAX_MEMBERS``
    are known, facts about unknown members are refused and counted.

    Parameters
    ----------
    facts
        The store of facts.
    member_table
        The other members.
    own_record
        The node's own record.
    counters
        Where refusals are counted.
    """

    def __init__(
        self,
        facts: FactStore,
        member_table: MemberTable,
        own_record: OwnRecord,
        counters: Counters,
    ) -> None:
        self._facts = facts
        self._member_table = member_table
        self._own_record = own_record
        self._counters = counters

    def receive(self, encoded: Iterable[msgspec.Raw]) -> int:
        """Decode, check and merge facts; return how many were new."""
        facts = decode_facts(encoded, self._counters)
        # One at a time, since admission depends on the facts merged before.
        merged = sum(
            len(self._facts.merge((fact,)))
            for fact in facts
            if self._admit(fact)
        )
        self._counters.add('facts_received', len(facts))
        self._counters.add('facts_news', merged)
        return merged

    def _admit(self, fact: Fact) -> bool:
        if isinstance(fact, StopFact):
            return not self._is_superseded(fact)
        if not isinstance(fact, MemberFact):
            return True
        if fact.node == self._own_record.fact.node:
            self._refute_own(fact)
            return False
        if self._member_table.find(fact.node) is not None:
            return True
        return self._admit_new(fact)

    def _is_superseded(self, fact: StopFact) -> bool:
        move = self._facts.find(f'move/{fact.service}')
        if not isinstance(move, MoveFact) or move.move == fact.move:
            return False
        return move.started > fact.set_at

    def _admit_new(self, fact: MemberFact) -> bool:
        if fact.status is MemberStatus.DEAD:
            return False
        if len(self._member_table) >= MAX_MEMBERS:
            self._counters.add('facts_refused', reason='members')
            return False
        return True

    def _refute_own(self, fact: MemberFact) -> None:
        if not self._own_record.refute(fact):
            return
        self._counters.add('refutations')
        if fact.peer != self._own_record.fact.peer:
            self._counters.add('name_conflicts')
            logger.warning(
                'another address uses the name of this node',
                extra={'found': str(fact.peer)},
            )
