"""The audit trail, stored in the platform's table."""

import logging
from random import Random
from typing import Final

import msgspec

from bluebellslip._internal.exceptions import (
    BluebellError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import (
    Condition,
    Row,
    TableService,
    Transaction,
    Write,
)
from bluebellslip._internal.models.rows import AuditRow, build_audit_key
from bluebellslip._internal.utils.decoding import DECODING_ERRORS

logger = logging.getLogger(__name__)

AUDIT_PREFIX: Final = 'audit/'

_KEY_SUFFIX_BITS: Final = 64
_MAX_INSERT_ATTEMPTS: Final = 2

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AuditRow)


def build_audit_write(row: AuditRow, key_suffix: str) -> Write:
    """Return the write that stores an audit row, for use in a transaction."""
    return Write(build_audit_key(row.at, key_suffix), _encoder.encode(row))


class TableAuditTrail:
    """Audit trail in the platform's table; see ``AuditTrail``.

    Parameters
    ----------
    table
        The platform's table.
    random_source
        Source of the random suffix that makes keys unique.
    counters
        Counts ``audit_rows`` by outcome.
    """

    def __init__(
        self, table: TableService, random_source: Random, counters: Counters
    ) -> None:
        self._table = table
        self._random = random_source
        self._counters = counters

    async def record(self, row: AuditRow) -> bool:
        """Store a row, and return whether the platform confirmed it.

        A row that is not confirmed is counted as lost.
        """
        key_suffix = f'{self._random.getrandbits(_KEY_SUFFIX_BITS):016x}'
        write = build_audit_write(row, key_suffix)
        transaction = Transaction((Condition(write.key, 0),), (write,))
        try:
            await self._insert(transaction)
        except BluebellError:
            self._counters.add('audit_rows', outcome='lost')
            return False
        self._counters.add('audit_rows', outcome='kept')
        return True

    async def recent(self, limit: int) -> tuple[AuditRow, ...]:
        """Return the newest rows, newest first.

        Corrupt rows are counted and left out.
        """
        rows = await self._table.scan(AUDIT_PREFIX, limit)
        decoded = (self._decode(row) for row in rows)
        return tuple(row for row in decoded if row is not None)

    async def _insert(self, transaction: Transaction) -> None:
        """Insert a row, and retry if the outcome is unknown.

        If the first attempt stored the row, the transaction's condition makes
        the platform refuse the retry. The refusal counts as success.
        """
        for remaining in reversed(range(_MAX_INSERT_ATTEMPTS)):
            try:
                await self._table.transact(transaction)
            except (PlatformOutcomeUnknownError, PlatformGarbledError):
                if not remaining:
                    raise
            else:
                return

    def _decode(self, row: Row) -> AuditRow | None:
        try:
            return _decoder.decode(row.body)
        except DECODING_ERRORS:
            self._counters.add('audit_rows', outcome='corrupt')
            return None
