"""Pulls from peers the newer configurations that notices did not deliver."""

import datetime as dt
import enum
import math
from typing import Final

import anyio
from anyio.abc import TaskGroup

from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import (
    PullReply,
    PullRequest,
)
from bluebellslip._internal.distribution.publisher import ConfigPublisher
from bluebellslip._internal.distribution.pull_sources import (
    PULL_TIMEOUT,
    PullSources,
)
from bluebellslip._internal.exceptions import (
    InvalidConfigError,
    PeerGarbledError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import PeerLink
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.membership.selection import pick_members
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.utils.digests import compute_digest

_RANDOM_PEER_COUNT: Final = 3  # used if no known source can be asked
_MAX_CONCURRENT_PULLS: Final = 3
_HEDGE_DELAY: Final = dt.timedelta(milliseconds=400)
_MIN_RETRY_DELAY: Final = dt.timedelta(milliseconds=20)


@enum.unique
class PullResult(enum.Enum):
    """Result of a pull from one peer."""

    NEWER = 'newer'
    DEFERRED = 'deferred'
    NOTHING = 'nothing'


class ConfigPuller:
    """Pulls from peers until no newer revision is known.

    While one peer is slow to reply, another one is asked as well.

    Parameters
    ----------
    context
        State shared by the plug-ins.
    holder
        The applied configuration.
    publisher
        Applies pulled configurations and notifies other members.
    pull_sources
        Peers that may have a newer revision.
    member_table
        The members.
    link
        Transport to the peers.
    """

    def __init__(
        self,
        context: Context,
        holder: ConfigHolder,
        publisher: ConfigPublisher,
        pull_sources: PullSources,
        member_table: MemberTable,
        link: PeerLink,
    ) -> None:
        self._node = context.node
        self._holder = holder
        self._publisher = publisher
        self._pull_sources = pull_sources
        self._member_table = member_table
        self._random = context.random
        self._link = link
        self._clock = context.clock
        self._counters = context.counters
        self._needs_full_snapshot = False
        self._running_pulls = 0
        self._hedge_at = context.clock.elapsed()
        self._next_random_peers_at = context.clock.elapsed()
        self._wakeup = anyio.Event()

    def wake(self) -> None:
        """Make ``run`` check again whether a newer revision is known."""
        self._wakeup.set()

    async def run(self) -> None:
        """Pull whenever a newer revision is known, until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                if self._is_behind():
                    await self._wait(self._start_pull(group))
                    continue
                self._pull_sources.reset_backoff()
                self._next_random_peers_at = self._clock.elapsed()
                await self._wait(None)

    async def pull(self, source: Address) -> PullResult:
        """Request newer revisions from one peer and apply them."""
        before = self._holder.revision
        try:
            reply = await self._send_request(source)
        except (TimeoutError, PeerGarbledError):
            self._counters.add('pulls_failed')
            return PullResult.NOTHING
        if reply.retry_after is not None:
            self._pull_sources.defer(source, reply.retry_after)
            return PullResult.DEFERRED
        self._apply_reply(reply)
        self._publisher.outbox.send_all(self._link)
        if self._holder.revision > before:
            return PullResult.NEWER
        return PullResult.NOTHING

    def _is_behind(self) -> bool:
        return self._publisher.is_floor_known and self._pull_sources.is_behind(
            self._holder.revision
        )

    def _start_pull(self, group: TaskGroup) -> dt.timedelta | None:
        """Start a pull if one is due.

        Returns the time until the next check; None to wait for ``wake``.
        """
        now = self._clock.elapsed()
        if self._running_pulls and now < self._hedge_at:
            return self._hedge_at - now
        source = None
        if self._running_pulls < _MAX_CONCURRENT_PULLS:
            source = self._pull_sources.choose_source(self._holder.revision)
        if source is not None:
            self._running_pulls += 1
            self._hedge_at = now + _HEDGE_DELAY
            group.start_soon(self._pull_from, source)
            return _HEDGE_DELAY
        if self._running_pulls:
            return None
        if now >= self._next_random_peers_at:
            self._add_random_sources()
            self._next_random_peers_at = (
                now + self._pull_sources.next_wait() + _MIN_RETRY_DELAY
            )
        return self._next_random_peers_at - now

    async def _pull_from(self, source: Address) -> None:
        outcome = await self.pull(source)
        self._running_pulls -= 1
        if outcome is PullResult.NEWER:
            self._pull_sources.reset_backoff()
        elif outcome is PullResult.NOTHING:
            self._pull_sources.drop(source)
        self.wake()

    def _add_random_sources(self) -> None:
        for member in pick_members(
            self._member_table, _RANDOM_PEER_COUNT, self._random
        ):
            self._pull_sources.record_revision(
                self._pull_sources.highest_known, member.peer
            )

    async def _wait(self, period: dt.timedelta | None) -> None:
        seconds = math.inf if period is None else period.total_seconds()
        with anyio.move_on_after(seconds):
            await self._wakeup.wait()
        self._wakeup = anyio.Event()

    async def _send_request(self, source: Address) -> PullReply:
        self._counters.add('pulls')
        request = PullRequest(
            self._node,
            0 if self._needs_full_snapshot else self._holder.revision,
        )
        self._needs_full_snapshot = False
        reply = await self._link.ask(source, request, PULL_TIMEOUT)
        if not isinstance(reply, PullReply):
            raise PeerGarbledError('Unexpected reply to a pull request.')
        return reply

    def _apply_reply(self, reply: PullReply) -> None:
        if reply.body is not None:
            self._apply_body(reply, reply.body)
        elif reply.deltas and not self._publisher.apply_deltas(reply.deltas):
            self._counters.add('pulls_refused')
            self._needs_full_snapshot = True

    def _apply_body(self, reply: PullReply, body: bytes) -> None:
        try:
            self._publisher.offer(body, reply.digest)
        except InvalidConfigError:
            self._counters.add('pulls_refused')
            if compute_digest(body) == reply.digest:
                # The body is intact but invalid, and every peer has the same.
                self._pull_sources.mark_unusable(reply.revision)
