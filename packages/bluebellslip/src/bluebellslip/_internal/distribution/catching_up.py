"""Pulling from peers what the pushes did not bring."""

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
from bluebellslip._internal.distribution.puller import PULL_TIMEOUT, Puller
from bluebellslip._internal.distribution.spreader import Spreader
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

_GUESSES: Final = 3  # members asked when none is known to have more
_PARALLEL: Final = 3  # peers asked at once
_HEDGE: Final = dt.timedelta(milliseconds=400)
_LEAST_WAIT: Final = dt.timedelta(milliseconds=20)


@enum.unique
class Pulled(enum.Enum):
    """What came of asking a peer."""

    NEWER = 'newer'
    DEFERRED = 'deferred'
    NOTHING = 'nothing'


class CatchUp:
    """Asks peers for what is newer.

    While one is slow to answer another one is asked as well.

    Parameters
    ----------
    context
        State that the plug-ins share.
    holder
        The configuration in force.
    spreader
        Where what was pulled is applied and told on.
    puller
        Keeper of who has something newer.
    roster
        The members.
    link
        Way to the peers.
    """

    def __init__(
        self,
        context: Context,
        holder: ConfigHolder,
        spreader: Spreader,
        puller: Puller,
        roster: MemberTable,
        link: PeerLink,
    ) -> None:
        self._own = context.node
        self._holder = holder
        self._spreader = spreader
        self._puller = puller
        self._roster = roster
        self._random = context.random
        self._link = link
        self._clock = context.clock
        self._counters = context.counters
        self._whole = False
        self._pulling = 0
        self._hedge_at = context.clock.elapsed()
        self._guess_at = context.clock.elapsed()
        self._news = anyio.Event()

    def wake(self) -> None:
        """Look again whether something newer is known."""
        self._news.set()

    async def run(self) -> None:
        """Catch up whenever something newer is known."""
        async with anyio.create_task_group() as group:
            while True:
                if self._lags():
                    await self._wait(self._step(group))
                    continue
                self._puller.succeed()
                self._guess_at = self._clock.elapsed()
                await self._wait(None)

    async def pull(self, source: Address) -> Pulled:
        """Ask one peer for what is newer."""
        before = self._holder.revision
        try:
            reply = await self._ask(source)
        except (TimeoutError, PeerGarbledError):
            self._counters.add('pulls_failed')
            return Pulled.NOTHING
        if reply.retry_after is not None:
            self._puller.defer(source, reply.retry_after)
            return Pulled.DEFERRED
        self._take(reply)
        self._spreader.outbox.send_all(self._link)
        if self._holder.revision > before:
            return Pulled.NEWER
        return Pulled.NOTHING

    def _lags(self) -> bool:
        return self._spreader.settled and self._puller.lags(
            self._holder.revision
        )

    def _step(self, group: TaskGroup) -> dt.timedelta | None:
        now = self._clock.elapsed()
        if self._pulling and now < self._hedge_at:
            return self._hedge_at - now
        source = None
        if self._pulling < _PARALLEL:
            source = self._puller.choose(self._holder.revision)
        if source is not None:
            self._pulling += 1
            self._hedge_at = now + _HEDGE
            group.start_soon(self._pull_from, source)
            return _HEDGE
        if self._pulling:
            return None
        if now >= self._guess_at:
            self._guess_sources()
            self._guess_at = now + self._puller.wait() + _LEAST_WAIT
        return self._guess_at - now

    async def _pull_from(self, source: Address) -> None:
        outcome = await self.pull(source)
        self._pulling -= 1
        if outcome is Pulled.NEWER:
            self._puller.succeed()
        elif outcome is Pulled.NOTHING:
            self._puller.drop(source)
        self.wake()

    def _guess_sources(self) -> None:
        for member in pick_members(self._roster, _GUESSES, self._random):
            self._puller.note(self._puller.wanted, member.peer)

    async def _wait(self, period: dt.timedelta | None) -> None:
        seconds = math.inf if period is None else period.total_seconds()
        with anyio.move_on_after(seconds):
            await self._news.wait()
        self._news = anyio.Event()

    async def _ask(self, source: Address) -> PullReply:
        self._counters.add('pulls')
        request = PullRequest(
            self._own, 0 if self._whole else self._holder.revision
        )
        self._whole = False
        reply = await self._link.ask(source, request, PULL_TIMEOUT)
        if not isinstance(reply, PullReply):
            raise PeerGarbledError('A pull had an unexpected answer.')
        return reply

    def _take(self, reply: PullReply) -> None:
        if reply.body is not None:
            self._take_body(reply, reply.body)
        elif reply.deltas and not self._spreader.take_deltas(reply.deltas):
            self._counters.add('pulls_refused')
            self._whole = True

    def _take_body(self, reply: PullReply, body: bytes) -> None:
        try:
            self._spreader.offer(body, reply.digest)
        except InvalidConfigError:
            self._counters.add('pulls_refused')
            if compute_digest(body) == reply.digest:
                # It is what was accepted, so no peer has a better one.
                self._puller.refuse(reply.revision)
