"""Records outcomes of requests as evidence about a server's version."""

import datetime as dt

from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.identity import (
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.rollouts.outcome_counts import OUTGOING, CountSource
from bluebellslip._internal.rollouts.rollout import Rollout
from bluebellslip._internal.rollouts.route_counts import (
    RouteCounts,
    find_latency_bucket,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker


class VersionOutcomeRecorder:
    """Counts outcomes per version while a roll-out is running.

    Parameters
    ----------
    tracker
        The roll-outs.
    """

    def __init__(self, tracker: RolloutTracker) -> None:
        self._tracker = tracker

    def record(
        self,
        service: ServiceName,
        version: VersionName,
        route: RouteName,
        status: RequestStatus,
        latency: dt.timedelta,
        *,
        is_warm: bool,
        node: NodeId | None = None,
    ) -> None:
        """Count the outcome of a request to a server.

        Only successes and failures are counted, and latencies only of a
        server that has warmed up.

        Parameters
        ----------
        service
            The service.
        version
            The server's version.
        route
            The request's route.
        status
            Status of the request.
        latency
            Time from sending the request to the server until the last byte of
            the response.
        is_warm
            Whether the server's warm-up has ended.
        node
            The node beside the server; this node by default.
        """
        rollout = self._tracker.find(service)
        if rollout is None or not rollout.is_running:
            return
        if status not in {RequestStatus.SUCCEEDED, RequestStatus.FAILED}:
            return
        failed = status is RequestStatus.FAILED
        timed_calls = {find_latency_bucket(latency): 1} if is_warm else {}
        source = self._make_source(rollout, version, node)
        rollout.counts.record(
            source, route, RouteCounts(1, int(failed), timed_calls)
        )
        if source.is_target and failed:
            self._tracker.evaluate(rollout)

    def record_outgoing(
        self, service: ServiceName, version: VersionName, *, failed: bool
    ) -> None:
        """Count an outgoing request of the server beside this node.

        Parameters
        ----------
        service
            The server's service.
        version
            The server's version.
        failed
            Whether it ended without a complete response.
        """
        rollout = self._tracker.find(service)
        if rollout is not None and rollout.is_running:
            rollout.counts.record(
                self._make_source(rollout, version),
                OUTGOING,
                RouteCounts(1, int(failed)),
            )

    def _make_source(
        self,
        rollout: Rollout,
        version: VersionName,
        node: NodeId | None = None,
    ) -> CountSource:
        return CountSource(
            node or self._tracker.node,
            self._tracker.life_token,
            version == rollout.order.target,
        )
