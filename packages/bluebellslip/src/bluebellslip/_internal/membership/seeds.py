"""Discovery of the mesh through the settings and the platform's table."""

import datetime as dt
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import (
    Row,
    TableService,
    Transaction,
    Write,
)
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.rows import SeedRow, build_seed_key
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_SEED_PREFIX: Final = 'seed/'
_MAX_SEED_ROWS: Final = 64
_SEED_ROW_LIFETIME: Final = dt.timedelta(minutes=10)

_decoder: Final = msgspec.msgpack.Decoder(SeedRow)


class SeedDiscovery:
    """Addresses of nodes through which the mesh can be joined.

    They come from the settings and from the platform's table. Either source
    alone suffices.

    Parameters
    ----------
    node
        The node itself.
    address
        Address where the node itself listens for peers.
    configured
        Addresses from the settings.
    table
        The platform's table.
    clock
        The node's clock.
    counters
        Where failures are counted.
    """

    def __init__(
        self,
        node: NodeId,
        address: Address,
        configured: tuple[Address, ...],
        table: TableService,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._node = node
        self._address = address
        self._configured = tuple(seed for seed in configured if seed != address)
        self._table = table
        self._clock = clock
        self._counters = counters

    @property
    def configured(self) -> tuple[Address, ...]:
        """Addresses from the settings, without the node's own."""
        return self._configured

    async def read_registered(self) -> tuple[Address, ...]:
        """Return the addresses in the table, without the node's own."""
        rows = await self._scan()
        return tuple(row.peer for row in rows if row.peer != self._address)

    async def register(self) -> None:
        """Write the node's row to the table and delete expired rows."""
        body = msgspec.msgpack.encode(
            SeedRow(self._node, self._address, self._clock.now())
        )
        expired = [
            Write(build_seed_key(row.node), None)
            for row in await self._scan()
            if self._clock.now() - row.renewed > _SEED_ROW_LIFETIME
        ]
        own_write = Write(build_seed_key(self._node), body)
        try:
            await self._table.transact(Transaction((), (own_write, *expired)))
        except BluebellError:
            self._counters.add('seed_writes_failed')

    async def _scan(self) -> tuple[SeedRow, ...]:
        try:
            rows = await self._table.scan(_SEED_PREFIX, _MAX_SEED_ROWS)
        except BluebellError:
            self._counters.add('seed_reads_failed')
            return ()
        return tuple(seed for seed in map(self._decode, rows) if seed)

    def _decode(self, row: Row) -> SeedRow | None:
        try:
            return _decoder.decode(row.body)
        except DECODING_ERRORS:
            self._counters.add('seed_rows_refused')
            return None
