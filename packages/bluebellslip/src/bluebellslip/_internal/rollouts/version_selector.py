"""Selects the version of a service to which a request may be sent."""

from collections.abc import Sequence

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import ServiceName, VersionName
from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.rollouts.tracker import RolloutTracker


class VersionSelector:
    """Splits requests between versions according to the roll-outs.

    Parameters
    ----------
    tracker
        The roll-outs.
    """

    def __init__(self, tracker: RolloutTracker) -> None:
        self._tracker = tracker

    def choose_target(self, service: ServiceName) -> bool:
        """Return whether the next request goes to the target version.

        Requests are spread evenly: a share of 0.1 selects every tenth one.
        """
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
        """Return the servers to which a request may be sent.

        Servers of the target version are left out until the stored status of
        the roll-out is known.

        Parameters
        ----------
        service
            The service.
        endpoints
            Its servers that accept requests.
        for_target
            Whether the request was chosen for the target version.
        """
        rollout = self._tracker.find(service)
        retired = self._tracker.retired
        if rollout is None:
            return retired.select(service, endpoints)
        target = rollout.order.target
        others = retired.select(
            service,
            [endpoint for endpoint in endpoints if endpoint.version != target],
        )
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
        """Return whether a server of a version may process a request.

        Nothing is admitted before the roll-out orders are known.
        """
        if not self._tracker.is_loaded:
            return False
        rollout = self._tracker.find(service)
        if rollout is None or version != rollout.order.target:
            return not self._tracker.retired.is_rolled_back(service, version)
        if rollout.excludes_target:
            return False
        return for_target or rollout.state is RolloutState.COMPLETED
