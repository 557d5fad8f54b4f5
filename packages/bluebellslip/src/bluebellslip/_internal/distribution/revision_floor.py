"""Finds the lowest revision that a node may serve from after its start."""

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
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

logger = logging.getLogger(__name__)

_SAMPLE_SIZE: Final = 4  # members, and as many seeds, that are asked
_PEER_TIMEOUT: Final = dt.timedelta(seconds=1)
_INITIAL_BACKOFF: Final = dt.timedelta(milliseconds=200)
_MAX_BACKOFF: Final = dt.timedelta(seconds=2)

_decoder: Final = msgspec.msgpack.Decoder(HeadRow)


class HeadReader:
    """Reads the revision and digest of the newest accepted configuration.

    Parameters
    ----------
    table
        The platform's table.
    counters
        Counts reads and invalid rows.
    """

    def __init__(self, table: TableService, counters: Counters) -> None:
        self._table = table
        self._counters = counters

    async def read(self) -> HeadRow | None:
        """Return the head row, or None if nothing was ever accepted.

        Raises
        ------
        BluebellError
            When the platform does not respond or the response is invalid.
        """
        self._counters.add('head_reads')
        row = await self._table.read(HEAD_KEY)
        if row is None:
            return None
        try:
            return _decoder.decode(row.body)
        except DECODING_ERRORS as error:
            self._counters.add('heads_refused')
            raise PeerGarbledError(
                "The head row of the platform's table cannot be decoded."
            ) from error


class FloorFinder:
    """Asks the platform and a few peers which revision is the floor.

    The floor is the lowest revision that this node may serve from.

    Parameters
    ----------
    node
        This node.
    applied
        The applied configuration, whose floor is raised.
    head_reader
        Reads the row of the newest accepted configuration.
    member_table
        The members.
    seeds
        Peers that are asked in addition to members. A node that has just
        started may know only one member, which may itself be partitioned.
    link
        Transport to the peers.
    random
        Source of randomness.
    """

    def __init__(
        self,
        node: NodeId,
        applied: AppliedConfig,
        head_reader: HeadReader,
        member_table: MemberTable,
        seeds: Sequence[Address],
        link: PeerLink,
        random: Random,
    ) -> None:
        self._node = node
        self._applied = applied
        self._head_reader = head_reader
        self._member_table = member_table
        self._seeds = seeds
        self._link = link
        self._random = random
        self._revisions: list[int] = []

    async def find_floor(self) -> int:
        """Repeat the query until there is a usable reply; return the floor."""
        backoff = FullJitter(self._random, _INITIAL_BACKOFF, _MAX_BACKOFF)
        while True:
            floor = await self.query_once()
            if floor is not None:
                return floor
            await anyio.sleep(backoff.next_wait().total_seconds())

    async def query_once(self) -> int | None:
        """Query the platform and peers concurrently, and raise the floor.

        Returns the highest revision found, or None without a usable reply.
        """
        self._revisions = []
        async with anyio.create_task_group() as group:
            group.start_soon(self._query_table)
            for peer in self._choose_peers():
                group.start_soon(self._query_peer, peer)
        if not self._revisions:
            return None
        floor = max(self._revisions)
        self._applied.raise_floor(floor)
        return floor

    def _choose_peers(self) -> tuple[Address, ...]:
        members = [member.peer for member in self._member_table.all_live()]
        return tuple({*self._sample(members), *self._sample(self._seeds)})

    def _sample(self, addresses: Sequence[Address]) -> list[Address]:
        count = min(_SAMPLE_SIZE, len(addresses))
        return self._random.sample(addresses, count)

    async def _query_table(self) -> None:
        try:
            head = await self._head_reader.read()
        except BluebellError:
            return
        self._revisions.append(head.revision if head else 0)

    async def _query_peer(self, peer: Address) -> None:
        request = FloorRequest(self._node)
        try:
            reply = await self._link.ask(peer, request, _PEER_TIMEOUT)
        except (TimeoutError, PeerGarbledError):
            return
        if isinstance(reply, FloorReply) and reply.settled:
            self._revisions.append(reply.revision)
