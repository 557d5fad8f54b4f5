"""Selection of the members to probe."""

from random import Random
from typing import Final

from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.models.facts import MemberFact, MemberStatus

_REMOTE_PROBE_EVERY: Final = 8  # every eighth probe goes to another region
_DEAD_PROBE_EVERY: Final = 5  # every fifth probe goes to a dead member


class ProbeSchedule:
    """Chooses probe targets, mostly from the node's own region.

    A few targets are random live members of other regions, and a few are
    random dead members.

    The live members of the node's own region are probed in rounds: each
    member once per round, in a new random order. Dead members are probed so
    that two parts of a partitioned mesh find each other again.

    Parameters
    ----------
    member_table
        The members.
    region
        The node's own region.
    random
        Source of randomness.
    """

    def __init__(
        self, member_table: MemberTable, region: str, random: Random
    ) -> None:
        self._member_table = member_table
        self._region = region
        self._random = random
        self._round_targets: list[MemberFact] = []
        self._probe_count = 0

    def pick_next(self) -> MemberFact | None:
        """Return the next target, or None if there is no candidate."""
        self._probe_count += 1
        if self._probe_count % _REMOTE_PROBE_EVERY == 0:
            return (
                self._pick(self._member_table.in_other_regions())
                or self._pick_local()
            )
        if self._probe_count % _DEAD_PROBE_EVERY == 0:
            return self._pick(self._member_table.dead) or self._pick_local()
        return self._pick_local() or self._pick(self._member_table.all_live())

    def pick_forwarders(
        self, target: MemberFact, count: int
    ) -> tuple[MemberFact, ...]:
        """Return up to ``count`` random members to probe the target through."""
        candidates = [
            member
            for member in self._member_table.in_region(self._region)
            if member.node != target.node
        ]
        return tuple(
            self._random.sample(candidates, min(count, len(candidates)))
        )

    def _pick(self, candidates: tuple[MemberFact, ...]) -> MemberFact | None:
        return self._random.choice(candidates) if candidates else None

    def _pick_local(self) -> MemberFact | None:
        if not self._round_targets:
            self._round_targets = list(
                self._member_table.in_region(self._region)
            )
            self._random.shuffle(self._round_targets)
        while self._round_targets:
            member = self._member_table.find(self._round_targets.pop().node)
            if member and member.status is not MemberStatus.DEAD:
                return member
        return None
