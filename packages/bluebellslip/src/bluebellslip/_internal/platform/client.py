"""The platform's table service and object store over HTTP."""

from urllib.parse import urlencode

import msgspec
from expression import Result

from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)
from bluebellslip._internal.platform.responses import (
    check_stored,
    decode_object,
    decode_outcome,
    decode_row,
    decode_rows,
)
from bluebellslip._internal.platform.transport import (
    Effect,
    PlatformRequest,
    Transport,
)
from bluebellslip._internal.platform.wire import (
    ROWS_PATH,
    TRANSACT_PATH,
    TransactBody,
    build_object_path,
    build_row_path,
)


class HttpTable:
    """The platform's transactional table; see ``TableService``."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def read(self, key: str) -> Row | None:
        """Return a row, or None if it is absent."""
        request = PlatformRequest(Effect.READ, 'GET', build_row_path(key))
        return decode_row(await self._transport.send(request), key)

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return at most ``limit`` rows with a key prefix, ordered by key."""
        query = urlencode({'prefix': prefix, 'limit': limit})
        request = PlatformRequest(Effect.READ, 'GET', f'{ROWS_PATH}?{query}')
        response = await self._transport.send(request)
        return decode_rows(response, prefix, limit)

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Apply a transaction atomically."""
        body = msgspec.json.encode(TransactBody.from_transaction(transaction))
        request = PlatformRequest(Effect.WRITE, 'POST', TRANSACT_PATH, body)
        response = await self._transport.send(request)
        return decode_outcome(response, transaction)


class HttpObjects:
    """The platform's object store; see ``ObjectStore``."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    async def put(self, name: str, body: bytes) -> None:
        """Store an object; idempotent."""
        request = PlatformRequest(
            Effect.WRITE, 'PUT', build_object_path(name), body
        )
        check_stored(await self._transport.send(request))

    async def get(self, name: str) -> bytes | None:
        """Return an object, or None if it is absent."""
        request = PlatformRequest(Effect.READ, 'GET', build_object_path(name))
        return decode_object(await self._transport.send(request))
