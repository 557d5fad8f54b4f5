"""The least revision that a node may serve from after its start."""

import datetime as dt
import logging
from collections.abc import Sequence
from random import Random
from typing import Final

import anyio
import msgspec

from bluebellslip._internal.distribution.messages import (
    FloorReply,
    FloorRequest,
)
from bluebellslip._internal.exceptions import (
    BluebellError,
    PeerGarbledError,
)
from bluebellslip._internal.kernel.applied import AppliedConfig
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import PeerLink, TableService
from bluebellslip._internal.membership.member_table import MemberTable
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.rows import HEAD_KEY, HeadRow
from bluebellslip._internal.utils.backoff import FullJitter

logger = logging.getLogger(__name__)

_PEERS: Final = 4  # members, and as many seeds, that are asked
_PEER_TIMEOUT: Final = dt.timedelta(seconds=1)
_FIRST_WAIT: Final = dt.timedelta(milliseconds=200)
_MOST_WAIT: Final = dt.timedelta(seconds=2)

_decoder: Final = msgspec.msgpack.Decoder(HeadRow)


class HeadReader:
    """Reads the newest accepted configuration's name from the table.

    Parameters
    ----------
    table
        The platform's table.
    counters
        Where failures are counted.
    """

    def __init__(self, table: TableService, counters: Counters) -> None:
        self._table = table
        self._counters = counters

    async def read(self) -> HeadRow | None:
        """Return the head; none when nothing was ever accepted.

        Raises
        ------
        BluebellError
            When the platform does not answer, or with nonsense.
        """
        self._counters.add('head_reads')
        row = await self._table.read(HEAD_KEY)
        if row is None:
            return None
        try:
            return _decoder.decode(row.body)
        except msgspec.MsgspecError as error:
            self._counters.add('heads_refused')
            raise PeerGarbledError('The head can not be decoded.') from error


class FloorFinder:
    """Asks the platform and a few peers what this node must not go below.

    Parameters
    ----------
    own
        The node itself.
    applied
        The pointer whose floor is raised.
    heads
        Reader of the table's head.
    roster
        The members.
    seeds
        Peers that are asked besides members. A node that has just started
        may have met only one member, which may itself be cut off.
    link
        Way to the peers.
    random
        Source of randomness.
    """

    def __init__(
        self,
        own: NodeId,
        applied: AppliedConfig,
        heads: HeadReader,
        roster: MemberTable,
        seeds: Sequence[Address],
        link: PeerLink,
        random: Random,
    ) -> None:
        self._own = own
        self._applied = applied
        self._heads = heads
        self._roster = roster
        self._seeds = seeds
        self._link = link
        self._random = random
        self._answers: list[int] = []

    async def settle(self) -> int:
        """Ask until somebody answers; return the revision found."""
        backoff = FullJitter(self._random, _FIRST_WAIT, _MOST_WAIT)
        while True:
            found = await self.ask_once()
            if found is not None:
                return found
            await anyio.sleep(backoff.next_wait().total_seconds())

    async def ask_once(self) -> int | None:
        """Ask all at once; none when nobody could answer."""
        self._answers = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._ask_table)
            for peer in self._choose_peers():
                group.start_soon(self._ask_peer, peer)
        if not self._answers:
            return None
        found = max(self._answers)
        self._applied.raise_floor(found)
        return found

    def _choose_peers(self) -> tuple[Address, ...]:
        members = [member.peer for member in self._roster.all_live()]
        return tuple({*self._sample(members), *self._sample(self._seeds)})

    def _sample(self, addresses: Sequence[Address]) -> list[Address]:
        count = min(_PEERS, len(addresses))
        return self._random.sample(addresses, count)

    async def _ask_table(self) -> None:
        try:
            head = await self._heads.read()
        except BluebellError:
            return
        self._answers.append(head.revision if head else 0)

    async def _ask_peer(self, peer: Address) -> None:
        request = FloorRequest(self._own)
        try:
            reply = await self._link.ask(peer, request, _PEER_TIMEOUT)
        except (TimeoutError, PeerGarbledError):
            return
        if isinstance(reply, FloorReply) and reply.settled:
            self._answers.append(reply.revision)
