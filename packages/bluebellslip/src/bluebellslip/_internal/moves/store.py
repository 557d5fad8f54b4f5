"""Moves' rows in the table, and the facts that are published from them."""

import datetime as dt
import logging
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import (
    BluebellError,
    PlatformDownError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.ports import TableService
from bluebellslip._internal.models.facts import MoveFact, StopFact
from bluebellslip._internal.models.identity import (
    MoveId,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.move_rows import MoveRow, decode_move
from bluebellslip._internal.models.rows import build_move_key
from bluebellslip._internal.moves.initial_version import is_initial_version
from bluebellslip._internal.moves.transitions import build_transaction

logger = logging.getLogger(__name__)

PLATFORM_ERRORS: Final = (
    PlatformDownError,
    PlatformOutcomeUnknownError,
    PlatformGarbledError,
)
# Facts that differ in their reason only are published at most this often.
_MIN_REASON_INTERVAL: Final = dt.timedelta(seconds=10)


class StoredMove(msgspec.Struct, frozen=True):
    """A move's row with its version in the table."""

    row: MoveRow
    version: int


class MoveStore:
    """Reads and conditionally writes moves, and publishes them as facts.

    Parameters
    ----------
    context
        State that the plug-ins share.
    table
        The platform's table.
    """

    def __init__(self, context: Context, table: TableService) -> None:
        self._context = context
        self._table = table

    async def read(self, service: ServiceName) -> StoredMove | None:
        """Return a service's newest move; raises platform errors."""
        row = await self._table.read(build_move_key(service))
        if row is None:
            return None
        stored = StoredMove(decode_move(row.body), row.version)
        self._publish(stored)
        return stored

    async def write(
        self, row: MoveRow, version: int, action: str = '', who: str = ''
    ) -> StoredMove | None:
        """Replace the row if it still has the given version.

        Returns None if the row has another version; raises platform errors.
        """
        transaction = build_transaction(row, version, action, who)
        result = await self._table.transact(transaction)
        if result.is_error():
            self._context.counters.add('moves_crossed')
            return None
        stored = StoredMove(row, result.ok.versions[0])
        self._publish(stored)
        if action:
            self._log_step(stored, action)
        return stored

    def find_fact(self, service: ServiceName) -> MoveFact | None:
        """Return what is known of a service's newest move, if it had one."""
        fact = self._context.facts.find(f'move/{service}')
        if not isinstance(fact, MoveFact) or is_initial_version(fact):
            return None
        return fact

    def find_stop(self, service: ServiceName, move: MoveId) -> StopFact | None:
        """Return the fact that stops a move's new version, if any."""
        fact = self._context.facts.find(f'stop/{service}/{move}')
        return fact if isinstance(fact, StopFact) else None

    def stop_version(
        self,
        service: ServiceName,
        move: MoveId,
        version: VersionName,
        reason: str,
    ) -> None:
        """Permanently stop sending calls to a move's new version."""
        fact = StopFact(
            service=service,
            move=move,
            version=version,
            set_by=self._context.node,
            set_at=self._context.clock.now(),
            reason=reason,
        )
        if self._context.facts.merge((fact,)):
            self._context.counters.add('moves_stopped')
            logger.warning(
                'version stopped',
                extra={'service': service, 'move': move, 'reason': reason},
            )

    def count_error(self, error: BluebellError) -> None:
        """Count a platform error."""
        self._context.counters.add(
            'moves_platform_errors', kind=error.kind.value
        )

    def _publish(self, stored: StoredMove) -> None:
        fact = stored.row.to_fact(stored.version)
        known = self.find_fact(stored.row.service)
        if known is None or _is_worth_publishing(known, fact):
            self._context.facts.merge((fact,))

    def _log_step(self, stored: StoredMove, action: str) -> None:
        self._context.counters.add('moves_steps', action=action)
        logger.info(
            action,
            extra={
                'service': stored.row.service,
                'move': stored.row.move,
                'share': stored.row.share,
                'epoch': stored.row.epoch,
                'reason': stored.row.reason,
            },
        )


def _is_worth_publishing(known: MoveFact, fact: MoveFact) -> bool:
    if _routing_fields(known) != _routing_fields(fact):
        return True
    if known.reason == fact.reason:
        return False
    if fact.renewed is None or known.renewed is None:
        return True
    return fact.renewed - known.renewed >= _MIN_REASON_INTERVAL


def _routing_fields(fact: MoveFact) -> tuple[object, ...]:
    return (
        fact.move,
        fact.epoch,
        fact.state,
        fact.share,
        fact.deadline,
    )
