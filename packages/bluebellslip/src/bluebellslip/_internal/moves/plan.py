"""The plan of a move: shares by time, worked back from the deadline."""

import dataclasses
import datetime as dt
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from bluebellslip._internal.models.config import Preference

LEAST_DWELL: Final = dt.timedelta(seconds=3)
LEAST_DWELL_PART: Final = 0.02  # of the time from start to deadline


@dataclasses.dataclass(frozen=True, slots=True)
class Stage:
    """A share in basis points and the part of the time when it may begin."""

    share: int
    begin: float


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What a mesh's preference sets.

    Parameters
    ----------
    stages
        Shares in the order of their beginnings.
    finish
        Part of the time from start to deadline when the move may be done.
    alpha
        Chance of taking a good version back that is put up with.
    doubt
        Evidence, as a factor, at which the share rises no further.
    enough_calls
        Calls of the new version in a stage before the next may begin.
    waits_for_calls
        Whether too few calls hold a move beyond its deadline.
    """

    stages: tuple[Stage, ...]
    finish: float
    alpha: float
    doubt: float
    enough_calls: int
    waits_for_calls: bool


RULES: Final[Mapping[Preference, Rules]] = MappingProxyType({
    Preference.SAFETY: Rules(
        stages=(
            Stage(400, 0),
            Stage(1000, 0.42),
            Stage(2500, 0.49),
            Stage(5000, 0.56),
            Stage(7000, 0.7),
            Stage(8500, 0.8),
        ),
        finish=0.93,
        alpha=0.01,
        doubt=20,
        enough_calls=25,
        waits_for_calls=True,
    ),
    Preference.DEADLINE: Rules(
        stages=(
            Stage(400, 0),
            Stage(1000, 0.34),
            Stage(2500, 0.4),
            Stage(5000, 0.46),
            Stage(7000, 0.58),
            Stage(8500, 0.67),
        ),
        finish=0.8,
        alpha=0.002,
        doubt=50,
        enough_calls=10,
        waits_for_calls=False,
    ),
})


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Times of a move's stages."""

    rules: Rules
    started: dt.datetime
    deadline: dt.datetime

    @property
    def duration(self) -> dt.timedelta:
        """Time from the start to the deadline."""
        return self.deadline - self.started

    @property
    def dwell(self) -> dt.timedelta:
        """Least time between two rises of the share."""
        return max(LEAST_DWELL, LEAST_DWELL_PART * self.duration)

    @property
    def finish(self) -> dt.datetime:
        """When the move may be done."""
        return self.started + self.rules.finish * self.duration

    @property
    def first_share(self) -> int:
        """Share of the first stage."""
        return self.rules.stages[0].share

    @property
    def last_share(self) -> int:
        """Share of the last stage."""
        return self.rules.stages[-1].share

    def begin_of(self, stage: Stage) -> dt.datetime:
        """Return when a stage may begin."""
        return self.started + stage.begin * self.duration

    def next_stage(self, share: int) -> Stage | None:
        """Return the first stage with more than the given share."""
        for stage in self.rules.stages:
            if stage.share > share:
                return stage
        return None

    def forecast(self, share: int, now: dt.datetime) -> dt.datetime:
        """Return when the move is done if nothing holds it from now on."""
        remaining = sum(stage.share > share for stage in self.rules.stages)
        return max(self.finish, now + remaining * self.dwell)
