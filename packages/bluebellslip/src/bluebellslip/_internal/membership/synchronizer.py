"""Anti-entropy with peers, and joining the mesh."""

import datetime as dt
import logging
from random import Random
from typing import Final

import anyio

from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import PeerLink
from bluebellslip._internal.membership.core import MembershipCore
from bluebellslip._internal.membership.messages import (
    SyncFacts,
    SyncSummary,
)
from bluebellslip._internal.membership.seeds import SeedDiscovery
from bluebellslip._internal.membership.selection import (
    is_live_address,
    pick_members,
)
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.utils.backoff import FullJitter, jitter

logger = logging.getLogger(__name__)

_REQUEST_TIMEOUT: Final = dt.timedelta(seconds=2)
_MAX_ROUNDS: Final = 8  # consecutive exchanges with one peer
_THROTTLED_SYNC_INTERVAL: Final = dt.timedelta(milliseconds=500)
_INITIAL_JOIN_BACKOFF: Final = dt.timedelta(milliseconds=200)
_MAX_JOIN_BACKOFF: Final = dt.timedelta(seconds=5)


class Synchronizer:
    """Keeps the store of facts in sync with those of the peers.

    Parameters
    ----------
    core
        The state machines of the node's membership.
    link
        Transport to the peers.
    seeds
        Addresses through which the mesh can be joined.
    times
        Intervals and timeouts of membership.
    random
        Source of randomness.
    counters
        Where events are counted.
    """

    def __init__(
        self,
        core: MembershipCore,
        link: PeerLink,
        seeds: SeedDiscovery,
        times: MembershipTimes,
        random: Random,
        counters: Counters,
    ) -> None:
        self._core = core
        self._link = link
        self._seeds = seeds
        self._times = times
        self._random = random
        self._counters = counters
        self._is_throttled = False
        self._sync_requested = anyio.Event()
        self._join_attempted = anyio.Event()

    async def wait_join_attempted(self) -> None:
        """Wait until the mesh is joined or every seed was tried once."""
        await self._join_attempted.wait()

    def request_sync(self) -> None:
        """Start the next exchange immediately."""
        self._sync_requested.set()

    async def run(self) -> None:
        """Join the mesh, then exchange facts until cancelled."""
        while True:
            if not self._core.member_table.live_count:
                await self._join()
            self._join_attempted.set()
            await self._sync_member()
            period = (
                _THROTTLED_SYNC_INTERVAL
                if self._is_throttled
                else self._times.sync_interval
            )
            wait = jitter(period, self._random)
            with anyio.move_on_after(wait.total_seconds()):
                await self._sync_requested.wait()
            self._sync_requested = anyio.Event()

    async def sync_seeds_periodically(self) -> None:
        """Periodically contact the configured seeds that are not live members.

        Two parts of a partitioned mesh that have forgotten each other's
        members find each other again this way.
        """
        while True:
            wait = jitter(self._times.seed_interval, self._random)
            await anyio.sleep(wait.total_seconds())
            await self.sync_unknown(self._seeds.configured)

    async def sync_unknown(self, addresses: tuple[Address, ...]) -> None:
        """Exchange facts with the addresses that belong to no live member."""
        for address in addresses:
            if not is_live_address(self._core.member_table, address):
                await self.sync(address)

    async def sync(self, address: Address) -> bool:
        """Exchange facts with a peer in up to ``_MAX_ROUNDS`` rounds.

        Returns false if an exchange failed.
        """
        try:
            return await self._sync_rounds(address)
        except (TimeoutError, PeerGarbledError):
            self._counters.add('syncs_failed')
            return False

    async def _join(self) -> None:
        backoff = FullJitter(
            self._random, _INITIAL_JOIN_BACKOFF, _MAX_JOIN_BACKOFF
        )
        while not self._core.member_table.live_count:
            if not await self._sync_first(self._seeds.configured):
                await self._sync_first(await self._seeds.read_registered())
            self._join_attempted.set()
            await anyio.sleep(backoff.next_wait().total_seconds())
        logger.info('joined', extra={'node': self._core.node})

    async def _sync_first(self, addresses: tuple[Address, ...]) -> bool:
        order = self._random.sample(addresses, len(addresses))
        for address in order:
            if await self.sync(address):
                return True
        return False

    async def _sync_member(self) -> None:
        for member in pick_members(self._core.member_table, 1, self._random):
            await self.sync(member.peer)

    async def _sync_rounds(self, address: Address) -> bool:
        for _ in range(_MAX_ROUNDS):
            if not await self._sync_once(address):
                return True
        return True

    async def _sync_once(self, address: Address) -> bool:
        self._counters.add('syncs')
        summary = await self._link.ask(
            address, self._core.sync_protocol.make_request(), _REQUEST_TIMEOUT
        )
        if not isinstance(summary, SyncSummary):
            raise PeerGarbledError(
                'A peer answered SyncRequest with a message other than '
                'SyncSummary.'
            )
        exchange = self._core.sync_protocol.handle_summary(summary)
        if exchange is None:
            return False
        reply = await self._link.ask(address, exchange, _REQUEST_TIMEOUT)
        if not isinstance(reply, SyncFacts):
            raise PeerGarbledError(
                'A peer answered SyncExchange with a message other than '
                'SyncFacts.'
            )
        merged = self._core.fact_receiver.receive(reply.facts)
        self._is_throttled = reply.retry_after is not None
        return merged > 0 and not self._is_throttled
