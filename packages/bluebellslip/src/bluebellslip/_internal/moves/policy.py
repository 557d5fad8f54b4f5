"""The decision on a move, as a pure function of its state."""

import dataclasses
import datetime as dt
import enum
import math
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.moves.assessment import Finding
from bluebellslip._internal.moves.plan import Plan, PolicyRules

# Maximum share, in basis points, while no server of the new version is alive,
# and thus the maximum share at first when servers come back.
NO_SERVER_SHARE: Final = 2500
_BASIS_POINTS_PER_PERCENT: Final = 100


@enum.unique
class Action(enum.Enum):
    """The coordinator's next action on a move."""

    HOLD = 'hold'
    STEP = 'step'
    FINISH = 'finish'
    WITHDRAW = 'withdraw'


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyView:
    """The state of a move, as input of the policy.

    ``share`` is in basis points. ``stage_calls`` counts the new version's
    calls since the share last changed, at ``stepped``. ``capacity_share`` is
    the greatest share, in basis points, that the new version's servers can
    handle. A ``returning`` move leads back from a version whose move is done
    but which is suspected to be bad; ``finding`` and ``stage_calls`` refer to
    that version, although it is the old version of the return.
    """

    plan: Plan
    now: dt.datetime
    share: int
    stepped: dt.datetime
    finding: Finding | None
    stage_calls: int
    new_servers: int
    capacity_share: int = FULL_SHARE
    returning: bool = False

    @property
    def log_evidence(self) -> float:
        """Natural logarithm of the evidence, 0 if there is none."""
        return 0 if self.finding is None else self.finding.log_evidence


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """An action and its reason.

    ``share`` is the share after the action, in basis points. ``forecast`` is
    when the move is expected to be done, if known.
    """

    action: Action
    share: int
    reason: str
    forecast: dt.datetime | None


def is_conclusive(finding: Finding | None, rules: PolicyRules) -> bool:
    """Return whether the evidence suffices to withdraw the new version."""
    if finding is None:
        return False
    return finding.log_evidence >= -math.log(rules.alpha)


def decide(view: PolicyView) -> Decision:
    """Return the next action on a move."""
    for check in _CHECKS:
        decision = check(view)
        if decision is not None:
            return decision
    return _advance(view)


def _withdraw(view: PolicyView) -> Decision | None:
    finding = view.finding
    if finding is not None and is_conclusive(finding, view.plan.rules):
        return Decision(Action.WITHDRAW, 0, finding.text, None)
    return None


def _await_servers(view: PolicyView) -> Decision | None:
    if view.new_servers:
        return None
    reason = 'No server of the new version is alive.'
    return _change_share(view, min(view.share, NO_SERVER_SHARE), reason)


def _fit_capacity(view: PolicyView) -> Decision | None:
    if view.share <= max(view.capacity_share, view.plan.first_share):
        return None
    reason = (
        f'The {view.new_servers} servers of the new version can handle no '
        f'more than {_format_percent(view.capacity_share)} of the calls.'
    )
    return _change_share(view, view.capacity_share, reason)


def _hold_on_doubt(view: PolicyView) -> Decision | None:
    rules = view.plan.rules
    late = view.now >= view.plan.find_latest_step(view.share)
    if view.finding is None or (late and not rules.waits_past_deadline):
        return None
    limit = rules.doubt_threshold if late else rules.clear_threshold
    if view.log_evidence <= math.log(limit):
        return None
    return _hold(view, f'{view.finding.text} The evidence is still weak.')


def _await_stage(view: PolicyView) -> Decision | None:
    stage = view.plan.next_stage(view.share)
    begin = view.plan.finish
    if stage is not None:
        begin = view.plan.find_start(stage, view.stage_calls)
    if view.share:
        begin = max(begin, view.stepped + view.plan.dwell)
    if view.now >= begin:
        return None
    share = FULL_SHARE if stage is None else stage.share
    return _hold(
        view, f'The plan continues with {_format_percent(share)} at {begin:%X}.'
    )


def _await_calls(view: PolicyView) -> Decision | None:
    rules = view.plan.rules
    if not view.share or not rules.waits_past_deadline:
        return None
    if view.stage_calls >= rules.min_stage_calls:
        return None
    return _hold(
        view,
        f'Too few calls for a decision: {view.stage_calls} of '
        f'{rules.min_stage_calls} at this share.',
    )


def _await_capacity(view: PolicyView) -> Decision | None:
    stage = view.plan.next_stage(view.share)
    share = FULL_SHARE if stage is None else stage.share
    if share <= max(view.capacity_share, view.plan.first_share):
        return None
    return _hold(
        view,
        f'The {view.new_servers} servers of the new version could not handle '
        f'{_format_percent(share)} of the calls.',
    )


def _advance(view: PolicyView) -> Decision:
    stage = view.plan.next_stage(view.share)
    if stage is None:
        reason = 'The new version has passed all stages.'
        return Decision(Action.FINISH, FULL_SHARE, reason, view.now)
    forecast = view.plan.forecast(stage.share, view.now)
    reason = (
        'No conclusive evidence against the new version at '
        f'{_format_percent(view.share)}.'
    )
    if not view.share:
        reason = 'Servers of the new version are alive.'
    return Decision(Action.STEP, stage.share, reason, forecast)


def _change_share(view: PolicyView, share: int, reason: str) -> Decision:
    if share == view.share:
        return _hold(view, reason, forecast=False)
    return Decision(Action.STEP, share, reason, None)


def _hold(view: PolicyView, reason: str, *, forecast: bool = True) -> Decision:
    expected = view.plan.forecast(view.share, view.now) if forecast else None
    return Decision(Action.HOLD, view.share, reason, expected)


def _format_percent(share: int) -> str:
    return f'{share / _BASIS_POINTS_PER_PERCENT:g} %'


_CHECKS: Final[tuple[Callable[[PolicyView], Decision | None], ...]] = (
    _withdraw,
    _await_servers,
    _fit_capacity,
    _hold_on_doubt,
    _await_stage,
    _await_calls,
    _await_capacity,
)
