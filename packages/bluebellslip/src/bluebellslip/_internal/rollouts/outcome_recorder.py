"""Outcomes of the server beside a node, as evidence about its version."""

import datetime as dt

from bluebellslip._internal.kernel.ports import Verdict
from bluebellslip._internal.models.identity import (
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.rollouts.outcome_counts import OUTGOING, CountSource
from bluebellslip._internal.rollouts.route_counts import (
    RouteCounts,
    find_latency_bucket,
)
from bluebellslip._internal.rollouts.tracker import Rollout, RolloutTracker


class VersionOutcomeRecorder:
    """Counts outcomes while a roll-out runs.

    Parameters
    ----------
    book
        The roll-outs.
    """

    def __init__(self, tracker: RolloutTracker) -> None:
        self._tracker = tracker

    def record(
        self,
        service: ServiceName,
        version: VersionName,
        route: RouteName,
        verdict: Verdict,
        latency: dt.timedelta,
        *,
        is_warm: bool,
        node: NodeId | None = None,
    ) -> None:
        """Count an outcome of the server beside this node, or another one."""
        rollout = self._tracker.find(service)
        if rollout is None or not rollout.is_running:
            return
        if verdict not in {Verdict.SUCCEEDED, Verdict.FAILED}:
            return
        failed = verdict is Verdict.FAILED
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
        """Count a request that went out from beside a server.

        Parameters
        ----------
        service
            The service beside the node.
        version
            Version of the server there.
        failed
            Whether it got no answer of a server.
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
            self._tracker.started,
            version == rollout.order.target,
        )
