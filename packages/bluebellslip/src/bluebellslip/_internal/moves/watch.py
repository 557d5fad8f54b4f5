"""What one node of a service's group knows of the service's move."""

import datetime as dt
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.models.config import Preference
from bluebellslip._internal.models.identity import MoveId, VersionName
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.moves.assessment import Assessment
from bluebellslip._internal.moves.plan import RULES, Plan
from bluebellslip._internal.moves.policy import MoveView
from bluebellslip._internal.moves.tallies import Tally, sum_tallies
from bluebellslip._internal.moves.windows import WINDOW, Window

SMOOTHING: Final = 0.1


class MoveWatch:
    """Evidence on one move, and the calls since its share last changed.

    Parameters
    ----------
    move
        Name of the move.
    old
        The version that calls leave.
    new
        The version that calls go to.
    share
        Basis points of calls that the new version gets.
    """

    def __init__(
        self, move: MoveId, old: VersionName, new: VersionName, share: int
    ) -> None:
        self.move = move
        self.old = old
        self.new = new
        self.assessment = Assessment()
        self._share = share
        self._calls_before = 0
        self._busy_slots: float = 0

    @property
    def busy_slots(self) -> float:
        """Slots that the service's calls keep busy, smoothed."""
        return self._busy_slots

    @property
    def stage_calls(self) -> int:
        """Calls of the new version since the share last changed."""
        return self.assessment.new_calls - self._calls_before

    def follow_share(self, share: int) -> None:
        """Take in the share that is in force."""
        if share == self._share:
            return
        self._share = share
        self._calls_before = self.assessment.new_calls
        self.assessment.close_strata()

    def observe(self, windows: Iterable[dict[VersionName, Window]]) -> None:
        """Take in settled windows in their order."""
        for window in windows:
            old = window.get(self.old, {})
            new = window.get(self.new, {})
            self.assessment.observe(old, new)
            self._follow_load([*old.values(), *new.values()])

    def view(
        self,
        row: MoveRow,
        preference: Preference,
        now: dt.datetime,
        servers: tuple[int, int],
    ) -> MoveView:
        """Return what the policy decides on.

        Parameters
        ----------
        row
            The move's newest row.
        preference
            What wins when safety and the deadline disagree.
        now
            The wall clock.
        servers
            Live servers of the new version, and the greatest share that
            they carry.
        """
        return MoveView(
            plan=Plan(RULES[preference], row.started, row.deadline),
            now=now,
            share=row.share,
            stepped=row.stepped,
            strongest=self.assessment.strongest,
            stage_calls=self.stage_calls,
            new_servers=servers[0],
            capacity_share=servers[1],
        )

    def _follow_load(self, tallies: Iterable[Tally]) -> None:
        seconds = sum_tallies(tallies).total_seconds()
        busy = seconds / WINDOW.total_seconds()
        self._busy_slots += SMOOTHING * (busy - self._busy_slots)
