"""Passes updates from the store and from peers to a node's components."""

import datetime as dt
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.control.desired_state import DesiredStateWatcher
from bluebellslip._internal.control.ports import DesiredStateUpdate
from bluebellslip._internal.fleet.beacon_protocol import BeaconProtocol
from bluebellslip._internal.fleet.beacons import Beacon
from bluebellslip._internal.fleet.evacuations import Evacuations
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.mesh.config_news import ConfigNews
from bluebellslip._internal.mesh.holder import ConfigHolder
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.rollouts import RolloutOrder
from bluebellslip._internal.models.store_revisions import get_era
from bluebellslip._internal.rollouts.rollout import Rollout
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip._internal.utils.containment import contain_errors

# How long peers may have a newer configuration than this node before its
# pending watch of the store counts as lost; half of the time allowed to apply a
# configuration.
STALE_WATCH_TIMEOUT: Final = dt.timedelta(seconds=1)


class UpdateDispatcher:
    """Applies the operators' desired state and the beacons of peers.

    Parameters
    ----------
    clock
        The node's clock.
    holder
        The applied configuration.
    news
        Records which later configurations exist.
    rollout_tracker
        The roll-outs.
    beacon_protocol
        Sends this node's beacons and receives those of its peers.
    watches_store
        Returns whether this node itself gets updates from the store.
    evacuations
        The evacuated failure domains.
    """

    def __init__(
        self,
        clock: Clock,
        holder: ConfigHolder,
        news: ConfigNews,
        rollout_tracker: RolloutTracker,
        beacon_protocol: BeaconProtocol,
        watches_store: Callable[[], bool],
        evacuations: Evacuations,
    ) -> None:
        self._clock = clock
        self._holder = holder
        self._news = news
        self._rollout_tracker = rollout_tracker
        self._beacon_protocol = beacon_protocol
        self._watches_store = watches_store
        self._evacuations = evacuations
        self._watcher: DesiredStateWatcher | None = None
        self._next_restart_at = dt.timedelta()
        holder.on_change(self._announce_config)
        rollout_tracker.on_bad_version(self._announce_rollout)
        beacon_protocol.on_beacon(self.apply_beacon)

    def attach_watcher(self, watcher: DesiredStateWatcher) -> None:
        """Set the watcher whose lost watches this dispatcher restarts."""
        self._watcher = watcher

    def apply_desired_state(self, update: DesiredStateUpdate) -> bool:
        """Apply an update from the store; return whether it changed anything.

        A snapshot also withdraws the roll-outs that it doesn't contain, and
        ends such evacuations.
        """
        has_changes = False
        with contain_errors('apply evacuations'):
            if self._evacuations.apply_update(update):
                has_changes = True
                self._beacon_protocol.request_broadcast()
        with contain_errors('apply a configuration'):
            config = update.config
            has_changes |= config is not None and self._holder.offer(
                config, 'store', update.spent
            )
        for order in update.rollouts:
            with contain_errors('apply an order', order.service):
                has_changes |= self._apply_order(order)
        for service in self._list_withdrawn(update):
            has_changes = True
            self._rollout_tracker.withdraw(service)
        self._rollout_tracker.is_loaded = True
        return has_changes

    def _apply_order(self, order: RolloutOrder) -> bool:
        """Apply an order; return whether it is a new one."""
        if self._rollout_tracker.is_outdated(order):
            return False
        tracked = self._rollout_tracker.find(order.service)
        is_new = tracked is None or tracked.order.revision < order.revision
        if is_new:
            self._beacon_protocol.request_broadcast()
        self._rollout_tracker.add_order(order, dt.timedelta())
        return is_new

    def _list_withdrawn(
        self, update: DesiredStateUpdate
    ) -> tuple[ServiceName, ...]:
        if not update.is_snapshot:
            return update.withdrawn
        # Orders newer than the snapshot, reported by peers, are kept, and so
        # are those that the store lost; the operators write them again. An
        # order whose row can't be read any more holds on.
        ordered_services = {order.service for order in update.rollouts}
        ordered_services.update(update.unreadable)
        return tuple(
            rollout.order.service
            for rollout in self._rollout_tracker.rollouts
            if rollout.order.service not in ordered_services
            and rollout.order.revision <= update.position
            and get_era(rollout.order.revision) == get_era(update.position)
        )

    def apply_beacon(self, beacon: Beacon) -> None:
        """Apply a beacon from another node."""
        self._evacuations.apply_beacon(beacon)
        if beacon.revision > self._holder.revision:
            self._news.record(
                beacon.revision,
                dt.timedelta(milliseconds=max(0, beacon.revision_age_ms)),
            )
            self._restart_stale_watch()
        self._rollout_tracker.apply_beacon(beacon)

    def _restart_stale_watch(self) -> None:
        """Restart the watch if the node lags for ``STALE_WATCH_TIMEOUT``.

        Cancelling the watch sooner could lose a response that is still
        arriving over a slow link. A node that applies revisions but stays
        behind reads the store too.
        """
        now = self._clock.elapsed()
        lag = self._news.find_age(self._holder.revision + 1)
        if lag is None or lag < STALE_WATCH_TIMEOUT:
            return
        if now >= self._next_restart_at and self._watcher is not None:
            self._next_restart_at = now + STALE_WATCH_TIMEOUT
            self._watcher.restart_watch()

    def _announce_config(self, table: RoutingTable) -> None:
        if self._watches_store():
            # Peers that don't watch the store themselves learn of a new
            # configuration from this node's beacons.
            self._beacon_protocol.request_broadcast()

    def _announce_rollout(self, rollout: Rollout) -> None:
        self._beacon_protocol.request_broadcast()
