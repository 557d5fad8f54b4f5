"""Enters a node into the store and finds the others there."""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.control.ports import ControlStore, NodeEntry
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.utils.backoff import FullJitter, jitter

logger = logging.getLogger(__name__)

# Nodes tell each other of themselves; the store is asked again only in case
# two began to know of each other too late. Nodes that follow the store look
# more often, and tell the others.
LOOK_AGAIN: Final = dt.timedelta(seconds=30)
LOOK_AGAIN_STANDING_BY: Final = dt.timedelta(seconds=120)
# While no other node is heard of, the store is the only way to find one.
LOOK_AGAIN_ALONE: Final = dt.timedelta(seconds=2)
_FIRST_RETRY: Final = dt.timedelta(milliseconds=200)
_LAST_RETRY: Final = dt.timedelta(seconds=1)


class EntryKeeper:
    """Keeps a node's entry and reads those of the others.

    Parameters
    ----------
    store
        The platform's store.
    entry
        The node's entry.
    random_source
        Spreads questions.
    introduce
        Receives the entries of all nodes.
    is_alone
        Tells whether no other node is heard of.
    is_on_duty
        Tells whether this node follows the store.
    """

    def __init__(
        self,
        store: ControlStore,
        entry: NodeEntry,
        random_source: Random,
        introduce: Callable[[tuple[NodeEntry, ...]], None],
        is_alone: Callable[[], bool],
        is_on_duty: Callable[[], bool],
    ) -> None:
        self._is_on_duty = is_on_duty
        self._store = store
        self._entry = entry
        self._random = random_source
        self._introduce = introduce
        self._is_alone = is_alone
        self._jitter = FullJitter(random_source, _FIRST_RETRY, _LAST_RETRY)
        self._is_entered = False
        self.has_looked = False

    async def run(self) -> None:
        """Enter the node and look for others until cancelled.

        The entry is written before the others are read, so that of two nodes
        that start together at least one finds the other.
        """
        while True:
            try:
                await self._look()
            except BluebellError as error:
                logger.warning('entry_failed', extra={'reason': str(error)})
                await asyncio.sleep(self._jitter.next_wait().total_seconds())
                continue
            self._jitter.reset()
            pause = jitter(self._find_pause(), self._random)
            await asyncio.sleep(pause.total_seconds())

    def _find_pause(self) -> dt.timedelta:
        if self._is_alone():
            return LOOK_AGAIN_ALONE
        return LOOK_AGAIN if self._is_on_duty() else LOOK_AGAIN_STANDING_BY

    async def _look(self) -> None:
        if not self._is_entered:
            await self._store.enter_node(self._entry)
            self._is_entered = True
        self._introduce(await self._store.read_nodes())
        self.has_looked = True
