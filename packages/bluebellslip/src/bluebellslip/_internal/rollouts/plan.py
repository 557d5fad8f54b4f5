"""Schedule of a roll-out: the target version's traffic share and completion.

Until the target version has proved good, it gets so small a share that few
requests reach it in total. The share then rises in steps; a fault that appears
only under load shows in one of them and leads to a rollback.
Every node computes the share itself, from the order's age and the outcomes
reported by all nodes, without coordination.
"""

import dataclasses
import datetime as dt
import enum
from typing import Final

# Fractions of the roll-out's duration. After COMPLETE_AT, a fifth of the
# duration is left in case the store is slow or briefly unreachable.
RAMP_START: Final = 0.4
RAMP_END: Final = 0.68
COMPLETE_AT: Final = 0.78
DECISION_DEADLINE: Final = 0.95
# Time that is left at the decision about a version with few calls. Each call
# counts there, and a write and the wait for the next check take less.
LATE_DECISION_RESERVE: Final = dt.timedelta(milliseconds=500)
# Fraction from which the target version gets all requests although it has
# handled few, so that the other versions begin to run dry before the decision
# deadline. With the first share until then, it gets no more than the canary
# share of all requests.
LATE_HAND_OVER_AT: Final = 0.945
# Longest wait, as a fraction, for the last requests at servers of the other
# versions. A completion that is late costs more than a request that is cut.
HAND_OVER_LIMIT: Final = 0.1
# Time after which a load report shows that the other nodes, too, send all
# requests to the target version: they update their shares at this interval.
HAND_OVER_DELAY: Final = dt.timedelta(milliseconds=250)
# Fraction of the canary share that the target version gets before the ramp. The
# rest allows for the requests that a bad version gets in the ramp until it is
# detected.
INITIAL_CANARY_FRACTION: Final = 0.4
RAMP_SHARES: Final = (0.1, 0.2, 0.4, 0.7)
# Calls to the target version that are needed before the ramp. A version that
# fails half of its requests is detected well before that.
MIN_TARGET_CALLS: Final = 25
# Calls to the target version that a service with little traffic is to have made
# before the ramp. At such a service they exceed the canary share, and use the
# requests that are allowed beside it.
TRIAL_CALLS: Final = 40
# Part of the requests allowed beside the canary share that a trial may use. The
# rest is for those under way when it ends.
TRIAL_SLACK_FRACTION: Final = 0.8
# Largest share in a trial, so that the versions can be compared at any moment.
# Late in a roll-out, what the other versions did before has to suffice.
MAX_COMPARED_SHARE: Final = 0.5
_MIN_TRIAL_TIME: Final = dt.timedelta(milliseconds=250)


@enum.unique
class RolloutAction(enum.StrEnum):
    """Next action of a roll-out."""

    HOLD = 'hold'
    COMPLETE = 'complete'
    ROLL_BACK = 'roll-back'


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutSnapshot:
    """Data on which decisions about a roll-out are based.

    Parameters
    ----------
    age
        Time since the order.
    duration
        Time within which the roll-out is to be completed, counted from the
        order.
    canary_share
        Maximum share of the service's requests that may reach a version that
        is not known to be good.
    target_calls
        Calls handled by the target version so far.
    target_servers
        Servers of the target version that accept requests.
    busy_servers
        Servers of the other versions with running or waiting requests, or
        without a load report since the target version gets all requests.
    handed_over_for
        Time for which the target version has got all requests; none if it
        does not.
    is_bad
        Whether the target version was found bad.
    canary_slack
        Requests that may reach the target version beside its canary share.
    calls_per_second
        Calls to all versions of the service; 0 if unknown.
    has_baseline
        Whether the other versions have handled enough calls for a comparison.
    is_suspect
        Whether the target version is more likely bad than good by its few
        calls.
    """

    age: dt.timedelta
    duration: dt.timedelta
    canary_share: float
    target_calls: int
    target_servers: int
    busy_servers: int
    handed_over_for: dt.timedelta | None
    is_bad: bool
    canary_slack: float = 0
    calls_per_second: float = 0
    has_baseline: bool = True
    is_suspect: bool = False

    @property
    def elapsed_fraction(self) -> float:
        """Fraction of the duration that has elapsed."""
        return self._as_fraction(self.age)

    @property
    def is_handed_over(self) -> bool:
        """Whether the other versions have ended their requests, or had time.

        Their servers are stopped when the roll-out is completed.
        """
        handed_over_for = self.handed_over_for
        if handed_over_for is None:
            return False
        handed_over_at = self._as_fraction(self.age - handed_over_for)
        waited_since = max(COMPLETE_AT, handed_over_at)
        return (
            not self.busy_servers
            or self.elapsed_fraction >= waited_since + HAND_OVER_LIMIT
        )

    @property
    def is_quiet(self) -> bool:
        """Whether the service has little traffic.

        The canary share of a roll-out's calls is then less than what is allowed
        beside it. Otherwise the ramp needs both.
        """
        calls = self.calls_per_second * self.duration.total_seconds()
        return calls * self.canary_share < self.canary_slack

    @property
    def is_decision_due(self) -> bool:
        """Whether the roll-out has to be decided by what is known."""
        deadline = DECISION_DEADLINE
        has_trial = self.target_servers > 0 and self.calls_per_second > 0
        if has_trial and self.target_calls < MIN_TARGET_CALLS:
            reserve = self._as_fraction(LATE_DECISION_RESERVE)
            deadline = max(deadline, 1 - reserve)
        return self.elapsed_fraction >= deadline

    def _as_fraction(self, time: dt.timedelta) -> float:
        return time / max(self.duration, dt.timedelta(milliseconds=1))


def compute_share(snapshot: RolloutSnapshot) -> float:
    """Return the share of requests to send to the target version."""
    if snapshot.is_bad or not snapshot.target_servers:
        return 0
    if snapshot.is_suspect:
        return _compute_trial_share(snapshot)
    if snapshot.elapsed_fraction >= LATE_HAND_OVER_AT:
        return 1
    if (
        snapshot.elapsed_fraction < RAMP_START
        or snapshot.target_calls < MIN_TARGET_CALLS
    ):
        return _compute_trial_share(snapshot)
    if snapshot.elapsed_fraction >= RAMP_END:
        return 1
    ramp_position = (snapshot.elapsed_fraction - RAMP_START) / (
        RAMP_END - RAMP_START
    )
    return RAMP_SHARES[int(ramp_position * len(RAMP_SHARES))]


def _compute_trial_share(snapshot: RolloutSnapshot) -> float:
    """Return the share of a version that has not proved good yet.

    At a service with little traffic, a fixed share is too few calls to tell a
    bad version. The share is then such that the calls of a trial are made
    before the next step.
    """
    initial_share = snapshot.canary_share * INITIAL_CANARY_FRACTION
    trial_calls = min(TRIAL_CALLS, snapshot.canary_slack * TRIAL_SLACK_FRACTION)
    missing = trial_calls - snapshot.target_calls
    elapsed = snapshot.elapsed_fraction
    has_room = snapshot.is_quiet or elapsed >= RAMP_END
    if missing <= 0 or not snapshot.calls_per_second or not has_room:
        return initial_share
    end = RAMP_START if elapsed < RAMP_START else LATE_HAND_OVER_AT
    time_left = max((end - elapsed) * snapshot.duration, _MIN_TRIAL_TIME)
    calls_left = snapshot.calls_per_second * time_left.total_seconds()
    is_late = elapsed >= RAMP_END and snapshot.has_baseline
    limit = 1 if is_late else MAX_COMPARED_SHARE
    return max(initial_share, min(limit, missing / calls_left))


def decide(snapshot: RolloutSnapshot) -> RolloutAction:
    """Return the next action of a roll-out.

    After the decision deadline, a roll-out whose target version was not found
    bad is completed if that version has servers, even if it has handled few
    calls, and rolled back if it has none or is suspect: a version that was
    completed can't be taken back, since the servers of the others stop.
    """
    if snapshot.is_bad:
        return RolloutAction.ROLL_BACK
    if snapshot.is_decision_due:
        return (
            RolloutAction.COMPLETE
            if snapshot.target_servers and not snapshot.is_suspect
            else RolloutAction.ROLL_BACK
        )
    if snapshot.target_calls < MIN_TARGET_CALLS or snapshot.is_suspect:
        return RolloutAction.HOLD
    may_complete = (
        snapshot.target_servers > 0
        and snapshot.elapsed_fraction >= COMPLETE_AT
        and snapshot.is_handed_over
    )
    return RolloutAction.COMPLETE if may_complete else RolloutAction.HOLD
