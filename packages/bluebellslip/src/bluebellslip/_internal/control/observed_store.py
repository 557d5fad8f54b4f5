"""Takes facts about the configuration from the store's answers."""

import datetime as dt
from typing import Final

from bluebellslip._internal.accounts.revocation_lease import ConfigFact
from bluebellslip._internal.control.lease_keeper import LeaseKeeper
from bluebellslip._internal.control.ports import (
    DesiredStateSource,
    DesiredStateUpdate,
)
from bluebellslip._internal.models.store_revisions import get_era

# Share of the time allowed for a revocation for which the store holds a watch
# open, so that the facts of a watcher are at most about that old.
WATCH_SHARE: Final = 0.2
# How often a watcher sends a request that the store answers at once. An answer
# that the store has held back for a second bounds the store's clock a second
# too high, and the allowance for drift adds a millisecond a second to a bound.
READING_INTERVAL: Final = dt.timedelta(seconds=60)


class ObservedStore:
    """Reads the desired state, and takes a fact from each answer.

    Parameters
    ----------
    source
        The store.
    keeper
        Gets the facts.
    revoke
        Time after which a removed key must not be accepted.
    """

    def __init__(
        self,
        source: DesiredStateSource,
        keeper: LeaseKeeper,
        revoke: dt.timedelta,
    ) -> None:
        self._source = source
        self._max_wait = revoke * WATCH_SHARE
        self._next_reading_at = dt.timedelta()
        self._keeper = keeper
        self._era = 0
        self._revision = 0
        self._is_newest_known = False

    async def read_desired_state(self) -> DesiredStateUpdate:
        """Return the complete desired state."""
        asked_at = self._keeper.now
        update = await self._source.read_desired_state()
        self._observe(update, asked_at)
        return update

    async def watch_desired_state(
        self, position: int, wait: dt.timedelta
    ) -> DesiredStateUpdate:
        """Return the changes since a position, as ``ControlStore`` does."""
        asked_at = self._keeper.now
        update = await self._source.watch_desired_state(
            position, self._limit_wait(wait)
        )
        self._observe(update, asked_at)
        return update

    def _limit_wait(self, wait: dt.timedelta) -> dt.timedelta:
        """Return how long the store may hold a watch back."""
        if not self._keeper.is_active:
            return wait
        now = self._keeper.now
        if now >= self._next_reading_at:
            self._next_reading_at = now + READING_INTERVAL
            return dt.timedelta()
        return min(wait, self._max_wait)

    def _observe(
        self, update: DesiredStateUpdate, asked_at: dt.timedelta
    ) -> None:
        """Take the fact from an answer.

        An answer to a watch without a configuration has none that is newer than
        the one known so far. While the newest can't be read, no other is known
        to be the newest.
        """
        if update.store_time is None:
            return
        era = get_era(update.position)
        if era < self._era:
            return
        if era > self._era:
            self._era = era
            self._revision = 0
            self._is_newest_known = False
        if update.config is not None:
            revision = update.config.config.revision
            self._revision = max(self._revision, revision)
        if update.config is not None or update.is_snapshot:
            self._is_newest_known = update.config is not None
        if update.has_unreadable_config:
            self._is_newest_known = False
        self._keeper.is_newest_unreadable = (
            self._revision > 0 and not self._is_newest_known
        )
        if self._is_newest_known:
            fact = ConfigFact(self._revision, update.store_time, era)
            self._keeper.apply_answer(fact, asked_at)
        else:
            self._keeper.apply_clock(era, update.store_time, asked_at)
