"""The decision on a move back from a version that is done but suspected."""

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

MIN_COMPARISON: Final = dt.timedelta(minutes=2)
MAX_COMPARISON: Final = dt.timedelta(minutes=10)


def decide_return(view: PolicyView) -> Decision:
    """Return whether calls go back, stay, or are compared for longer."""
    finding = view.strongest
    if finding is not None and is_conclusive(finding, view.plan.rules):
        return Decision(Action.FINISH, FULL_SHARE, finding.text, view.now)
    elapsed = view.now - view.plan.started
    is_doubtful = view.log_evidence >= math.log(view.plan.rules.doubt_threshold)
    if not view.new_servers or elapsed >= MAX_COMPARISON:
        reason = 'The suspicion could not be confirmed.'
        return Decision(Action.WITHDRAW, 0, reason, None)
    if elapsed >= MIN_COMPARISON and not is_doubtful:
        reason = 'Both versions behave alike, side by side.'
        return Decision(Action.WITHDRAW, 0, reason, None)
    reason = 'Both versions are compared, side by side.'
    return Decision(Action.HOLD, view.share, reason, None)
