"""The plug-in that provides ``Distribution``."""

from typing import Final, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.distribution.config_puller import ConfigPuller
from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import (
    FloorReply,
    FloorRequest,
    Notice,
    PullReply,
    PullRequest,
)
from bluebellslip._internal.distribution.platform_poller import (
    PlatformPoller,
    RelayRole,
)
from bluebellslip._internal.distribution.publisher import ConfigPublisher
from bluebellslip._internal.distribution.pull_sources import PullSources
from bluebellslip._internal.distribution.revision_floor import (
    FloorFinder,
    HeadReader,
)
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
    """Applies accepted configurations and distributes them to peers.

    Parameters
    ----------
    context
        State shared by the plug-ins.
    membership
        The membership plug-in.
    link
        Transport to the peers.
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
        member_table = membership.core.member_table
        counters = context.counters
        self._pull_sources = PullSources(context.clock, context.random)
        self._holder = ConfigHolder(
            context.applied,
            TokenBucket(context.clock, _SNAPSHOTS_PER_SECOND, _SNAPSHOT_BURST),
            counters,
        )
        self._publisher = ConfigPublisher(
            context.node,
            self._holder,
            self._pull_sources,
            context.facts,
            member_table,
            context.random,
            counters,
        )
        self._config_puller = ConfigPuller(
            context,
            self._holder,
            self._publisher,
            self._pull_sources,
            member_table,
            link,
        )
        head_reader = HeadReader(context.ports.get(TableService), counters)
        self._floor_finder = FloorFinder(
            context.node,
            context.applied,
            head_reader,
            member_table,
            membership.seeds.configured,
            link,
            context.random,
        )
        self._poller = PlatformPoller(
            RelayRole(context.node, context.locality, member_table),
            head_reader,
            context.ports.get(ObjectStore),
            self._holder,
            self._publisher,
            self._pull_sources,
            context.random,
            counters,
        )
        self._resumed = anyio.Event()
        self._register_handlers()

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the plug-in and provide it as ``Distribution``."""
        distribution = cls(
            context,
            context.ports.get(MembershipPlugin),
            context.ports.get(PeerLink),
        )
        context.ports.provide(Distribution, distribution)
        return distribution

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check a stored body, apply it and distribute it to other nodes."""
        snapshot = self._publisher.offer(body, digest)
        self._publisher.outbox.send_all(self._link)
        return snapshot

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Find the revision floor, then pull from peers and the platform."""
        async with anyio.create_task_group() as group:
            task_status.started()
            # After the first attempt to join, more members can be asked for
            # the floor.
            await self._membership.synchronizer.wait_join_attempted()
            self._pull_sources.record_revision(
                await self._floor_finder.find_floor()
            )
            self._publisher.mark_floor_known()
            group.start_soon(self._config_puller.run)
            group.start_soon(self._refresh_floor_on_resume)
            group.start_soon(
                self._poller.run,
                self._config_puller,
                self._membership.sync_with_seeds,
            )

    async def _refresh_floor_on_resume(self) -> None:
        # After a pause of the process, the applied configuration may be old.
        # Once the new floor is found, the node serves nothing below it.
        while True:
            await self._resumed.wait()
            self._resumed = anyio.Event()
            self._pull_sources.record_revision(
                await self._floor_finder.find_floor()
            )
            self._config_puller.wake()

    def _on_resume(self) -> None:
        self._resumed.set()

    def _register_handlers(self) -> None:
        self._membership.on_resume(self._on_resume)
        self._link.on_datagram(Notice, self._on_notice)
        self._link.on_request(PullRequest, self._handle_pull_request)
        self._link.on_request(FloorRequest, self._handle_floor_request)
        self._membership.core.applied_revisions.subscribe(self._on_revision)
        self._context.facts.subscribe(HeadFact, self._on_head)

    def _on_notice(self, notice: Notice, sender: Address) -> None:
        self._publisher.on_notice(notice, sender)
        self._publisher.outbox.send_all(self._link)
        self._config_puller.wake()

    def _on_revision(self, node: NodeId, revision: int) -> None:
        if revision <= self._holder.revision:
            return
        member = self._membership.core.member_table.find(node)
        self._pull_sources.record_revision(
            revision, member.peer if member else None
        )
        self._config_puller.wake()

    def _on_head(self, fact: HeadFact) -> None:
        if fact.revision > self._holder.revision:
            self._pull_sources.record_revision(fact.revision)
            self._config_puller.wake()

    async def _handle_pull_request(self, request: PullRequest) -> PullReply:
        return self._holder.handle_pull(request)

    async def _handle_floor_request(self, request: FloorRequest) -> FloorReply:
        requester_revision = self._membership.core.applied_revisions.find(
            request.sender
        )
        return FloorReply(
            sender=self._context.node,
            revision=max(
                self._pull_sources.highest_known,
                requester_revision,
                self._holder.revision,
            ),
            settled=self._publisher.is_floor_known,
        )
