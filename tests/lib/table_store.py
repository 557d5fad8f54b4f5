"""The rows of the platform's store in memory, for tests without sockets."""

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from bluebellslip._internal.exceptions import PlatformOutcomeUnknownError
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip_platform.store_client import StoreCall, StoreResponse
from bluebellslip_platform.store_era import StoreEra

_ERA = 1
_OK, _PRECONDITION_FAILED = 200, 412

JsonObject = dict[str, Any]


class TableStore:
    """Takes the place of ``StoreClient``, with the rows in memory.

    While ``loses_writes`` is set, writes get no response and wait in
    ``lost_writes`` until they are performed.
    """

    def __init__(self) -> None:
        self.era = StoreEra(InMemoryCounters())
        self.loses_writes = False
        self.lost_writes: list[Callable[[], object]] = []
        self.version = 0
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self.era.observe(b'%d' % _ERA, 0)

    async def send(self, call: StoreCall) -> StoreResponse:
        if not call.body:
            return self._respond(_OK, self._list_rows(call.path))
        transaction = json.loads(call.body)
        if self.loses_writes:
            self.lost_writes.append(lambda: self._transact(transaction))
            raise PlatformOutcomeUnknownError('lost')
        return self._transact(transaction)

    def put(self, table: str, key: str, value: object) -> None:
        """Write a row as the operator does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self._write(table, key, text)

    def put_bytes(self, table: str, key: str, body: bytes) -> None:
        """Write a row as another program does."""
        self._write(table, key, base64.b64encode(body).decode())

    def delete(self, table: str, key: str) -> None:
        self._write(table, key, None)

    def find_version(self, table: str, key: str) -> int:
        """Return the version of a row, 0 if it does not exist."""
        return self._find_version((table, key))

    def read(self, table: str, key: str) -> JsonObject | None:
        text = self._rows.get((table, key), (0, None))[1]
        if text is None:
            return None
        found: JsonObject = json.loads(base64.b64decode(text))
        return found

    def _write(self, table: str, key: str, text: str | None) -> None:
        self.version += 1
        self._rows[table, key] = (self.version, text)

    def _transact(self, transaction: JsonObject) -> StoreResponse:
        conditions = [
            ((row['table'], row['key']), row['ver'])
            for row in transaction['expected_rev']
        ]
        if any(self._find_version(key) != ver for key, ver in conditions):
            rows = [
                self._encode(row_key)
                for row_key, _ in conditions
                if self._find_version(row_key)
            ]
            return self._respond(_PRECONDITION_FAILED, rows)
        for row in transaction['upserts']:
            self._write(row['table'], row['key'], row['value'])
        for row in transaction['remove']:
            self._write(row['table'], row['key'], None)
        return self._respond(_OK, [])

    def _find_version(self, row_key: tuple[str, str]) -> int:
        version, text = self._rows.get(row_key, (0, None))
        return 0 if text is None else version

    def _list_rows(self, path: str) -> list[JsonObject]:
        table = parse_qs(urlsplit(path).query)['table'][0]
        return [
            self._encode(row_key)
            for row_key in sorted(self._rows)
            if row_key[0] == table and self._find_version(row_key)
        ]

    def _encode(self, row_key: tuple[str, str]) -> JsonObject:
        version, text = self._rows[row_key]
        return {
            'table': row_key[0],
            'part': '',
            'key': row_key[1],
            'ver': version,
            'value': text,
        }

    def _respond(self, status: int, rows: list[JsonObject]) -> StoreResponse:
        body = json.dumps({'ver': self.version, 'rows': rows}).encode()
        return StoreResponse(status, body, _ERA)
