"""Applies configurations, and queues and handles notices of them."""

import logging
from random import Random
from typing import Final

from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import Notice
from bluebellslip._internal.distribution.pull_sources import PullSources
from bluebellslip._internal.exceptions import InvalidConfigError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.facts import FactStore
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.outbox import Outbox
from bluebellslip._internal.membership.selection import pick_members
from bluebellslip._internal.models.facts import HeadFact
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.snapshot import Snapshot

logger = logging.getLogger(__name__)

_NOTICE_FANOUT: Final = 8  # members that each node notifies of a new revision
_MAX_DATAGRAM_DELTA_BYTES: Final = 1200  # longer ones must be pulled


class ConfigPublisher:
    """Applies configurations, and queues notices of them to other members.

    The notices stay in ``outbox`` until the caller sends them.

    Parameters
    ----------
    node
        This node.
    holder
        The applied configuration.
    pull_sources
        Peers that may have a newer revision.
    facts
        Store that the newest applied revision and digest are added to.
    member_table
        The members.
    random
        Source of randomness.
    counters
        Counters of events.
    """

    def __init__(
        self,
        node: NodeId,
        holder: ConfigHolder,
        pull_sources: PullSources,
        facts: FactStore,
        member_table: MemberTable,
        random: Random,
        counters: Counters,
    ) -> None:
        self.outbox = Outbox()
        self._node = node
        self._holder = holder
        self._pull_sources = pull_sources
        self._facts = facts
        self._member_table = member_table
        self._random = random
        self._counters = counters
        self._is_floor_known = False
        self._published_revision = 0
        self._last_refused_digest = ''

    @property
    def is_floor_known(self) -> bool:
        """Whether the lowest revision that may be served from is known."""
        return self._is_floor_known

    def mark_floor_known(self) -> None:
        """Allow deltas in notices to be applied, and pulls to be started."""
        self._is_floor_known = True

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check a body, apply it and queue notices to other members.

        Raises
        ------
        InvalidConfigError
            When the body cannot be applied; see ``ConfigHolder.apply_body``.
        """
        snapshot = self._apply_body(body, digest)
        self.publish()
        return snapshot

    def on_notice(self, notice: Notice, sender: Address) -> None:
        """Record the revision of a notice, and try to apply its delta."""
        self._pull_sources.record_revision(notice.revision, sender)
        if not self._is_floor_known or notice.revision <= self._holder.revision:
            return
        if notice.delta is not None:
            self.apply_deltas((notice.delta,))

    def apply_deltas(self, deltas: tuple[bytes, ...]) -> bool:
        """Apply deltas in order; return False if one cannot be applied."""
        try:
            for delta in deltas:
                self._holder.apply_encoded_delta(delta)
        except InvalidConfigError:
            self._counters.add('deltas_refused')
            return False
        finally:
            self.publish()
        return True

    def publish(self) -> None:
        """Queue notices of a newly applied revision to a few members, once."""
        revision = self._holder.revision
        if revision <= self._published_revision:
            return
        self._published_revision = revision
        self._facts.merge((HeadFact(revision, self._holder.digest),))
        delta = self._holder.newest_delta
        if delta is not None and len(delta) > _MAX_DATAGRAM_DELTA_BYTES:
            delta = None
        notice = Notice(self._node, revision, self._holder.digest, delta)
        for member in pick_members(
            self._member_table, _NOTICE_FANOUT, self._random
        ):
            self.outbox.post(member.peer, notice)
        self._counters.add('spreads')

    def _apply_body(self, body: bytes, digest: str) -> Snapshot:
        try:
            return self._holder.apply_body(body, digest)
        except InvalidConfigError as error:
            self._counters.add('configs_refused')
            if digest != self._last_refused_digest:
                self._last_refused_digest = digest
                logger.warning('configuration refused: %s', error)
            raise
