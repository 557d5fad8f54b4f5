"""The state machine of spreading: notices out, notices in."""

import logging
from random import Random
from typing import Final

from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import Notice
from bluebellslip._internal.distribution.puller import Puller
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

_FANOUT: Final = 8  # members that hear of a new revision from each node
_DELTA_BYTES: Final = 1200  # longest delta that goes by datagram


class Spreader:
    """Tells others of what came into force, and listens to them.

    Parameters
    ----------
    own
        The node itself.
    holder
        The configuration in force.
    puller
        Keeper of who has something newer.
    facts
        Store that the newest head is entered into.
    roster
        The members.
    random
        Source of randomness.
    counters
        Where events are counted.
    """

    def __init__(
        self,
        own: NodeId,
        holder: ConfigHolder,
        puller: Puller,
        facts: FactStore,
        roster: MemberTable,
        random: Random,
        counters: Counters,
    ) -> None:
        self.outbox = Outbox()
        self._own = own
        self._holder = holder
        self._puller = puller
        self._facts = facts
        self._roster = roster
        self._random = random
        self._counters = counters
        self._settled = False
        self._told = 0
        self._refused = ''

    @property
    def settled(self) -> bool:
        """Whether the least revision that may be served from is known."""
        return self._settled

    def settle(self) -> None:
        """Allow what others tell to be applied."""
        self._settled = True

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check, apply and spread a body.

        Raises
        ------
        InvalidConfigError
            When the body is refused; nothing of it is applied.
        """
        snapshot = self._take_body(body, digest)
        self.spread()
        return snapshot

    def on_notice(self, notice: Notice, sender: Address) -> None:
        """Learn of a newer revision, and apply it if its delta fits."""
        self._puller.note(notice.revision, sender)
        if not self._settled or notice.revision <= self._holder.revision:
            return
        if notice.delta is not None:
            self.take_deltas((notice.delta,))

    def take_deltas(self, deltas: tuple[bytes, ...]) -> bool:
        """Apply deltas in their order; false where one does not fit."""
        try:
            for delta in deltas:
                self._holder.take_delta(delta)
        except InvalidConfigError:
            self._counters.add('deltas_refused')
            return False
        finally:
            self.spread()
        return True

    def spread(self) -> None:
        """Tell a few members of what came into force, once."""
        revision = self._holder.revision
        if revision <= self._told:
            return
        self._told = revision
        self._facts.merge((HeadFact(revision, self._holder.digest),))
        delta = self._holder.newest_delta
        if delta is not None and len(delta) > _DELTA_BYTES:
            delta = None
        notice = Notice(self._own, revision, self._holder.digest, delta)
        for member in pick_members(self._roster, _FANOUT, self._random):
            self.outbox.post(member.peer, notice)
        self._counters.add('spreads')

    def _take_body(self, body: bytes, digest: str) -> Snapshot:
        try:
            return self._holder.take_body(body, digest)
        except InvalidConfigError as error:
            self._counters.add('configs_refused')
            if digest != self._refused:
                self._refused = digest
                logger.warning('configuration refused: %s', error)
            raise
