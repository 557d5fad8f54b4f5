"""Pulling from peers what the pushes did not bring."""

import datetime as dt
import enum
from random import Random
from typing import Final

import anyio

from bluebellslip._internal.distribution.holder import ConfigHolder
from bluebellslip._internal.distribution.messages import (
    PullReply,
    PullRequest,
)
from bluebellslip._internal.distribution.puller import Puller
from bluebellslip._internal.distribution.spreader import Spreader
from bluebellslip._internal.exceptions import (
    InvalidConfigError,
    PeerGarbledError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import PeerLink
from bluebellslip._internal.membership.roster import Roster
from bluebellslip._internal.membership.selection import pick_members
from bluebellslip._internal.models.identity import Address, NodeId

_TIMEOUT: Final = dt.timedelta(seconds=3)
_GUESSES: Final = 3  # members asked when none is known to have more
_GRACE: Final = dt.timedelta(milliseconds=20)


@enum.unique
class Pulled(enum.Enum):
    """What came of asking a peer."""

    NEWER = 'newer'
    DEFERRED = 'deferred'
    NOTHING = 'nothing'


class CatchUp:
    """Asks peers for what is newer, one at a time.

    Parameters
    ----------
    own
        The node itself.
    holder
        The configuration in force.
    spreader
        Where what was pulled is applied and told on.
    puller
        Keeper of who has something newer.
    roster
        The members.
    random
        Source of randomness.
    link
        Way to the peers.
    counters
        Where events are counted.
    """

    def __init__(
        self,
        own: NodeId,
        holder: ConfigHolder,
        spreader: Spreader,
        puller: Puller,
        roster: Roster,
        random: Random,
        link: PeerLink,
        counters: Counters,
    ) -> None:
        self._own = own
        self._holder = holder
        self._spreader = spreader
        self._puller = puller
        self._roster = roster
        self._random = random
        self._link = link
        self._counters = counters
        self._whole = False
        self._news = anyio.Event()

    def wake(self) -> None:
        """Look again whether something newer is known."""
        self._news.set()

    async def run(self) -> None:
        """Catch up whenever something newer is known."""
        while True:
            if self._lags():
                await self._catch_up()
            else:
                await self._news.wait()
                self._news = anyio.Event()
                await anyio.sleep(_GRACE.total_seconds())

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

    async def _catch_up(self) -> None:
        source = self._puller.choose(self._holder.revision)
        if source is None:
            await self._wait(self._puller.wait())
            self._guess_sources()
            return
        outcome = await self.pull(source)
        if outcome is Pulled.NEWER:
            self._puller.succeed()
        elif outcome is Pulled.NOTHING:
            await self._wait(self._puller.fail(source))

    def _guess_sources(self) -> None:
        for member in pick_members(self._roster, _GUESSES, self._random):
            self._puller.note(self._puller.wanted, member.peer)

    async def _wait(self, period: dt.timedelta) -> None:
        with anyio.move_on_after(period.total_seconds()):
            await self._news.wait()
        self._news = anyio.Event()

    async def _ask(self, source: Address) -> PullReply:
        self._counters.add('pulls')
        request = PullRequest(
            self._own, 0 if self._whole else self._holder.revision
        )
        self._whole = False
        reply = await self._link.ask(source, request, _TIMEOUT)
        if not isinstance(reply, PullReply):
            raise PeerGarbledError('A pull had an unexpected answer.')
        return reply

    def _take(self, reply: PullReply) -> None:
        if reply.body is not None:
            self._take_body(reply.body, reply.digest)
        elif reply.deltas and not self._spreader.take_deltas(reply.deltas):
            self._counters.add('pulls_refused')
            self._whole = True

    def _take_body(self, body: bytes, digest: str) -> None:
        try:
            self._spreader.offer(body, digest)
        except InvalidConfigError:
            self._counters.add('pulls_refused')
