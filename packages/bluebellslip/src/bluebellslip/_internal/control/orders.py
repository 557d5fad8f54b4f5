"""Follows what operators want, as the platform's store tells it."""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.control.health import StoreHealth
from bluebellslip._internal.control.ports import (
    ControlStore,
    HistoryLostError,
    Orders,
)
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.utils.backoff import FullJitter

logger = logging.getLogger(__name__)

# How long the store holds a question back until there is news. A store that
# went silent on an open connection is noticed after this time at the latest;
# few nodes ask, so that short questions are cheap.
WATCH_WAIT: Final = dt.timedelta(seconds=4)
# A node whose neighbours follow the store asks it only this often, for what
# beacons don't tell: orders that were taken back.
CATCH_UP_EVERY: Final = dt.timedelta(seconds=60)
# How soon such a node notices that the duty has come to it.
DUTY_LOOK_EVERY: Final = dt.timedelta(milliseconds=250)
# Pause between two questions when there is news, which gathers changes that
# come in quick succession; a quarter of the time to apply them.
NEWS_PAUSE: Final = dt.timedelta(milliseconds=500)
_FIRST_RETRY: Final = dt.timedelta(milliseconds=200)
_LAST_RETRY: Final = dt.timedelta(seconds=1)


class OrdersWatcher:
    """Asks the store for news, for as long as the node runs.

    Parameters
    ----------
    store
        The platform's store.
    random_source
        Spreads the retries.
    health
        Takes in whether the store answers.
    is_on_duty
        Tells whether this node has to follow the store.
    apply
        Receives what the store told; says whether there was news in it.
    """

    def __init__(
        self,
        store: ControlStore,
        random_source: Random,
        health: StoreHealth,
        is_on_duty: Callable[[], bool],
        apply: Callable[[Orders], bool],
    ) -> None:
        self._store = store
        self._apply = apply
        self._jitter = FullJitter(random_source, _FIRST_RETRY, _LAST_RETRY)
        self._position: int | None = None
        self._health = health
        self._is_on_duty = is_on_duty
        self._asking: asyncio.Task[Orders] | None = None
        self._hurry = False
        self._is_standing_by = False
        self._had_news = False

    def hurry(self) -> None:
        """Ask at once, on a new connection, since others have news."""
        self._is_standing_by = False
        if self._asking is not None and not self._asking.done():
            self._hurry = True
            self._asking.cancel()

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            orders = await self._ask()
            if orders is None:
                continue
            self._position = orders.position
            self._had_news = self._apply(orders)
            if self._had_news:
                await asyncio.sleep(NEWS_PAUSE.total_seconds())
            await self._stand_by()

    async def _stand_by(self) -> None:
        """Leave the store to others for as long as they follow it."""
        self._is_standing_by = True
        for _ in range(CATCH_UP_EVERY // DUTY_LOOK_EVERY):
            if self._is_on_duty() or not self._is_standing_by:
                break
            await asyncio.sleep(DUTY_LOOK_EVERY.total_seconds())
        self._is_standing_by = False

    async def _ask(self) -> Orders | None:
        self._asking = asyncio.ensure_future(self._question())
        try:
            orders = await self._asking
        except HistoryLostError:
            logger.info('orders_history_lost', extra={'at': self._position})
            self._position = None
            return None
        except BluebellError as error:
            # Much may change before the store answers again.
            self._had_news = True
            await self._fail(error)
            return None
        except asyncio.CancelledError:
            if not self._hurry:
                raise
            self._hurry = False
            return None
        self._recover()
        return orders

    async def _question(self) -> Orders:
        # Changes often come in quick succession. What they led to is one row,
        # and each of them would be another.
        is_behind = self._had_news or not self._is_on_duty()
        if self._position is None or is_behind:
            return await self._store.read_orders()
        wait = dt.timedelta() if self._health.is_lost else WATCH_WAIT
        return await self._store.watch_orders(self._position, wait)

    async def _fail(self, error: BluebellError) -> None:
        self._health.fail(error)
        await asyncio.sleep(self._jitter.next_wait().total_seconds())

    def _recover(self) -> None:
        self._health.recover(self._position)
        self._jitter.reset()
