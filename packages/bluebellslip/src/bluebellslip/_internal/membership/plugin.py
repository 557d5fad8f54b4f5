"""The plug-in that provides ``Membership``."""

import datetime as dt
import logging
from collections.abc import Callable
from typing import Final, Self

import anyio
from anyio.abc import TaskStatus

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.ports import PeerLink, TableService
from bluebellslip._internal.kernel.services import Membership
from bluebellslip._internal.membership.core import MembershipCore
from bluebellslip._internal.membership.record import compute_incarnation
from bluebellslip._internal.membership.seeds import Seeds
from bluebellslip._internal.membership.synchronizer import Synchronizer
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.membership.wiring import (
    connect_core,
    flush_core,
    watch_core,
)
from bluebellslip._internal.models.facts import (
    Backend,
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import Address

logger = logging.getLogger(__name__)

_FAREWELL: Final = dt.timedelta(milliseconds=200)


@plugins.register('membership')
class MembershipPlugin(Plugin):
    """Drives the state machines of membership.

    Parameters
    ----------
    context
        State that the plug-ins share.
    link
        Way to the peers.
    seeds
        Where the mesh may be found.
    times
        Periods of membership.
    """

    stage = Stage.STATE

    def __init__(
        self,
        context: Context,
        link: PeerLink,
        seeds: Seeds,
        times: MembershipTimes,
    ) -> None:
        self._context = context
        self._link = link
        self._times = times
        self.core = MembershipCore(
            context.facts,
            _describe(context),
            times,
            context.clock,
            context.random,
            context.counters,
            lambda: context.applied.revision,
        )
        self.synchronizer = Synchronizer(
            self.core, link, seeds, times, context.random, context.counters
        )
        self.seeds = seeds
        self._news = anyio.Event()
        connect_core(self.core, link)
        watch_core(self.core, context.counters)
        self._resumed: list[Callable[[], None]] = []
        context.facts.subscribe(Fact, self._wake)

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build membership and provide it."""
        settings = context.settings
        seeds = Seeds(
            context.node,
            context.peer_address,
            tuple(Address.from_text(seed) for seed in settings.seeds),
            context.ports.get(TableService),
            context.clock,
            context.counters,
        )
        membership = cls(
            context, context.ports.get(PeerLink), seeds, MembershipTimes()
        )
        context.ports.provide(Membership, membership)
        context.ports.provide(MembershipPlugin, membership)
        return membership

    @property
    def own_backend(self) -> Backend | None:
        """The backend server beside this node, while it is announced."""
        return self.core.record.fact.backend

    @property
    def draining(self) -> bool:
        """Whether the server beside this node is leaving."""
        return self.core.record.draining

    def announce(self, backend: Backend) -> None:
        """Take in an announcement; each one renews the server's lease."""
        self.core.record.announce(backend)
        self._flush()

    def leave(self) -> None:
        """Tell everyone that the server beside this node is leaving."""
        self.core.record.leave()
        self._flush()

    async def drain(self) -> None:
        """Say farewell when the work in flight has ended."""
        self.core.record.depart()
        self._flush()
        await anyio.sleep(_FAREWELL.total_seconds())

    def on_resume(self, listener: Callable[[], None]) -> None:
        """Call the listener after every pause of the node itself."""
        self._resumed.append(listener)

    async def meet_seeds(self) -> None:
        """Be found in the table, and meet those there who are unknown."""
        await self.seeds.renew()
        await self.synchronizer.meet(await self.seeds.find())

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Probe, gossip and exchange facts until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._tick_always)
            group.start_soon(self.synchronizer.run)
            group.start_soon(self.synchronizer.watch_seeds)
            task_status.started()

    async def _tick_always(self) -> None:
        while True:
            if self.core.tick():
                logger.info('resumed after a pause')
                self.synchronizer.hurry()
                for listener in self._resumed:
                    listener()
            self._flush()
            self._news = anyio.Event()
            with anyio.move_on_after(self._times.tick.total_seconds()):
                await self._news.wait()

    def _wake(self, fact: Fact) -> None:
        if fact.urgent:
            self._news.set()

    def _flush(self) -> None:
        flush_core(self.core, self._link)


def _describe(context: Context) -> MemberFact:
    return MemberFact(
        node=context.node,
        incarnation=compute_incarnation(context.clock),
        status=MemberStatus.ALIVE,
        changed=0,
        locality=context.locality,
        peer=context.peer_address,
        ingress=Address.from_text(context.settings.listen.ingress),
        applied=0,
    )
