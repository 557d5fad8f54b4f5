"""Deletion of expired claims, by one node of each service."""

from typing import Final

from bluebellslip._internal.claims.rows import decode_claim
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import (
    Condition,
    Row,
    TableService,
    Transaction,
    Write,
)
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.rows import build_claim_key
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

MAX_SCANNED_ROWS: Final = 500


class ClaimSweeper:
    """Deletes expired claims.

    Sweeping only keeps the table small: a new claim may overwrite an expired
    one under the same key at any time.

    Parameters
    ----------
    context
        The node's shared state.
    table
        The platform's table.
    """

    def __init__(self, context: Context, table: TableService) -> None:
        self._context = context
        self._table = table

    async def sweep(self) -> int:
        """Delete expired rows and return their number.

        Each service is swept by one node only, the one with the lowest name
        among the service's endpoints.

        Raises
        ------
        BluebellError
            When the table is unavailable; the next sweep starts again.
        """
        snapshot = self._context.applied.current
        if snapshot is None:
            return 0
        deleted = 0
        for service in snapshot.routes:
            if self._is_sweeper(service):
                deleted += await self._sweep_service(service)
        return deleted

    def _is_sweeper(self, service: ServiceName) -> bool:
        nodes = [
            endpoint.node
            for endpoint in self._context.directory.endpoints(service)
        ]
        return bool(nodes) and min(nodes) == self._context.node

    async def _sweep_service(self, service: ServiceName) -> int:
        rows = await self._table.scan(
            build_claim_key(service, ''), MAX_SCANNED_ROWS
        )
        expired = [row for row in rows if self._is_expired(row)]
        if not expired:
            return 0
        result = await self._table.transact(
            Transaction(
                conditions=tuple(
                    Condition(row.key, row.version) for row in expired
                ),
                writes=tuple(Write(row.key, None) for row in expired),
            )
        )
        return len(expired) if result.is_ok() else 0

    def _is_expired(self, row: Row) -> bool:
        try:
            claim = decode_claim(row.body)
        except DECODING_ERRORS:
            return False
        return claim.is_expired(self._context.clock.now())
