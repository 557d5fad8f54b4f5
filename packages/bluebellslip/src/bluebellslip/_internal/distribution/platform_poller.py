"""Relays poll the platform for changes that did not arrive from peers."""

import datetime as dt
import logging
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

import anyio

from bluebellslip._internal.distribution.config_puller import ConfigPuller
from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.publisher import ConfigPublisher
from bluebellslip._internal.distribution.pull_sources import PullSources
from bluebellslip._internal.distribution.relays import choose_relays
from bluebellslip._internal.distribution.revision_floor import HeadReader
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

_POLL_INTERVAL: Final = dt.timedelta(seconds=1)
_MAX_BACKOFF: Final = dt.timedelta(seconds=5)
_POLLS_PER_SEED_SYNC: Final = 30


class RelayRole:
    """Decides whether this node polls the platform for its failure domain.

    Parameters
    ----------
    node
        This node.
    locality
        Region and failure domain of this node.
    member_table
        The members.
    """

    def __init__(
        self, node: NodeId, locality: Locality, member_table: MemberTable
    ) -> None:
        self._node = node
        self._locality = locality
        self._member_table = member_table

    def is_relay(self) -> bool:
        """Return whether this node is a relay of its failure domain."""
        members = self._member_table.in_domain(self._locality)
        nodes = (self._node, *(member.node for member in members))
        return self._node in choose_relays(self._locality, nodes)


class PlatformPoller:
    """Polls the platform for newer configurations while this node is a relay.

    Parameters
    ----------
    relay_role
        Decides whether this node is a relay.
    head_reader
        Reads the row of the newest accepted configuration.
    objects
        The platform's object store.
    holder
        The applied configuration.
    publisher
        Applies fetched configurations and notifies other members.
    pull_sources
        Peers that may have a newer revision.
    random
        Source of randomness.
    counters
        Counters of events.
    """

    def __init__(
        self,
        relay_role: RelayRole,
        head_reader: HeadReader,
        objects: ObjectStore,
        holder: ConfigHolder,
        publisher: ConfigPublisher,
        pull_sources: PullSources,
        random: Random,
        counters: Counters,
    ) -> None:
        self._relay_role = relay_role
        self._head_reader = head_reader
        self._objects = objects
        self._holder = holder
        self._publisher = publisher
        self._pull_sources = pull_sources
        self._random = random
        self._counters = counters
        self._backoff = FullJitter(random, _POLL_INTERVAL, _MAX_BACKOFF)
        self._refused_digest = ''

    async def run(
        self,
        config_puller: ConfigPuller,
        sync_with_seeds: Callable[[], Awaitable[None]],
    ) -> None:
        """Poll until cancelled, and call ``sync_with_seeds`` regularly."""
        polls = 0
        while True:
            if self._relay_role.is_relay():
                await self._poll_once()
                config_puller.wake()
                if polls % _POLLS_PER_SEED_SYNC == 0:
                    await sync_with_seeds()
                polls += 1
            await anyio.sleep(
                jitter(_POLL_INTERVAL, self._random).total_seconds()
            )

    async def _poll_once(self) -> None:
        try:
            head = await self._head_reader.read()
        except BluebellError:
            self._counters.add('head_reads_failed')
            wait = self._backoff.next_wait()
            await anyio.sleep(wait.total_seconds())
            return
        self._backoff.reset()
        if head is not None and head.revision > self._holder.revision:
            await self._fetch(head)

    async def _fetch(self, head: HeadRow) -> None:
        # If the stored body cannot be used, peers are asked for theirs.
        self._pull_sources.record_revision(head.revision)
        if head.digest == self._refused_digest:
            return
        body = await self._read_object(head.digest)
        if body is not None:
            self._apply_body(body, head)

    async def _read_object(self, digest: str) -> bytes | None:
        self._counters.add('object_reads')
        try:
            return await self._objects.get(digest)
        except BluebellError:
            self._counters.add('object_reads_failed')
            return None

    def _apply_body(self, body: bytes, head: HeadRow) -> None:
        try:
            self._publisher.offer(body, head.digest)
        except InvalidConfigError:
            self._counters.add('objects_refused')
            self._refused_digest = head.digest
