"""A roll-out as known to one node."""

import dataclasses
import datetime as dt

from bluebellslip._internal.models.rollouts import RolloutOrder, RolloutState
from bluebellslip._internal.rollouts.canary_analysis import Finding
from bluebellslip._internal.rollouts.outcome_counts import RolloutOutcomeCounts
from bluebellslip._internal.rollouts.retired_versions import RolloutEnd


@dataclasses.dataclass(slots=True, eq=False)
class Rollout:
    """A roll-out order and its progress as known to this node.

    Parameters
    ----------
    order
        The order.
    ordered_at
        Time of the order on the node's clock: the earliest that follows from
        the reported ages.
    state
        The latest known state.
    status_revision
        Revision of the stored status; 0 if none is known.
    stored_state
        The state that the store has for this order, as far as is known; none
        if it has none.
    is_status_known
        Whether the stored status was read, by this node or by a peer.
    is_replaced
        Whether the store no longer has the order; the next one is not known.
    is_bad
        Whether any node found the target version bad; never cleared.
    counts
        Outcome counts of all servers.
    credit
        Rises by the share with every request; whenever it reaches 1, the
        request goes to the target and the credit falls by 1.
    share
        Share of the requests that the target gets.
    suspicion
        Why the target version is more likely bad than good by its few calls;
        none if it isn't.
    handed_over_at
        Time on the node's clock from which the target gets all requests; none
        before.
    """

    order: RolloutOrder
    ordered_at: dt.timedelta
    state: RolloutState = RolloutState.RUNNING
    status_revision: int = 0
    stored_state: RolloutState | None = None
    is_status_known: bool = False
    is_replaced: bool = False
    is_bad: bool = False
    counts: RolloutOutcomeCounts = dataclasses.field(
        default_factory=RolloutOutcomeCounts
    )
    credit: float = 0.5
    suspicion: Finding | None = None
    share: float = 0
    handed_over_at: dt.timedelta | None = None

    @property
    def is_running(self) -> bool:
        """Whether the outcome is still open."""
        return not self.state.is_final

    @property
    def excludes_target(self) -> bool:
        """Whether no request may be sent to the target version."""
        if self.state is RolloutState.COMPLETED:
            return False
        return self.is_bad or self.state is RolloutState.ROLLED_BACK

    @property
    def end(self) -> RolloutEnd:
        """What is known of the target version if the order ends now."""
        if self.state is RolloutState.COMPLETED:
            return RolloutEnd.COMPLETED
        if self.excludes_target:
            return RolloutEnd.ROLLED_BACK
        return RolloutEnd.UNDECIDED

    def renew_order(self, order: RolloutOrder) -> None:
        """Replace the order by the same one under a revision of a later era.

        What is known of the roll-out stays; what the store has is unknown.
        """
        self.order = order
        self.status_revision = 0
        self.stored_state = None
        self.is_status_known = False
        self.is_replaced = False


def build_log_fields(rollout: Rollout) -> dict[str, object]:
    """Return the fields of a log line about a roll-out."""
    return {
        'service': rollout.order.service,
        'target': rollout.order.target,
        'order': rollout.order.revision,
        'state': rollout.state.value,
        'share': round(rollout.share, 3),
    }
