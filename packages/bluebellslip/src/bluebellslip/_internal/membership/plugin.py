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
from bluebellslip._internal.membership.own_record import compute_incarnation
from bluebellslip._internal.membership.seeds import SeedDiscovery
from bluebellslip._internal.membership.synchronizer import Synchronizer
from bluebellslip._internal.membership.times import MembershipTimes
from bluebellslip._internal.membership.wiring import (
    connect_core,
    flush_messages,
    register_gauges,
)
from bluebellslip._internal.models.facts import (
    Backend,
    Fact,
    MemberFact,
    MemberStatus,
)
from bluebellslip._internal.models.identity import Address

logger = logging.getLogger(__name__)

# Time to send the departure to the members before the node stops.
_DEPARTURE_DELAY: Final = dt.timedelta(milliseconds=200)
_END_TIME: Final = dt.timedelta(milliseconds=250)


@plugins.register('membership')
class MembershipPlugin(Plugin):
    """Drives the state machines of membership.

    Parameters
    ----------
    context
        State that the plug-ins share.
    link
        Transport to the peers.
    seeds
        Addresses through which the mesh can be joined.
    times
        Intervals and timeouts of membership.
    """

    stage = Stage.STATE
    end_time = _END_TIME

    def __init__(
        self,
        context: Context,
        link: PeerLink,
        seeds: SeedDiscovery,
        times: MembershipTimes,
    ) -> None:
        self._context = context
        self._link = link
        self._times = times
        self.core = MembershipCore(
            context.facts,
            _make_initial_record(context),
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
        self._urgent_fact = anyio.Event()
        connect_core(self.core, link)
        register_gauges(self.core, context.counters)
        self._resume_listeners: list[Callable[[], None]] = []
        context.facts.subscribe(Fact, self._wake_on_urgent)

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build membership and provide it."""
        settings = context.settings
        seeds = SeedDiscovery(
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
        return self.core.own_record.fact.backend

    @property
    def draining(self) -> bool:
        """Whether the server beside this node is draining."""
        return self.core.own_record.draining

    def announce(self, backend: Backend) -> None:
        """Apply an announcement; each one renews the server's lease."""
        self.core.own_record.announce(backend)
        self._flush()

    def leave(self) -> None:
        """Announce to all members that the local server is draining."""
        self.core.own_record.mark_draining()
        self._flush()

    async def end(self) -> None:
        """Announce the node's departure, after its calls have ended."""
        self.core.own_record.mark_departed()
        self._flush()
        await anyio.sleep(_DEPARTURE_DELAY.total_seconds())

    def on_resume(self, listener: Callable[[], None]) -> None:
        """Call the listener after every pause of this node."""
        self._resume_listeners.append(listener)

    async def sync_with_seeds(self) -> None:
        """Register in the table and sync with unknown nodes found there."""
        await self.seeds.register()
        await self.synchronizer.sync_unknown(await self.seeds.read_registered())

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Probe, gossip and exchange facts until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_ticks)
            group.start_soon(self.synchronizer.run)
            group.start_soon(self.synchronizer.sync_seeds_periodically)
            task_status.started()

    async def _run_ticks(self) -> None:
        while True:
            if self.core.tick():
                logger.info('resumed after a pause')
                self.synchronizer.request_sync()
                for listener in self._resume_listeners:
                    listener()
            self._flush()
            self._urgent_fact = anyio.Event()
            with anyio.move_on_after(self._times.tick_interval.total_seconds()):
                await self._urgent_fact.wait()

    def _wake_on_urgent(self, fact: Fact) -> None:
        if fact.urgent:
            self._urgent_fact.set()

    def _flush(self) -> None:
        flush_messages(self.core, self._link)


def _make_initial_record(context: Context) -> MemberFact:
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
