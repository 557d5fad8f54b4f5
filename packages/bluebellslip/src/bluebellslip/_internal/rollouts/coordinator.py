"""Writes the status of each roll-out to the store.

Every node can determine the next status. The live node whose name sorts first
writes it; each further node takes over after a delay in case those before it
cannot. A write is conditional on the previous status, so that a roll-out is
never recorded as both completed and rolled back, and on the order, so that a
write that the store performs late never counts for the next order.
"""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from typing import Final

from bluebellslip._internal.control.ports import (
    ControlStore,
    OrderReplacedError,
    StatusChange,
)
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.rollouts.plan import RolloutAction
from bluebellslip._internal.rollouts.rollout import (
    Rollout,
    build_log_fields,
)
from bluebellslip._internal.rollouts.tracker import RolloutTracker
from bluebellslip._internal.utils.containment import contain_errors

logger = logging.getLogger(__name__)

CHECK_INTERVAL: Final = dt.timedelta(milliseconds=250)
# A node waits this long for each live node whose name sorts earlier before it
# writes the status itself: a few times the duration of a write, and longer than
# beacons take to report the new status.
TAKEOVER_DELAY: Final = dt.timedelta(milliseconds=900)
_FAILURE_DELAY: Final = dt.timedelta(milliseconds=200)
_FINAL_STATES: Final = {
    RolloutAction.COMPLETE: RolloutState.COMPLETED,
    RolloutAction.ROLL_BACK: RolloutState.ROLLED_BACK,
}


class RolloutCoordinator:
    """Writes the statuses of roll-outs when it is this node's turn.

    Parameters
    ----------
    clock
        The node's clock.
    tracker
        The roll-outs.
    store
        The platform's store.
    find_rank
        Returns how many live nodes come before this one by name.
    on_status_change
        Called after statuses were read or written.
    on_order_replaced
        Called when the store has another order than this node knows.
    """

    def __init__(
        self,
        clock: Clock,
        tracker: RolloutTracker,
        store: ControlStore,
        find_rank: Callable[[], int],
        on_status_change: Callable[[], None],
        on_order_replaced: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._tracker = tracker
        self._store = store
        self._find_rank = find_rank
        self._on_status_change = on_status_change
        self._on_order_replaced = on_order_replaced
        self._pending_since: dict[int, tuple[RolloutState, dt.timedelta]] = {}

    async def run(self) -> None:
        """Evaluate the roll-outs and write their statuses until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            self._tracker.refresh()
            for rollout in tuple(self._tracker.rollouts):
                with contain_errors(
                    'coordinate a roll-out', rollout.order.service
                ):
                    await self._try_to_reconcile(rollout)

    async def _try_to_reconcile(self, rollout: Rollout) -> None:
        try:
            await self._reconcile(rollout)
        except BluebellError as error:
            logger.warning(
                'rollout_step_failed',
                extra=build_log_fields(rollout) | {'reason': str(error)},
            )
            await asyncio.sleep(_FAILURE_DELAY.total_seconds())

    async def read_statuses(self) -> None:
        """Read the statuses of all roll-outs from the store."""
        # The read may be older than an order that arrives during it.
        rollouts = tuple(self._tracker.rollouts)
        for status in await self._store.read_statuses():
            self._tracker.apply_status(status)
        for rollout in rollouts:
            rollout.is_status_known = True

    async def _reconcile(self, rollout: Rollout) -> None:
        if rollout.is_replaced or not self._tracker.is_order_current(rollout):
            # The next order is not known yet, or the store has lost this one
            # and the operators write it again.
            return
        if not rollout.is_status_known:
            await self.read_statuses()
            self._on_status_change()
            return
        state = self._find_next_state(rollout)
        if state is None or not self._may_write(rollout, state):
            return
        try:
            status = await self._store.store_status(
                StatusChange(rollout.order, state, rollout.status_revision)
            )
        except OrderReplacedError:
            rollout.is_replaced = True
            self._on_order_replaced()
            raise
        except BluebellError:
            # The write may have taken effect: read before the next attempt.
            rollout.is_status_known = False
            raise
        logger.info(
            'rollout_said',
            extra=build_log_fields(rollout)
            | {'said': state.value, 'stands': status.state.value},
        )
        self._tracker.apply_status(status)
        self._on_status_change()

    def _find_next_state(self, rollout: Rollout) -> RolloutState | None:
        """Return the state to write next, or none."""
        stored = rollout.stored_state
        if not rollout.is_running:
            # A store that came back from an older copy may lack the end.
            is_end_stored = stored is not None and stored.is_final
            return None if is_end_stored else rollout.state
        state = _FINAL_STATES.get(self._tracker.decide(rollout))
        if state is not None:
            return state
        return RolloutState.RUNNING if stored is None else None

    def _may_write(self, rollout: Rollout, state: RolloutState) -> bool:
        now = self._clock.elapsed()
        pending_state, since = self._pending_since.get(
            rollout.order.revision, (state, now)
        )
        if pending_state is not state:
            since = now
        self._pending_since[rollout.order.revision] = (state, since)
        return now - since >= TAKEOVER_DELAY * self._find_rank()
