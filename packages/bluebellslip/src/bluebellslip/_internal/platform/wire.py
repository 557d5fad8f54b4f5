"""Bodies of the platform's HTTP interface.

Bodies are JSON; binary content is encoded in base64. ``POST
/table/transact`` returns 200 with ``CommittedBody`` or 409 with
``RefusedBody``. ``GET /table/rows/KEY`` returns 200 with ``RowBody`` or 404.
``GET /table/rows`` with ``prefix`` and ``limit`` returns ``RowsBody``.
``PUT`` and ``GET /objects/NAME`` carry the object itself. A 404 whose body
has the ``kind`` ``not-found`` means that the row or object is absent. A 503
whose body has the ``kind`` ``down`` means that nothing took effect.
"""

from typing import Final, Self
from urllib.parse import quote

import msgspec

from bluebellslip._internal.kernel.ports import (
    Condition,
    Row,
    Transaction,
    Write,
)

TRANSACT_PATH: Final = '/table/transact'
ROWS_PATH: Final = '/table/rows'
OBJECTS_PATH: Final = '/objects'


class ConditionBody(msgspec.Struct, frozen=True):
    """A row must have this version; 0 means that it must be absent."""

    key: str
    version: int


class WriteBody(msgspec.Struct, frozen=True):
    """A row's new body; null deletes the row."""

    key: str
    body: bytes | None


class TransactBody(msgspec.Struct, frozen=True):
    """A transaction."""

    conditions: tuple[ConditionBody, ...]
    writes: tuple[WriteBody, ...]

    @classmethod
    def from_transaction(cls, transaction: Transaction) -> Self:
        """Convert to the wire format."""
        return cls(
            tuple(
                ConditionBody(condition.key, condition.version)
                for condition in transaction.conditions
            ),
            tuple(
                WriteBody(write.key, write.body) for write in transaction.writes
            ),
        )

    def to_transaction(self) -> Transaction:
        """Convert from the wire format."""
        return Transaction(
            tuple(
                Condition(condition.key, condition.version)
                for condition in self.conditions
            ),
            tuple(Write(write.key, write.body) for write in self.writes),
        )


class CommittedBody(msgspec.Struct, frozen=True):
    """Versions of the written rows, in the order of the writes."""

    versions: tuple[int, ...]


class RefusedBody(msgspec.Struct, frozen=True):
    """The first condition that did not hold, and the version found."""

    key: str
    version: int


class RowBody(msgspec.Struct, frozen=True):
    """A row."""

    key: str
    version: int
    body: bytes

    @classmethod
    def from_row(cls, row: Row) -> Self:
        """Convert to the wire format."""
        return cls(row.key, row.version, row.body)

    def to_row(self) -> Row:
        """Convert from the wire format."""
        return Row(self.key, self.version, self.body)


class RowsBody(msgspec.Struct, frozen=True):
    """Rows in the order of their keys."""

    rows: tuple[RowBody, ...]


def build_row_path(key: str) -> str:
    """Return the path of a row."""
    return f'{ROWS_PATH}/{quote(key)}'


def build_object_path(name: str) -> str:
    """Return the path of an object."""
    return f'{OBJECTS_PATH}/{quote(name)}'
