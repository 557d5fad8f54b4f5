"""The decision on a return: a move back from a version suspected to be bad."""

import datetime as dt
import math
from typing import Final

from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.moves.policy import (
    Action,
    Decision,
    PolicyView,
    is_conclusive,
)

MIN_COMPARISON_TIME: Final = dt.timedelta(minutes=2)
MAX_COMPARISON_TIME: Final = dt.timedelta(minutes=10)


def decide_return(view: PolicyView) -> Decision:
    """Return whether to finish, withdraw, or continue a return."""
    finding = view.finding
    if finding is not None and is_conclusive(finding, view.plan.rules):
        return Decision(Action.FINISH, FULL_SHARE, finding.text, view.now)
    elapsed = view.now - view.plan.started
    is_doubtful = view.log_evidence >= math.log(view.plan.rules.doubt_threshold)
    if not view.new_servers or elapsed >= MAX_COMPARISON_TIME:
        reason = 'The suspected regression could not be confirmed.'
        return Decision(Action.WITHDRAW, 0, reason, None)
    if elapsed >= MIN_COMPARISON_TIME and not is_doubtful:
        reason = 'Both versions behave alike when compared side by side.'
        return Decision(Action.WITHDRAW, 0, reason, None)
    reason = 'Both versions are being compared side by side.'
    return Decision(Action.HOLD, view.share, reason, None)
