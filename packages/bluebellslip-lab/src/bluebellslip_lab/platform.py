"""Simulated platform: ``python -m bluebellslip_lab.platform``."""

import argparse
from collections.abc import Callable
from random import Random
from typing import Final
from urllib.parse import parse_qs

import anyio
import msgspec
import uvicorn

from bluebellslip._internal.platform.wire import (
    OBJECTS_PATH,
    ROWS_PATH,
    TRANSACT_PATH,
    CommittedBody,
    RefusedBody,
    RowBody,
    RowsBody,
    TransactBody,
)
from bluebellslip._internal.utils.decoding import DECODING_ERRORS
from bluebellslip_lab.asgi import (
    Receive,
    Response,
    Scope,
    Send,
    read_body,
    send_response,
    send_truncated_response,
)
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.store import PlatformStore

_MS_PER_SECOND: Final = 1000
_DEFAULT_LIMIT: Final = '1000'
_GARBAGE: Final = Response(200, b'\x00<html>proxy error')
_DOWN: Final = Response(503, b'{"kind":"down"}')
_NOT_FOUND: Final = Response(404, b'{"kind":"not-found"}')
_MALFORMED: Final = Response(400, b'{"kind":"malformed"}')


class PlatformApp:
    """The simulated platform as an ASGI application.

    Parameters
    ----------
    store
        Rows and objects.
    random_source
        Decides which responses are lost.
    """

    def __init__(self, store: PlatformStore, random_source: Random) -> None:
        self._store = store
        self._random = random_source
        self._faults = Faults()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handle one request."""
        body = await read_body(receive)
        if scope['path'] in {'/faults', '/counts'}:
            await send_response(send, self._handle_control(scope, body))
            return
        if self._faults.delay_ms:
            await anyio.sleep(self._faults.delay_ms / _MS_PER_SECOND)
        if self._faults.down:
            await send_response(send, _DOWN)
            return
        response = self._handle(scope, body)
        if self._loses_response(scope['method']):
            await send_truncated_response(send)
        elif self._faults.garble:
            await send_response(send, _GARBAGE)
        else:
            await send_response(send, response)

    def _loses_response(self, method: str) -> bool:
        if self._faults.lose_writes and method != 'GET':
            return True
        return self._random.random() < self._faults.lose_answers

    def _handle_control(self, scope: Scope, body: bytes) -> Response:
        if scope['path'] == '/counts':
            return Response.from_json(self._store.counts)
        if scope['method'] == 'PUT':
            try:
                self._faults = msgspec.json.decode(body, type=Faults)
            except DECODING_ERRORS:
                return _MALFORMED
        return Response.from_json(self._faults)

    def _handle(self, scope: Scope, body: bytes) -> Response:
        path = scope['path']
        if path == TRANSACT_PATH:
            return self._handle_transact(body)
        if path == ROWS_PATH:
            return self._handle_scan(scope['query_string'].decode())
        if path.startswith(f'{ROWS_PATH}/'):
            return self._handle_read(path.removeprefix(f'{ROWS_PATH}/'))
        if path.startswith(f'{OBJECTS_PATH}/'):
            name = path.removeprefix(f'{OBJECTS_PATH}/')
            return self._handle_object(scope['method'], name, body)
        return _NOT_FOUND

    def _handle_transact(self, body: bytes) -> Response:
        try:
            request = msgspec.json.decode(body, type=TransactBody)
        except DECODING_ERRORS:
            return _MALFORMED
        outcome = self._store.transact(request.to_transaction())
        if outcome.is_ok():
            return Response.from_json(CommittedBody(outcome.ok.versions))
        refused = outcome.error
        return Response.from_json(
            RefusedBody(refused.key, refused.version), 409
        )

    def _handle_scan(self, query: str) -> Response:
        fields = parse_qs(query, keep_blank_values=True)
        prefix = fields.get('prefix', [''])[0]
        limit = fields.get('limit', [_DEFAULT_LIMIT])[0]
        if not limit.isdecimal():
            return _MALFORMED
        rows = self._store.scan(prefix, int(limit))
        return Response.from_json(
            RowsBody(tuple(RowBody.from_row(row) for row in rows))
        )

    def _handle_read(self, key: str) -> Response:
        row = self._store.read(key)
        if row is None:
            return _NOT_FOUND
        return Response.from_json(RowBody.from_row(row))

    def _handle_object(self, method: str, name: str, body: bytes) -> Response:
        if method == 'PUT':
            self._store.put(name, body)
            return Response(204)
        found = self._store.get(name)
        return _NOT_FOUND if found is None else Response(200, found)


def run_app(app: Callable[..., object], host: str, port: int) -> None:
    """Serve until SIGTERM."""
    uvicorn.run(
        app,
        host=host,
        port=port,
        loop='asyncio',
        http='httptools',
        lifespan='off',
        access_log=False,
        log_level='critical',
    )


def main() -> None:
    """Serve an empty platform."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--host', default='127.0.0.1')
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--seed', type=int, default=0)
    options = parser.parse_args()
    app = PlatformApp(PlatformStore(), Random(options.seed))
    run_app(app, options.host, options.port)


if __name__ == '__main__':
    main()
