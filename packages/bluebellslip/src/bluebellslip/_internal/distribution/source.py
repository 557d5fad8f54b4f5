"""The safety net: relays look at the platform itself."""

import datetime as dt
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import anyio

from bluebellslip._internal.distribution.catching_up import CatchUp
from bluebellslip._internal.distribution.floors import HeadReader
from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.puller import Puller
from bluebellslip._internal.distribution.relays import choose_relays
from bluebellslip._internal.distribution.spreader import Spreader
from bluebellslip._internal.exceptions import (
    BluebellError,
    InvalidConfigError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import ObjectStore
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.models.identity import Locality, NodeId
from bluebellslip._internal.models.rows import HeadRow
from bluebellslip._internal.utils.backoff import FullJitter, jitter

logger = logging.getLogger(__name__)

_POLL: Final = dt.timedelta(seconds=1)
_MOST_WAIT: Final = dt.timedelta(seconds=5)
_MEET_EVERY: Final = 30  # polls between two looks at the table's seeds


class RelayRank:
    """Whether this node looks at the platform for its failure domain.

    Parameters
    ----------
    own
        The node itself.
    locality
        Where it stands.
    roster
        The members.
    """

    def __init__(
        self, own: NodeId, locality: Locality, roster: MemberTable
    ) -> None:
        self._own = own
        self._locality = locality
        self._roster = roster

    def is_relay(self) -> bool:
        """Tell whether the node is among its domain's relays."""
        members = self._roster.in_domain(self._locality)
        nodes = (self._own, *(member.node for member in members))
        return self._own in choose_relays(self._locality, nodes)


class SourcePoller:
    """Polls the head while this node is a relay.

    Parameters
    ----------
    rank
        Tells whether the node is a relay.
    heads
        Reader of the table's head.
    objects
        The platform's object store.
    holder
        The configuration in force.
    spreader
        Where what was fetched is applied and told on.
    puller
        Keeper of who has something newer.
    random
        Source of randomness.
    counters
        Where events are counted.
    """

    def __init__(
        self,
        rank: RelayRank,
        heads: HeadReader,
        objects: ObjectStore,
        holder: ConfigHolder,
        spreader: Spreader,
        puller: Puller,
        random: Random,
        counters: Counters,
    ) -> None:
        self._rank = rank
        self._heads = heads
        self._objects = objects
        self._holder = holder
        self._spreader = spreader
        self._puller = puller
        self._random = random
        self._counters = counters
        self._backoff = FullJitter(random, _POLL, _MOST_WAIT)
        self._refused = ''

    async def run(
        self, catch_up: CatchUp, meet_seeds: Callable[[], Awaitable[None]]
    ) -> None:
        """Poll for ever, and now and then look for seeds in the table."""
        polls = 0
        while True:
            if self._rank.is_relay():
                await self._poll_once()
                catch_up.wake()
                if polls % _MEET_EVERY == 0:
                    await meet_seeds()
                polls += 1
            await anyio.sleep(jitter(_POLL, self._random).total_seconds())

    async def _poll_once(self) -> None:
        try:
            head = await self._heads.read()
        except BluebellError:
            self._counters.add('head_reads_failed')
            wait = self._backoff.next_wait()
            await anyio.sleep(wait.total_seconds())
            return
        self._backoff.reset()
        if head is not None and head.revision > self._holder.revision:
            await self._fetch(head)

    async def _fetch(self, head: HeadRow) -> None:
        # Where the store's copy can't be used, peers are asked.
        self._puller.note(head.revision)
        if head.digest == self._refused:
            return
        body = await self._get(head.digest)
        if body is not None:
            self._take(body, head)

    async def _get(self, digest: str) -> bytes | None:
        self._counters.add('object_reads')
        try:
            return await self._objects.get(digest)
        except BluebellError:
            self._counters.add('object_reads_failed')
            return None

    def _take(self, body: bytes, head: HeadRow) -> None:
        try:
            self._spreader.offer(body, head.digest)
        except InvalidConfigError:
            self._counters.add('objects_refused')
            self._refused = head.digest
