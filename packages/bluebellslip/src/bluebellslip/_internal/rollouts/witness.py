"""Outcomes of the server beside a node, as evidence about its version."""

import datetime as dt

from bluebellslip._internal.kernel.ports import RequestStatus
from bluebellslip._internal.models.identity import (
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.rollouts.book import Rollout, RolloutBook
from bluebellslip._internal.rollouts.counts import RouteCounts, find_bucket
from bluebellslip._internal.rollouts.ledger import OUTGOING, Source


class RolloutWitness:
    """Counts outcomes while a roll-out runs.

    Parameters
    ----------
    book
        The roll-outs.
    """

    def __init__(self, book: RolloutBook) -> None:
        self._book = book

    def record(
        self,
        service: ServiceName,
        version: VersionName,
        route: RouteName,
        verdict: RequestStatus,
        latency: dt.timedelta,
        *,
        is_warm: bool,
        node: NodeId | None = None,
    ) -> None:
        """Count an outcome of the server beside this node, or another one."""
        rollout = self._book.find(service)
        if rollout is None or not rollout.is_running:
            return
        if verdict not in {RequestStatus.SUCCEEDED, RequestStatus.FAILED}:
            return
        failed = verdict is RequestStatus.FAILED
        timed = {find_bucket(latency): 1} if is_warm else {}
        source = self._make_source(rollout, version, node)
        rollout.ledger.record(source, route, RouteCounts(1, int(failed), timed))
        if source.is_target and failed:
            self._book.judge(rollout)

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
        rollout = self._book.find(service)
        if rollout is not None and rollout.is_running:
            rollout.ledger.record(
                self._make_source(rollout, version),
                OUTGOING,
                RouteCounts(1, int(failed)),
            )

    def _make_source(
        self,
        rollout: Rollout,
        version: VersionName,
        node: NodeId | None = None,
    ) -> Source:
        return Source(
            node or self._book.node,
            self._book.started,
            version == rollout.order.target,
        )
