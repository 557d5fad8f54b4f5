"""Enters a node into the store and finds the others there."""

import asyncio
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.control.ports import ControlStore, NodeRegistration
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.utils.backoff import FullJitter, jitter

logger = logging.getLogger(__name__)

# Nodes tell each other of themselves; the store is asked again only in case
# two began to know of each other too late. Nodes that follow the store look
# more often, and tell the others.
POLL_INTERVAL: Final = dt.timedelta(seconds=30)
STANDBY_POLL_INTERVAL: Final = dt.timedelta(seconds=120)
# While no other node is heard of, the store is the only way to find one.
ISOLATED_POLL_INTERVAL: Final = dt.timedelta(seconds=2)
_MIN_RETRY_BOUND: Final = dt.timedelta(milliseconds=200)
_MAX_RETRY_BOUND: Final = dt.timedelta(seconds=1)


class PeerDiscovery:
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
        registration: NodeRegistration,
        random_source: Random,
        on_nodes_read: Callable[[tuple[NodeRegistration, ...]], None],
        has_no_live_peers: Callable[[], bool],
        should_watch_store: Callable[[], bool],
    ) -> None:
        self._should_watch_store = should_watch_store
        self._store = store
        self._registration = registration
        self._random = random_source
        self._on_nodes_read = on_nodes_read
        self._has_no_live_peers = has_no_live_peers
        self._jitter = FullJitter(
            random_source, _MIN_RETRY_BOUND, _MAX_RETRY_BOUND
        )
        self._is_registered = False
        self.has_read_nodes = False

    async def run(self) -> None:
        """Enter the node and look for others until cancelled.

        The entry is written before the others are read, so that of two nodes
        that start together at least one finds the other.
        """
        while True:
            try:
                await self._poll()
            except BluebellError as error:
                logger.warning('entry_failed', extra={'reason': str(error)})
                await asyncio.sleep(self._jitter.next_wait().total_seconds())
                continue
            self._jitter.reset()
            pause = jitter(self._poll_interval(), self._random)
            await asyncio.sleep(pause.total_seconds())

    def _poll_interval(self) -> dt.timedelta:
        if self._has_no_live_peers():
            return ISOLATED_POLL_INTERVAL
        return (
            POLL_INTERVAL
            if self._should_watch_store()
            else STANDBY_POLL_INTERVAL
        )

    async def _poll(self) -> None:
        if not self._is_registered:
            await self._store.register_node(self._registration)
            self._is_registered = True
        self._on_nodes_read(await self._store.read_nodes())
        self.has_read_nodes = True
