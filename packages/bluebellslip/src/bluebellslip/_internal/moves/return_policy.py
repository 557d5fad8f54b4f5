"""The decision on a move back from a version that is done but suspected."""

import datetime as dt
import math
from typing import Final

from bluebellslip._internal.models.facts import FULL_SHARE
from bluebellslip._internal.moves.policy import (
    Action,
    Decision,
    MoveView,
    is_bad,
)

PROBE: Final = dt.timedelta(minutes=2)
LONGEST_PROBE: Final = dt.timedelta(minutes=10)


def decide_return(view: MoveView) -> Decision:
    """Return whether calls go back, stay, or are compared for longer."""
    finding = view.strongest
    if finding is not None and is_bad(finding, view.plan.rules):
        return Decision(Action.FINISH, FULL_SHARE, finding.text, view.now)
    elapsed = view.now - view.plan.started
    is_doubtful = view.log_evidence >= math.log(view.plan.rules.doubt)
    if not view.new_servers or elapsed >= LONGEST_PROBE:
        reason = 'The suspicion could not be confirmed.'
        return Decision(Action.WITHDRAW, 0, reason, None)
    if elapsed >= PROBE and not is_doubtful:
        reason = 'Both versions behave alike, side by side.'
        return Decision(Action.WITHDRAW, 0, reason, None)
    reason = 'Both versions are compared, side by side.'
    return Decision(Action.HOLD, view.share, reason, None)
