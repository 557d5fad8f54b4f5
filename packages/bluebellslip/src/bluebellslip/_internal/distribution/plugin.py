"""The plug-in that provides ``Distribution``."""

from typing import Final, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.distribution.catching_up import CatchUp
from bluebellslip._internal.distribution.floors import (
    FloorFinder,
    HeadReader,
)
from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import (
    FloorReply,
    FloorRequest,
    Notice,
    PullReply,
    PullRequest,
)
from bluebellslip._internal.distribution.puller import Puller
from bluebellslip._internal.distribution.source import (
    RelayRank,
    SourcePoller,
)
from bluebellslip._internal.distribution.spreader import Spreader
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.ports import (
    ObjectStore,
    PeerLink,
    TableService,
)
from bluebellslip._internal.kernel.services import Distribution
from bluebellslip._internal.membership.plugin import MembershipPlugin
from bluebellslip._internal.models.facts import HeadFact
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.buckets import TokenBucket

_SNAPSHOTS_PER_SECOND: Final = 4.0
_SNAPSHOT_BURST: Final = 8.0


@plugins.register('distribution')
class DistributionPlugin(Plugin):
    """Brings accepted configurations into force here and spreads them.

    Parameters
    ----------
    context
        State that the plug-ins share.
    membership
        The members.
    link
        Way to the peers.
    """

    stage = Stage.STATE

    def __init__(
        self,
        context: Context,
        membership: MembershipPlugin,
        link: PeerLink,
    ) -> None:
        self._context = context
        self._membership = membership
        self._link = link
        roster = membership.core.member_table
        counters = context.counters
        self._puller = Puller(context.clock, context.random)
        self._holder = ConfigHolder(
            context.applied,
            TokenBucket(context.clock, _SNAPSHOTS_PER_SECOND, _SNAPSHOT_BURST),
            counters,
        )
        self._spreader = Spreader(
            context.node,
            self._holder,
            self._puller,
            context.facts,
            roster,
            context.random,
            counters,
        )
        self._catch_up = CatchUp(
            context,
            self._holder,
            self._spreader,
            self._puller,
            roster,
            link,
        )
        heads = HeadReader(context.ports.get(TableService), counters)
        self._floors = FloorFinder(
            context.node,
            context.applied,
            heads,
            roster,
            membership.seeds.configured,
            link,
            context.random,
        )
        self._poller = SourcePoller(
            RelayRank(context.node, context.locality, roster),
            heads,
            context.ports.get(ObjectStore),
            self._holder,
            self._spreader,
            self._puller,
            context.random,
            counters,
        )
        self._resumed = anyio.Event()
        self._connect()

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build distribution and provide it."""
        distribution = cls(
            context,
            context.ports.get(MembershipPlugin),
            context.ports.get(PeerLink),
        )
        context.ports.provide(Distribution, distribution)
        return distribution

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check, apply and spread a stored body."""
        snapshot = self._spreader.offer(body, digest)
        self._spreader.outbox.send_all(self._link)
        return snapshot

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Settle the floor, then follow peers and platform."""
        async with anyio.create_task_group() as group:
            task_status.started()
            # Members that are known by then are asked as well.
            await self._membership.synchronizer.wait_join_attempted()
            self._puller.note(await self._floors.settle())
            self._spreader.settle()
            group.start_soon(self._catch_up.run)
            group.start_soon(self._refresh_always)
            group.start_soon(
                self._poller.run,
                self._catch_up,
                self._membership.sync_with_seeds,
            )

    async def _refresh_always(self) -> None:
        # After a pause what is in force here may be old; until the node has
        # caught up with the floor that is found, it serves nothing.
        while True:
            await self._resumed.wait()
            self._resumed = anyio.Event()
            self._puller.note(await self._floors.settle())
            self._catch_up.wake()

    def _on_resume(self) -> None:
        self._resumed.set()

    def _connect(self) -> None:
        self._membership.on_resume(self._on_resume)
        self._link.on_datagram(Notice, self._on_notice)
        self._link.on_request(PullRequest, self._answer_pull)
        self._link.on_request(FloorRequest, self._answer_floor)
        self._membership.core.applied_revisions.subscribe(self._on_revision)
        self._context.facts.subscribe(HeadFact, self._on_head)

    def _on_notice(self, notice: Notice, sender: Address) -> None:
        self._spreader.on_notice(notice, sender)
        self._spreader.outbox.send_all(self._link)
        self._catch_up.wake()

    def _on_revision(self, node: NodeId, revision: int) -> None:
        if revision <= self._holder.revision:
            return
        member = self._membership.core.member_table.find(node)
        self._puller.note(revision, member.peer if member else None)
        self._catch_up.wake()

    def _on_head(self, fact: HeadFact) -> None:
        if fact.revision > self._holder.revision:
            self._puller.note(fact.revision)
            self._catch_up.wake()

    async def _answer_pull(self, request: PullRequest) -> PullReply:
        return self._holder.answer(request)

    async def _answer_floor(self, request: FloorRequest) -> FloorReply:
        remembered = self._membership.core.applied_revisions.find(
            request.sender
        )
        return FloorReply(
            sender=self._context.node,
            revision=max(
                self._puller.wanted, remembered, self._holder.revision
            ),
            settled=self._spreader.settled,
        )
