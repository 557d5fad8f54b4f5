"""State of the simulated platforms: rows, objects and request counts."""

import bisect
from typing import Final

import msgspec
from expression import Error, Ok, Result

from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
    Write,
)

_HIGHEST_CHARACTER: Final = '\U0010ffff'


class RequestCounts(msgspec.Struct):
    """Numbers of reads and writes handled since the platform's start.

    Requests that arrive while the platform is down are not counted.
    """

    reads: int = 0
    writes: int = 0


class PlatformStore:
    """A transactional table and an object store, without I/O.

    A row that is deleted and written again starts again at version 1, so
    versions are not comparable across a deletion.
    """

    def __init__(self) -> None:
        self.counts = RequestCounts()
        self._rows: dict[str, Row] = {}
        self._keys: list[str] = []
        self._objects: dict[str, bytes] = {}

    def read(self, key: str) -> Row | None:
        """Return a row, or none if it is absent."""
        self.counts.reads += 1
        return self._rows.get(key)

    def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return up to ``limit`` rows with a key prefix, in key order."""
        self.counts.reads += 1
        start = bisect.bisect_left(self._keys, prefix)
        end = bisect.bisect_right(self._keys, prefix + _HIGHEST_CHARACTER)
        keys = self._keys[start : min(end, start + limit)]
        return tuple(self._rows[key] for key in keys)

    def transact(self, transaction: Transaction) -> Result[Committed, Refused]:
        """Apply a transaction as a whole or not at all."""
        self.counts.writes += 1
        for condition in transaction.conditions:
            found = self._version(condition.key)
            if found != condition.version:
                return Error(Refused(condition.key, found))
        versions = tuple(self._write(write) for write in transaction.writes)
        return Ok(Committed(versions))

    def put(self, name: str, body: bytes) -> None:
        """Store an object."""
        self.counts.writes += 1
        self._objects[name] = body

    def get(self, name: str) -> bytes | None:
        """Return an object, or none if it is absent."""
        self.counts.reads += 1
        return self._objects.get(name)

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return 0 if row is None else row.version

    def _write(self, write: Write) -> int:
        version = self._version(write.key)
        if write.body is None:
            self._delete(write.key)
            return 0
        if version == 0:
            bisect.insort(self._keys, write.key)
        self._rows[write.key] = Row(write.key, version + 1, write.body)
        return version + 1

    def _delete(self, key: str) -> None:
        if self._rows.pop(key, None) is not None:
            self._keys.pop(bisect.bisect_left(self._keys, key))
