"""Background tasks of claims.

They commit queued writes, release orphaned claims and delete expired claims.
"""

import datetime as dt
from typing import Final

import anyio

from bluebellslip._internal.claims.commit import GroupCommit
from bluebellslip._internal.claims.store import ClaimStore
from bluebellslip._internal.claims.sweep import ClaimSweeper
from bluebellslip._internal.exceptions import BluebellError, NotFoundError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import TableService

_RELEASE_INTERVAL: Final = dt.timedelta(seconds=1)
_SWEEP_INTERVAL: Final = dt.timedelta(minutes=10)


class ClaimMaintenance:
    """Builds the store of claims and runs the background tasks of claims.

    Parameters
    ----------
    context
        The node's shared state.
    table
        The platform's table; None if the node has no table.
    """

    def __init__(self, context: Context, table: TableService | None) -> None:
        self._context = context
        self.store: ClaimStore | None = None
        if table is not None:
            self._commit = GroupCommit(table, context.counters)
            self._sweeper = ClaimSweeper(context, table)
            self.store = ClaimStore(context, table, self._commit)

    @classmethod
    def from_context(cls, context: Context) -> 'ClaimMaintenance':
        """Use the table that the node provides, if any."""
        try:
            table = context.ports.get(TableService)
        except NotFoundError:
            return cls(context, None)
        return cls(context, table)

    async def run(self) -> None:
        """Run the tasks until cancelled; without a table, return at once."""
        if self.store is None:
            return
        async with anyio.create_task_group() as group:
            group.start_soon(self._commit.run)
            group.start_soon(self._release_orphans, self.store)
            group.start_soon(self._sweep)

    async def _release_orphans(self, store: ClaimStore) -> None:
        while True:
            await anyio.sleep(_RELEASE_INTERVAL.total_seconds())
            await store.release_orphans()

    async def _sweep(self) -> None:
        while True:
            jitter = self._context.random.uniform(0.5, 1.5)
            await anyio.sleep(_SWEEP_INTERVAL.total_seconds() * jitter)
            try:
                await self._sweeper.sweep()
            except BluebellError:
                self._context.counters.add('claims_sweeps_failed')
