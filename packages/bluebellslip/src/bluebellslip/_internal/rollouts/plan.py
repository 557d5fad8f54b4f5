"""How much of a service's traffic a new version gets, and when it is done.

Before a version has proved good, its share stays so small that all requests
that it gets until the end are few. Then the share rises in steps, each of
which must go well: badness that shows only under load shows at one of them.
Every node works the share out by itself, from the order's age and from what
all have seen, so nobody has to be asked.
"""

import dataclasses
import datetime as dt
import enum
from typing import Final

# Parts of the time that was given. The end leaves a fifth of it for a store
# that is slow or away for a moment.
RAMP_START: Final = 0.4
RAMP_END: Final = 0.68
COMPLETE_AT: Final = 0.78
DECISION_DEADLINE: Final = 0.95
# Share before the rise, as a part of what may reach a version that is not
# known to be good. A quarter leaves the rest for the rise.
INITIAL_CANARY_FRACTION: Final = 0.4
RAMP_SHARES: Final = (0.1, 0.2, 0.4, 0.7)
# Answers of the new version that a rise needs; a version that fails half of
# its requests has shown it long before.
MIN_TARGET_CALLS: Final = 25


@enum.unique
class RolloutAction(enum.StrEnum):
    """What is to be done about a roll-out."""

    HOLD = 'hold'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll-back'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutSnapshot:
    """What is known of a roll-out.

    Parameters
    ----------
    age
        Time since the order.
    duration
        Time that it gives.
    first_share
        Share that may reach a version that is not known to be good.
    calls
        Answers of the new version so far.
    targets
        Its servers that take work.
    others
        Servers of the other versions that take work.
    is_bad
        Whether it was found bad.
    """

    age: dt.timedelta
    duration: dt.timedelta
    canary_share: float
    target_calls: int
    target_servers: int
    other_servers: int
    is_bad: bool

    @property
    def elapsed_fraction(self) -> float:
        """The part of the time that has passed."""
        return self.age / max(self.duration, dt.timedelta(milliseconds=1))


def compute_share(snapshot: RolloutSnapshot) -> float:
    """Return the share of the requests that the new version gets."""
    if snapshot.is_bad or not snapshot.target_servers:
        return 0
    initial_share = snapshot.canary_share * INITIAL_CANARY_FRACTION
    if (
        snapshot.elapsed_fraction < RAMP_START
        or snapshot.target_calls < MIN_TARGET_CALLS
    ):
        return initial_share
    if snapshot.elapsed_fraction >= RAMP_END:
        return 1
    ramp_position = (snapshot.elapsed_fraction - RAMP_START) / (
        RAMP_END - RAMP_START
    )
    return RAMP_SHARES[int(ramp_position * len(RAMP_SHARES))]


def decide(snapshot: RolloutSnapshot) -> RolloutAction:
    """Return what is to be done about a roll-out."""
    if snapshot.is_bad:
        return RolloutAction.ROLL_BACK
    if snapshot.elapsed_fraction >= DECISION_DEADLINE:
        return (
            RolloutAction.COMPLETE
            if snapshot.target_servers
            else RolloutAction.ROLL_BACK
        )
    if not snapshot.target_servers or snapshot.target_calls < MIN_TARGET_CALLS:
        return RolloutAction.HOLD
    return (
        RolloutAction.COMPLETE
        if snapshot.elapsed_fraction >= COMPLETE_AT
        else RolloutAction.HOLD
    )
