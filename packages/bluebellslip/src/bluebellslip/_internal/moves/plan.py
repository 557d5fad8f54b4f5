"""The schedule of a move: when the new version gets which share of calls."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from bluebellslip._internal.models.config import Preference

MIN_DWELL: Final = dt.timedelta(seconds=3)
MIN_DWELL_FRACTION: Final = 0.02  # of the time from start to deadline
EARLY_START_CALLS: Final = 1000  # of the new version in the stage before


@dataclasses.dataclass(frozen=True, slots=True)
class ShareStage:
    """A share in basis points, and when it may begin.

    ``begin`` and ``begin_after_few_calls`` are fractions of the time from
    start to deadline. The stage may begin at ``begin`` if the new version ran
    at least ``EARLY_START_CALLS`` in the stage before, and otherwise at
    ``begin_after_few_calls``.
    """

    share: int
    begin: float
    begin_after_few_calls: float


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyRules:
    """Parameters of the policy for one preference of a mesh.

    Parameters
    ----------
    stages
        Stages in the order of their starts.
    finish_fraction
        Fraction of the time from start to deadline after which the move may
        be done.
    alpha
        Accepted probability of withdrawing a good version.
    clear_threshold
        Greatest evidence, as a likelihood ratio, at which the share increases
        as planned.
    doubt_threshold
        Greatest evidence at which the share increases when time is short, if
        ``waits_past_deadline``; also the least evidence that prolongs the
        comparison of a return.
    min_stage_calls
        Number of the new version's calls in a stage before the next stage
        begins.
    waits_past_deadline
        Whether too few calls, or doubt, may delay a move past its deadline.
    """

    stages: tuple[ShareStage, ...]
    finish_fraction: float
    alpha: float
    clear_threshold: float
    doubt_threshold: float
    min_stage_calls: int
    waits_past_deadline: bool


POLICY_RULES: Final[Mapping[Preference, PolicyRules]] = MappingProxyType({
    Preference.SAFETY: PolicyRules(
        stages=(
            ShareStage(150, 0, 0),
            ShareStage(450, 0.04, 0.04),
            ShareStage(1000, 0.3, 0.5),
            ShareStage(2500, 0.36, 0.54),
            ShareStage(4000, 0.42, 0.58),
            ShareStage(7000, 0.6, 0.7),
            ShareStage(8500, 0.7, 0.76),
        ),
        finish_fraction=0.86,
        alpha=0.03,
        clear_threshold=1,
        doubt_threshold=5,
        min_stage_calls=10,
        waits_past_deadline=True,
    ),
    Preference.DEADLINE: PolicyRules(
        stages=(
            ShareStage(150, 0, 0),
            ShareStage(450, 0.04, 0.04),
            ShareStage(1000, 0.3, 0.48),
            ShareStage(2500, 0.36, 0.52),
            ShareStage(4000, 0.4, 0.56),
            ShareStage(7000, 0.56, 0.66),
            ShareStage(8500, 0.65, 0.71),
        ),
        finish_fraction=0.8,
        alpha=0.008,
        clear_threshold=1.5,
        doubt_threshold=4,
        min_stage_calls=0,
        waits_past_deadline=False,
    ),
})


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The schedule of one move."""

    rules: PolicyRules
    started: dt.datetime
    deadline: dt.datetime

    @property
    def duration(self) -> dt.timedelta:
        """Time from the start to the deadline."""
        return self.deadline - self.started

    @property
    def dwell(self) -> dt.timedelta:
        """Minimum time between two increases of the share."""
        return max(MIN_DWELL, MIN_DWELL_FRACTION * self.duration)

    @property
    def finish(self) -> dt.datetime:
        """Earliest time at which the move may be done."""
        return self.started + self.rules.finish_fraction * self.duration

    @property
    def first_share(self) -> int:
        """Share of the first stage, in basis points."""
        return self.rules.stages[0].share

    @property
    def last_share(self) -> int:
        """Share of the last stage, in basis points."""
        return self.rules.stages[-1].share

    def find_start(self, stage: ShareStage, calls: int) -> dt.datetime:
        """Return when a stage may begin.

        ``calls`` is the number of calls of the new version in the stage
        before.
        """
        fraction = (
            stage.begin
            if calls >= EARLY_START_CALLS
            else stage.begin_after_few_calls
        )
        return self.started + fraction * self.duration

    def find_latest_step(self, share: int) -> dt.datetime:
        """Return the latest time that leaves a dwell for each remaining step.

        The steps are the increases from the given share, and the finish.
        """
        steps = sum(stage.share > share for stage in self.rules.stages) + 1
        return self.finish - steps * self.dwell

    def next_stage(self, share: int) -> ShareStage | None:
        """Return the first stage with more than the given share."""
        for stage in self.rules.stages:
            if stage.share > share:
                return stage
        return None

    def forecast(self, share: int, now: dt.datetime) -> dt.datetime:
        """Return when the move is done if nothing delays it from now on."""
        remaining = sum(stage.share > share for stage in self.rules.stages)
        return max(self.finish, now + remaining * self.dwell)
