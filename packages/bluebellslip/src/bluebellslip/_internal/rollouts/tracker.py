"""A node's view of all roll-outs: orders, shares, outcomes and findings."""

import dataclasses
import datetime as dt
import logging
from collections.abc import Callable, Iterable, Sequence
from random import Random
from typing import Final

from bluebellslip._internal.fleet.beacons import Beacon, RolloutBeacon
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import (
    NodeId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.rollouts import (
    RolloutOrder,
    RolloutState,
    RolloutStatus,
)
from bluebellslip._internal.models.store_revisions import get_era
from bluebellslip._internal.rollouts.canary_analysis import (
    MIN_COMPARED_CALLS,
    Finding,
    detect_bad_version,
    find_suspicion,
)
from bluebellslip._internal.rollouts.hand_over import count_busy_servers
from bluebellslip._internal.rollouts.order_history import (
    OrderHistory,
    is_stored_again,
)
from bluebellslip._internal.rollouts.outcome_counts import CountSource
from bluebellslip._internal.rollouts.plan import (
    RolloutAction,
    RolloutSnapshot,
    compute_share,
    decide,
)
from bluebellslip._internal.rollouts.retired_versions import (
    RetiredVersion,
    RetiredVersions,
    RolloutEnd,
)
from bluebellslip._internal.rollouts.rollout import (
    Rollout,
    build_log_fields,
)

logger = logging.getLogger(__name__)

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
_STATES: Final = tuple(RolloutState)


class RolloutTracker:
    """Tracks the roll-outs of all services.

    Parameters
    ----------
    clock
        The node's clock.
    node
        The node's name.
    life_token
        Identifies this run of the node, as in its beacons.
    canary_share
        Maximum share of a service's requests that may reach a version that
        is not known to be good.
    find_endpoints
        Returns the servers of a service that accept requests.
    canary_slack
        Requests that may reach such a version beside that share.
    """

    def __init__(
        self,
        clock: Clock,
        node: NodeId,
        life_token: int,
        canary_share: float,
        find_endpoints: Callable[[ServiceName], Sequence[Endpoint]],
        canary_slack: float = 0,
    ) -> None:
        self._clock = clock
        self._node = node
        self._life_token = life_token
        self._canary_share = canary_share
        self._canary_slack = canary_slack
        self._find_endpoints = find_endpoints
        self._rollouts: dict[ServiceName, Rollout] = {}
        self._listeners: list[Callable[[Rollout], None]] = []
        self._withdrawn: dict[str, int] = {}
        self._store_era = 0
        self._history = OrderHistory()
        self.retired = RetiredVersions(clock)
        # Whether this node, or a peer that reports to it, has read all orders.
        self.is_loaded = False

    @property
    def node(self) -> NodeId:
        """The node's name."""
        return self._node

    @property
    def life_token(self) -> int:
        """Identifies this run of the node, as in its beacons."""
        return self._life_token

    @property
    def rollouts(self) -> Iterable[Rollout]:
        """All known roll-outs."""
        return self._rollouts.values()

    def find(self, service: ServiceName) -> Rollout | None:
        """Return the roll-out of a service."""
        return self._rollouts.get(service)

    def on_bad_version(self, listener: Callable[[Rollout], None]) -> None:
        """Call a listener whenever a version is found bad."""
        self._listeners.append(listener)

    def add_order(self, order: RolloutOrder, age: dt.timedelta) -> Rollout:
        """Add an order if it is newer than the known one.

        Parameters
        ----------
        order
            The order.
        age
            Time since the order was given, as far as it is known.

        Returns
        -------
        Rollout
            The roll-out of the newest order of the service.
        """
        current = self._rollouts.get(order.service)
        now = self._clock.elapsed()
        if current is not None and current.order.revision >= order.revision:
            if current.order.revision == order.revision:
                current.ordered_at = min(current.ordered_at, now - age)
            return current
        self.retired.forget(order.service, order.target, order.revision)
        if current is not None and is_stored_again(current.order, order):
            current.renew_order(order)
            return current
        if current is not None:
            self._retire(current)
        rollout = Rollout(
            order, now - age, credit=_choose_credit(self._node, order)
        )
        self._rollouts[order.service] = rollout
        logger.info('rollout_ordered', extra=build_log_fields(rollout))
        return rollout

    def is_outdated(self, order: RolloutOrder) -> bool:
        """Return whether an order was replaced before the store lost data."""
        return self._history.has_restored(order)

    def withdraw(self, service: ServiceName) -> None:
        """Remove a deleted order, and ignore it in beacons from now on."""
        rollout = self._rollouts.pop(service, None)
        if rollout is not None:
            self._withdrawn[service] = rollout.order.revision
            self._retire(rollout)
            logger.info('rollout_withdrawn', extra={'service': service})

    def apply_restore(self, era: int) -> None:
        """Note that the store came back from an older copy."""
        self._store_era = era

    def is_order_current(self, rollout: Rollout) -> bool:
        """Return whether the order was read since the store last came back."""
        return get_era(rollout.order.revision) >= self._store_era

    def apply_status(self, status: RolloutStatus) -> None:
        """Apply a status read from the store."""
        rollout = self._rollouts.get(status.service)
        if rollout is None or status.revision <= rollout.status_revision:
            return
        if get_era(status.revision) != get_era(rollout.order.revision):
            return
        rollout.status_revision = status.revision
        rollout.stored_state = None
        if status.belongs_to(rollout.order):
            rollout.stored_state = status.state
            self._apply_state(rollout, status.state)
        elif status.state is RolloutState.ROLLED_BACK:
            self._retire_earlier(
                status.service,
                status.target,
                status.order_revision,
                RolloutEnd.ROLLED_BACK,
            )

    def apply_beacon(self, beacon: Beacon) -> None:
        """Apply the roll-outs reported in a peer's beacon.

        A peer that has a configuration also knows all orders.
        """
        self.is_loaded = self.is_loaded or beacon.revision > 0
        self.retired.merge(
            report
            for report in beacon.retired_versions
            if not self._is_ordered_again(
                report.service, report.version, report.revision
            )
        )
        for reported in beacon.rollouts:
            if reported.revision > self._withdrawn.get(reported.service, 0):
                self._apply_reported_rollout(beacon, reported)
            else:
                self._apply_reported_end(reported)

    def make_beacons(
        self, version: VersionName | None
    ) -> tuple[RolloutBeacon, ...]:
        """Return the roll-outs to report in this node's beacons.

        Parameters
        ----------
        version
            Version of the server beside this node, if there is one.
        """
        now = self._clock.elapsed()
        return tuple(
            self._make_beacon(rollout, version, now)
            for rollout in self._rollouts.values()
        )

    def refresh(self) -> None:
        """Evaluate all running roll-outs and update their shares."""
        self.retired.expire()
        for rollout in self._rollouts.values():
            if rollout.is_running:
                self.evaluate(rollout)
                self._update_suspicion(rollout)
                self._set_share(rollout, compute_share(self.snapshot(rollout)))

    def snapshot(self, rollout: Rollout) -> RolloutSnapshot:
        """Return the data on which decisions about a roll-out are based."""
        endpoints = self._find_endpoints(rollout.order.service)
        target = rollout.order.target
        target_servers = sum(
            endpoint.version == target for endpoint in endpoints
        )
        now = self._clock.elapsed()
        handed_over_at = rollout.handed_over_at
        return RolloutSnapshot(
            age=now - rollout.ordered_at,
            duration=rollout.order.duration,
            canary_share=self._canary_share,
            target_calls=rollout.counts.target_calls,
            target_servers=target_servers,
            busy_servers=count_busy_servers(endpoints, target, handed_over_at),
            handed_over_for=(
                None if handed_over_at is None else now - handed_over_at
            ),
            is_bad=rollout.is_bad,
            canary_slack=self._canary_slack,
            calls_per_second=rollout.counts.estimate_rate(now),
            has_baseline=rollout.counts.baseline_calls >= MIN_COMPARED_CALLS,
            is_suspect=rollout.suspicion is not None,
        )

    def decide(self, rollout: Rollout) -> RolloutAction:
        """Return the next action of a roll-out."""
        return decide(self.snapshot(rollout))

    def _update_suspicion(self, rollout: Rollout) -> None:
        now = self._clock.elapsed()
        suspicion = find_suspicion(rollout.counts.list_windows(now))
        was_suspect = rollout.suspicion is not None
        rollout.suspicion = suspicion
        if was_suspect is not (suspicion is not None):
            finding = {} if suspicion is None else dataclasses.asdict(suspicion)
            logger.info(
                'rollout_suspicion',
                extra=build_log_fields(rollout) | {'finding': finding},
            )

    def _set_share(self, rollout: Rollout, share: float) -> None:
        if share == rollout.share:
            return
        rollout.share = share
        rollout.handed_over_at = self._clock.elapsed() if share == 1 else None
        logger.info('rollout_share', extra=build_log_fields(rollout))

    def _apply_reported_rollout(
        self, beacon: Beacon, reported: RolloutBeacon
    ) -> None:
        order = RolloutOrder(
            ServiceName(reported.service),
            VersionName(reported.target),
            reported.duration_ms * _MILLISECOND,
            reported.revision,
        )
        if self.is_outdated(order):
            return
        rollout = self.add_order(order, reported.age_ms * _MILLISECOND)
        if rollout.order.revision != reported.revision:
            self._apply_reported_end(reported)
            return
        rollout.is_status_known |= reported.is_status_known
        state = _STATES[reported.state]
        is_newer = reported.status_revision > rollout.status_revision
        if is_newer:
            rollout.status_revision = reported.status_revision
            if reported.status_revision > reported.revision:
                rollout.stored_state = state
        # A store that lost data may have an older status than the peer knows.
        if is_newer or state.is_final:
            self._apply_state(rollout, state)
        if reported.is_bad:
            self._mark_bad(rollout, 'peer', None)
        if reported.routes:
            rollout.counts.replace(
                CountSource(beacon.node, beacon.life_token, reported.is_target),
                reported,
            )

    def _apply_reported_end(self, reported: RolloutBeacon) -> None:
        """Apply what a peer knows of an order that was replaced."""
        state = _STATES[reported.state]
        if state is RolloutState.COMPLETED:
            end = RolloutEnd.COMPLETED
        elif state is RolloutState.ROLLED_BACK or reported.is_bad:
            end = RolloutEnd.ROLLED_BACK
        else:
            return
        self._retire_earlier(
            ServiceName(reported.service),
            VersionName(reported.target),
            reported.revision,
            end,
        )

    def _retire(self, rollout: Rollout) -> None:
        """Remember an order that is replaced or withdrawn, and its version."""
        order = rollout.order
        self._history.add(order)
        self.retired.add(
            RetiredVersion(
                order.service, order.target, order.revision, rollout.end
            ),
            dt.timedelta(),
        )

    def _retire_earlier(
        self,
        service: ServiceName,
        version: VersionName,
        revision: int,
        end: RolloutEnd,
    ) -> None:
        """Remember the version of an order from before the known one."""
        if not self._is_ordered_again(service, version, revision):
            self.retired.add(
                RetiredVersion(service, version, revision, end), dt.timedelta()
            )

    def _is_ordered_again(
        self, service: str, version: str, revision: int
    ) -> bool:
        """Return whether a version was ordered again after a revision."""
        current = self._rollouts.get(ServiceName(service))
        return (
            current is not None
            and current.order.target == version
            and current.order.revision > revision
        )

    def _make_beacon(
        self, rollout: Rollout, version: VersionName | None, now: dt.timedelta
    ) -> RolloutBeacon:
        order = rollout.order
        source = CountSource(
            self._node, self._life_token, version == order.target
        )
        counts = rollout.counts.read(source) if rollout.is_running else ()
        # The status of another order is not reported: peers take a status that
        # is newer than the order for its own.
        is_foreign = (
            rollout.stored_state is None
            and rollout.status_revision > order.revision
        )
        return RolloutBeacon(
            service=order.service,
            revision=order.revision,
            target=order.target,
            duration_ms=order.duration // _MILLISECOND,
            age_ms=(now - rollout.ordered_at) // _MILLISECOND,
            state=_STATES.index(rollout.state),
            status_revision=0 if is_foreign else rollout.status_revision,
            is_status_known=rollout.is_status_known,
            is_bad=rollout.is_bad,
            is_target=source.is_target,
            routes=counts,
        )

    def evaluate(self, rollout: Rollout) -> None:
        """Check all outcomes so far for signs of a bad target version."""
        if rollout.is_bad:
            return
        now = self._clock.elapsed()
        finding = detect_bad_version(rollout.counts.list_windows(now))
        if finding is not None:
            self._mark_bad(rollout, 'own', finding)

    def _mark_bad(
        self, rollout: Rollout, source: str, finding: Finding | None
    ) -> None:
        if rollout.is_bad:
            return
        rollout.is_bad = True
        rollout.share = 0
        rollout.handed_over_at = None
        found = {} if finding is None else dataclasses.asdict(finding)
        logger.warning(
            'rollout_bad',
            extra=build_log_fields(rollout)
            | {'source': source, 'finding': found},
        )
        for listener in self._listeners:
            listener(rollout)

    def _apply_state(self, rollout: Rollout, state: RolloutState) -> None:
        rollout.is_status_known = True
        if rollout.state.is_final or rollout.state is state:
            return
        rollout.state = state
        logger.info('rollout_state', extra=build_log_fields(rollout))


def _choose_credit(node: NodeId, order: RolloutOrder) -> float:
    """Return the credit with which a node begins, uniform over all nodes.

    With one credit for all, a node with few requests would send none to the
    target version.
    """
    return Random(f'{node}/{order.service}/{order.revision}').random()
