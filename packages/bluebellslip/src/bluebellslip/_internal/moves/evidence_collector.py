"""Evidence on a service's move, collected by one of the service's nodes."""

import datetime as dt
from collections.abc import Iterable
from typing import Final

from bluebellslip._internal.models.config import Preference
from bluebellslip._internal.models.facts import FULL_SHARE, MoveFact
from bluebellslip._internal.models.identity import MoveId, VersionName
from bluebellslip._internal.models.move_rows import MoveRow
from bluebellslip._internal.moves.assessment import Assessment
from bluebellslip._internal.moves.change_detection import ChangeDetector
from bluebellslip._internal.moves.outcome_counts import (
    OutcomeCounts,
    sum_counts,
)
from bluebellslip._internal.moves.plan import POLICY_RULES, Plan
from bluebellslip._internal.moves.policy import PolicyView
from bluebellslip._internal.moves.windows import WINDOW, Window

LOAD_SMOOTHING_FACTOR: Final = 0.1  # weight of the newest window


class MoveEvidenceCollector:
    """Collects evidence on one move; counts calls since its last share change.

    The evidence is against the suspected version: the new version of a move,
    but the old version of a return.

    Parameters
    ----------
    move
        The first known fact or row of the move.
    assessment
        Evidence of an earlier move to add to; None for no earlier evidence.
    change_detector
        Change detector of an earlier move; None for a new one.
    """

    def __init__(
        self,
        move: MoveFact | MoveRow,
        assessment: Assessment | None = None,
        change_detector: ChangeDetector | None = None,
    ) -> None:
        self.move = move.move
        self._returns = move.returns
        self.assessment = assessment or Assessment()
        self._control = move.old
        self._suspect = move.new
        if move.returns is not None:
            self._control = move.new
            self._suspect = move.old
        self._change_detector = change_detector or ChangeDetector()
        self._share = move.share
        self._calls_at_last_step = self.assessment.new_calls
        self._busy_slots: float = 0

    @classmethod
    def from_earlier(
        cls, move: MoveFact | MoveRow, earlier: 'MoveEvidenceCollector | None'
    ) -> 'MoveEvidenceCollector':
        """Return a collector for a move; a return keeps earlier evidence."""
        if earlier is None or move.returns not in {
            earlier.move,
            earlier.returns,
        }:
            return cls(move)
        earlier.change_detector.reset()
        earlier.assessment.close_strata()
        return cls(move, earlier.assessment, earlier.change_detector)

    @property
    def returns(self) -> MoveId | None:
        """The finished move that this one returns from, if any."""
        return self._returns

    @property
    def change_detector(self) -> ChangeDetector:
        """Detector of changes in the suspected version's behaviour."""
        return self._change_detector

    @property
    def has_regressed(self) -> bool:
        """Whether the suspected version has a regression.

        The reference is its behaviour while both versions got calls, before
        any return.
        """
        return self._change_detector.is_alarmed

    @property
    def busy_slots(self) -> float:
        """Slots that the service's calls keep busy, as a moving average."""
        return self._busy_slots

    @property
    def stage_calls(self) -> int:
        """Calls of the suspected version since the share last changed."""
        return self.assessment.new_calls - self._calls_at_last_step

    def update_share(self, share: int) -> None:
        """Set the share in basis points; a change begins new strata."""
        if share == self._share:
            return
        self._share = share
        self._change_detector.reset()
        self._calls_at_last_step = self.assessment.new_calls
        self.assessment.close_strata()

    def observe(self, windows: Iterable[dict[VersionName, Window]]) -> None:
        """Add complete windows in their order."""
        for window in windows:
            old = window.get(self._control, {})
            new = window.get(self._suspect, {})
            self.assessment.observe(old, new)
            self._update_change_detector(new)
            self._update_load([*old.values(), *new.values()])

    def view(
        self,
        row: MoveRow,
        preference: Preference,
        now: dt.datetime,
        servers: tuple[int, int],
    ) -> PolicyView:
        """Return the input of the policy.

        Parameters
        ----------
        row
            The move's newest row.
        preference
            Whether safety or the deadline takes precedence.
        now
            The wall-clock time.
        servers
            Number of live servers of the new version, and the greatest share
            in basis points that they can handle.
        """
        return PolicyView(
            plan=Plan(POLICY_RULES[preference], row.started, row.deadline),
            now=now,
            share=row.share,
            stepped=row.stepped,
            finding=self.assessment.finding,
            stage_calls=self.stage_calls,
            new_servers=servers[0],
            capacity_share=servers[1],
            returning=row.returns is not None,
        )

    def _update_change_detector(self, suspect: Window) -> None:
        control_share = (
            self._share if self._returns else FULL_SHARE - self._share
        )
        if not control_share:
            self._change_detector.observe(suspect, is_reference=False)
        elif self._returns is None:
            self._change_detector.observe(suspect, is_reference=True)

    def _update_load(self, counts: Iterable[OutcomeCounts]) -> None:
        seconds = sum_counts(counts).total_seconds()
        busy = seconds / WINDOW.total_seconds()
        self._busy_slots += LOAD_SMOOTHING_FACTOR * (busy - self._busy_slots)
