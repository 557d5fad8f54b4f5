"""Which version of a service a request may go to."""

from collections.abc import Sequence

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import ServiceName, VersionName
from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.rollouts.tracker import RolloutTracker


class VersionSelector:
    """Deals requests out between versions as the roll-outs want it.

    Parameters
    ----------
    book
        The roll-outs.
    """

    def __init__(self, tracker: RolloutTracker) -> None:
        self._tracker = tracker

    def choose_target(self, service: ServiceName) -> bool:
        """Tell whether the next request goes to a roll-out's target."""
        rollout = self._tracker.find(service)
        if rollout is None or rollout.excludes_target:
            return False
        if rollout.state is RolloutState.COMPLETED:
            return True
        rollout.credit += rollout.share
        if rollout.credit < 1:
            return False
        rollout.credit -= 1
        return True

    def select(
        self,
        service: ServiceName,
        endpoints: Sequence[Endpoint],
        *,
        for_target: bool,
    ) -> Sequence[Endpoint]:
        """Return the servers of the versions that a request may go to."""
        rollout = self._tracker.find(service)
        if rollout is None:
            return endpoints
        target = rollout.order.target
        others = [
            endpoint for endpoint in endpoints if endpoint.version != target
        ]
        if rollout.excludes_target or not rollout.is_status_known:
            return others
        if not for_target and others:
            return others
        targets = [
            endpoint for endpoint in endpoints if endpoint.version == target
        ]
        return targets if targets and for_target else others

    def admits(
        self, service: ServiceName, version: VersionName, *, for_target: bool
    ) -> bool:
        """Tell whether a server of a version may run a request."""
        if not self._tracker.is_loaded:
            return False
        rollout = self._tracker.find(service)
        if rollout is None or version != rollout.order.target:
            return True
        if rollout.excludes_target:
            return False
        return for_target or rollout.state is RolloutState.COMPLETED
