"""Watches the platform's store for the state that operators want."""

import asyncio
import dataclasses
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.control.ports import (
    DesiredStateSource,
    DesiredStateUpdate,
    HistoryLostError,
)
from bluebellslip._internal.control.store_health import StoreHealth
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.utils.backoff import FullJitter

logger = logging.getLogger(__name__)

# How long the store holds a long poll open while nothing changes. A short
# timeout reveals a store that hangs on an open connection sooner. Only a few
# nodes poll, so frequent polls are cheap.
LONG_POLL_TIMEOUT: Final = dt.timedelta(seconds=4)
# How often a node on standby, whose neighbours watch the store, reads the
# desired state. Beacons do not report that a roll-out order was withdrawn, so
# the node cannot rely on them alone.
STANDBY_REFRESH_INTERVAL: Final = dt.timedelta(seconds=60)
# How often a node on standby checks whether it has to watch the store itself.
STANDBY_CHECK_INTERVAL: Final = dt.timedelta(milliseconds=250)
# Shortest time from one request to the next while changes come, so that changes
# in quick succession are read together; a lone change is not delayed.
MIN_REQUEST_INTERVAL: Final = dt.timedelta(milliseconds=250)
# Changes that come closer than this on average are read, not watched.
BURST_INTERVAL: Final = dt.timedelta(milliseconds=400)
_MIN_RETRY_BOUND: Final = dt.timedelta(milliseconds=200)
_MAX_RETRY_BOUND: Final = dt.timedelta(seconds=1)


class DesiredStateWatcher:
    """Polls the store for changes to the desired state.

    Parameters
    ----------
    store
        The platform's store.
    random_source
        Source of jitter for retries.
    health
        Records whether the store responds.
    should_watch_store
        Returns whether this node has to watch the store.
    apply
        Applies an update; returns whether it changed anything.
    """

    def __init__(
        self,
        store: DesiredStateSource,
        random_source: Random,
        health: StoreHealth,
        should_watch_store: Callable[[], bool],
        apply: Callable[[DesiredStateUpdate], bool],
    ) -> None:
        self._store = store
        self._apply = apply
        self._jitter = FullJitter(
            random_source, _MIN_RETRY_BOUND, _MAX_RETRY_BOUND
        )
        self._position: int | None = None
        self._health = health
        self._should_watch_store = should_watch_store
        self._request: asyncio.Task[DesiredStateUpdate] | None = None
        self._is_restarting = False
        self._is_on_standby = False
        self._expects_more_changes = False
        self._requested_at = dt.timedelta()
        self._changed_at = -BURST_INTERVAL

    def restart_watch(self) -> None:
        """Cancel a pending request and poll on a new connection.

        A node on standby ends its wait and polls too. Called when peers have
        had a newer configuration than this node for so long that a pending
        request is presumed lost.
        """
        self._is_on_standby = False
        if self._request is not None and not self._request.done():
            self._is_restarting = True
            self._request.cancel()

    async def run(self) -> None:
        """Poll the store and apply its updates until cancelled."""
        while True:
            update = await self._poll_store()
            if update is None:
                continue
            self._position = update.position
            self._expects_more_changes = False
            if self._apply(update):
                await self._pause_after_change()
            await self._wait_on_standby()

    async def _pause_after_change(self) -> None:
        """Wait for further changes if the last ones came in a burst."""
        now = self._read_time()
        self._expects_more_changes = now - self._changed_at < BURST_INTERVAL
        self._changed_at = now
        pause = self._requested_at + MIN_REQUEST_INTERVAL - now
        await asyncio.sleep(max(0, pause.total_seconds()))

    def _read_time(self) -> dt.timedelta:
        return dt.timedelta(seconds=asyncio.get_running_loop().time())

    async def _wait_on_standby(self) -> None:
        """Wait while neighbours watch the store, up to a refresh interval."""
        self._is_on_standby = True
        for _ in range(STANDBY_REFRESH_INTERVAL // STANDBY_CHECK_INTERVAL):
            if self._should_watch_store() or not self._is_on_standby:
                break
            await asyncio.sleep(STANDBY_CHECK_INTERVAL.total_seconds())
        self._is_on_standby = False

    async def _poll_store(self) -> DesiredStateUpdate | None:
        self._requested_at = self._read_time()
        self._request = asyncio.ensure_future(self._send_request())
        try:
            update = await self._request
        except HistoryLostError:
            logger.info('orders_history_lost', extra={'at': self._position})
            self._position = None
            return None
        except BluebellError as error:
            # Many changes may pile up before the store responds again, so the
            # next request is a read.
            self._expects_more_changes = True
            await self._handle_failure(error)
            return None
        except asyncio.CancelledError:
            if not self._is_restarting:
                raise
            self._is_restarting = False
            return None
        self._handle_success()
        return update

    async def _send_request(self) -> DesiredStateUpdate:
        # A watch returns every change of a row, a read only its final state, so
        # a read is cheaper when several changes are likely to have piled up.
        skip_history = (
            self._expects_more_changes or not self._should_watch_store()
        )
        if self._position is None or skip_history:
            return await self._read()
        wait = (
            dt.timedelta()
            if self._health.last_request_failed
            else LONG_POLL_TIMEOUT
        )
        return await self._store.watch_desired_state(self._position, wait)

    async def _read(self) -> DesiredStateUpdate:
        loop = asyncio.get_running_loop()
        started = loop.time()
        update = await self._store.read_desired_state()
        spent = dt.timedelta(seconds=loop.time() - started)
        return dataclasses.replace(update, spent=spent)

    async def _handle_failure(self, error: BluebellError) -> None:
        self._health.record_failure(error)
        await asyncio.sleep(self._jitter.next_wait().total_seconds())

    def _handle_success(self) -> None:
        self._health.record_success(self._position)
        self._jitter.reset()
