"""Registers a node in the store and discovers the other nodes there."""

import asyncio
import dataclasses
import datetime as dt
import logging
from collections.abc import Callable
from random import Random
from typing import Final

from bluebellslip._internal.control.ports import ControlStore, NodeRegistration
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.utils.backoff import FullJitter, jitter

logger = logging.getLogger(__name__)

# Nodes learn of each other from beacons; the store is polled again only in
# case two nodes missed each other at start. Nodes that watch the store poll
# more often than those on standby, which learn of new nodes through them.
POLL_INTERVAL: Final = dt.timedelta(seconds=30)
STANDBY_POLL_INTERVAL: Final = dt.timedelta(seconds=120)
# Without a live peer, the store is the only way to find other nodes.
ISOLATED_POLL_INTERVAL: Final = dt.timedelta(seconds=2)
# Over this time the nodes of a mesh register again after the store has lost
# data: 1,500 nodes then write 300 rows a second.
REGISTRATION_SPREAD: Final = dt.timedelta(seconds=5)
# How long the acknowledgement of a departure waits for the store; it is late
# after a second.
STORE_DEPARTURE_TIMEOUT: Final = dt.timedelta(milliseconds=300)
# Departures that a registration keeps. There is one server beside a node, and
# only its last lives can still be named by delayed heartbeats.
MAX_DEPARTED: Final = 2
_MIN_RETRY_BOUND: Final = dt.timedelta(milliseconds=200)
_MAX_RETRY_BOUND: Final = dt.timedelta(seconds=1)


class PeerDiscovery:
    """Registers a node and polls the store for other nodes.

    Parameters
    ----------
    store
        The platform's store.
    registration
        The node's own registration.
    random_source
        Source of jitter for polls and retries.
    on_nodes_read
        Receives the registrations of all nodes after each poll.
    has_no_live_peers
        Returns whether no peer is known to be alive.
    should_watch_store
        Returns whether this node has to watch the store.
    on_departures_read
        Receives the departures that an earlier life of the node has stored, or
        nothing if the store could not be reached.
    """

    def __init__(
        self,
        store: ControlStore,
        registration: NodeRegistration,
        random_source: Random,
        on_nodes_read: Callable[[tuple[NodeRegistration, ...]], None],
        has_no_live_peers: Callable[[], bool],
        should_watch_store: Callable[[], bool],
        on_departures_read: Callable[[tuple[Lifetime, ...]], None],
    ) -> None:
        self._on_departures_read = on_departures_read
        self._write_lock = asyncio.Lock()
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
        self._has_unstored_departure = False
        self._era = 0
        self._registers_again = asyncio.Event()
        self._must_spread = False
        self.has_read_nodes = False

    def apply_restore(self, era: int) -> None:
        """Register the node again soon, since the store may have lost it.

        Parameters
        ----------
        era
            The store's era that began with the restore.
        """
        if era <= self._era:
            return
        self._era = era
        self._is_registered = False
        # The revision of the row is from the earlier era.
        self._registration = dataclasses.replace(self._registration, revision=0)
        self._must_spread = True
        self._registers_again.set()

    def apply_peer_era(self, era: int) -> None:
        """Register again if a peer's beacon has a later era of the store.

        A node that knows no era yet learns the latest when it registers.
        """
        if 0 < self._store.era < era:
            self.apply_restore(era)

    def record_departure(self, lifetime: Lifetime) -> None:
        """Note that the server beside the node has left, or is about to."""
        departed = self._registration.departed
        if lifetime in departed:
            return
        self._registration = dataclasses.replace(
            self._registration,
            departed=(*departed, lifetime)[-MAX_DEPARTED:],
        )
        self._is_registered = False
        self._has_unstored_departure = True

    async def store_departures(self) -> None:
        """Write the departures that are not stored yet, if the store responds.

        After ``STORE_DEPARTURE_TIMEOUT`` the node goes on without: its peers
        know of them too. It tries again until the departures are stored.
        """
        if not self._has_unstored_departure:
            return
        try:
            async with asyncio.timeout(STORE_DEPARTURE_TIMEOUT.total_seconds()):
                await self._register()
        except (BluebellError, TimeoutError) as error:
            logger.warning('departure_not_stored', extra={'reason': str(error)})
            self._registers_again.set()

    async def run(self) -> None:
        """Register the node, then poll for other nodes until cancelled.

        The node registers before its first read, so that of two nodes that
        start at the same time at least one finds the other.
        """
        while True:
            try:
                await self._poll()
            except BluebellError as error:
                logger.warning('entry_failed', extra={'reason': str(error)})
                await asyncio.sleep(self._jitter.next_wait().total_seconds())
                continue
            self._jitter.reset()
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next poll, or for the turn to register again."""
        pause = jitter(self._poll_interval(), self._random)
        try:
            async with asyncio.timeout(pause.total_seconds()):
                await self._registers_again.wait()
        except TimeoutError:
            return
        self._registers_again.clear()
        pause = self._jitter.next_wait()
        if self._must_spread:
            self._must_spread = False
            pause = REGISTRATION_SPREAD * self._random.random()
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
            await self._register()
        self._on_nodes_read(await self._store.read_nodes())
        self.has_read_nodes = True

    async def _register(self) -> None:
        async with self._write_lock:
            if self._is_registered:
                return
            # A restore or a departure during the call sets the flag back.
            self._is_registered = True
            try:
                stored = await self._store.register_node(self._registration)
            except BaseException:
                self._is_registered = False
                self._on_departures_read(())
                raise
            if self._is_registered:
                self._has_unstored_departure = False
                self._registers_again.clear()
            earlier = set(stored.departed) - set(self._registration.departed)
            self._registration = dataclasses.replace(
                stored,
                departed=_join(stored.departed, self._registration.departed),
            )
            self._on_departures_read(tuple(earlier))


def _join(
    stored: tuple[Lifetime, ...], known: tuple[Lifetime, ...]
) -> tuple[Lifetime, ...]:
    return tuple(dict.fromkeys(stored + known))[-MAX_DEPARTED:]
