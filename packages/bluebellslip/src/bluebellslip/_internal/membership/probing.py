"""Whom to probe next."""

from random import Random
from typing import Final

from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.models.facts import MemberFact, MemberStatus

_FAR_EVERY: Final = 8  # one probe of so many leaves the region
_DEAD_EVERY: Final = 5  # one probe of so many looks for a return


class ProbeSchedule:
    """Targets: the own region in rounds, few others at random.

    Every round takes the region's members in a new random order, so each is
    probed once a round. Dead members are probed now and then, so that two
    parts of a mesh that lost each other meet again.

    Parameters
    ----------
    roster
        The members.
    region
        The node's own region.
    random
        Source of randomness.
    """

    def __init__(self, roster: Roster, region: str, random: Random) -> None:
        self._roster = roster
        self._region = region
        self._random = random
        self._round: list[MemberFact] = []
        self._count = 0

    def pick_next(self) -> MemberFact | None:
        """Return the next target, if there is any member."""
        self._count += 1
        if self._count % _FAR_EVERY == 0:
            return self._pick(self._roster.elsewhere()) or self._pick_near()
        if self._count % _DEAD_EVERY == 0:
            return self._pick(self._roster.dead) or self._pick_near()
        return self._pick_near() or self._pick(self._roster.everyone())

    def pick_helpers(
        self, target: MemberFact, count: int
    ) -> tuple[MemberFact, ...]:
        """Return members through which a target may be probed."""
        pool = [
            member
            for member in self._roster.in_region(self._region)
            if member.node != target.node
        ]
        return tuple(self._random.sample(pool, min(count, len(pool))))

    def _pick(self, pool: tuple[MemberFact, ...]) -> MemberFact | None:
        return self._random.choice(pool) if pool else None

    def _pick_near(self) -> MemberFact | None:
        if not self._round:
            self._round = list(self._roster.in_region(self._region))
            self._random.shuffle(self._round)
        while self._round:
            member = self._roster.find(self._round.pop().node)
            if member and member.status is not MemberStatus.DEAD:
                return member
        return None
