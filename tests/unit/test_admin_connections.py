"""Limits on connections to the administration API.

The tests guard against clients that send an endless or a stalled request head,
and against remote clients that use up the connections and so keep the backend
server beside the node from announcing itself.
"""

from collections.abc import Callable
from typing import Any, cast

import pytest
import uvicorn
from uvicorn.server import ServerState

from bluebellslip._internal.admin.connections import (
    MAX_CONNECTIONS_PER_ORIGIN,
    MAX_HEAD_BYTES,
    BoundedProtocol,
)
from bluebellslip._internal.kernel.counters import InMemoryCounters


class _Timer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.fire = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class _Loop:
    """Records timers and starts no tasks."""

    def __init__(self) -> None:
        self.timers: list[_Timer] = []

    def call_later(self, delay: float, callback: Callable[[], None]) -> _Timer:
        self.timers.append(_Timer(callback))
        return self.timers[-1]

    def create_task(self, coroutine: Any) -> '_Loop':
        coroutine.close()
        return self

    def add_done_callback(self, callback: Callable[[Any], None]) -> None:
        """Ignore the callback, since no task runs."""


class _Transport:
    def __init__(self, client: str) -> None:
        self.closed = False
        self.sent = b''
        self._addresses = {
            'sockname': ('10.0.0.1', 7400),
            'peername': (client, 50000),
        }

    def close(self) -> None:
        self.closed = True

    def abort(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def write(self, sent: bytes) -> None:
        self.sent += sent

    def get_extra_info(self, name: str) -> Any:
        return self._addresses.get(name)

    def pause_reading(self) -> None:
        """Do nothing; the test decides what is received."""

    def resume_reading(self) -> None:
        """Do nothing; the test decides what is received."""


class _Connection:
    def __init__(self, state: ServerState, client: str = '10.0.0.2') -> None:
        self.loop = _Loop()
        self.transport = _Transport(client)
        self.counters = InMemoryCounters()
        config = uvicorn.Config(
            cast('Any', object()), log_config=None, lifespan='off', ws='none'
        )
        self.protocol = BoundedProtocol(
            self.counters, config, state, {}, cast('Any', self.loop)
        )
        self.protocol.connection_made(cast('Any', self.transport))


@pytest.fixture
def connection() -> _Connection:
    return _Connection(ServerState())


def test_head_over_the_limit_is_dropped(connection: _Connection) -> None:
    connection.protocol.data_received(b'GET / HTTP/1.1\r\nx: ')
    chunk = b'a' * 1024
    for _ in range(MAX_HEAD_BYTES // len(chunk)):
        assert not connection.transport.closed
        connection.protocol.data_received(chunk)
    assert connection.transport.closed
    assert b'"kind":"too-large"' in connection.transport.sent
    assert connection.counters.sums == {'admin_refused': 1}


def test_invalid_http_gets_an_error_response_and_is_counted(
    connection: _Connection,
) -> None:
    connection.protocol.data_received(b'NONSENSE\r\n\r\n')
    assert connection.transport.closed
    assert b'"kind":"malformed"' in connection.transport.sent
    assert connection.counters.sums == {'admin_refused': 1}


def test_remote_clients_at_the_limit_do_not_block_the_local_server() -> None:
    state = ServerState()
    remote = [_Connection(state) for _ in range(MAX_CONNECTIONS_PER_ORIGIN + 1)]
    assert [each.transport.closed for each in remote].count(True) == 1
    assert not _Connection(state, client='10.0.0.1').transport.closed


def test_head_that_stalls_is_dropped(connection: _Connection) -> None:
    connection.protocol.data_received(b'GET / HTT')
    connection.loop.timers[0].fire()
    assert connection.transport.closed


def test_complete_head_stops_the_timer_and_body_is_not_counted(
    connection: _Connection,
) -> None:
    connection.protocol.data_received(
        b'PUT / HTTP/1.1\r\ncontent-length: 99999\r\n\r\n'
    )
    assert connection.loop.timers[0].cancelled
    connection.protocol.data_received(b'a' * (MAX_HEAD_BYTES + 1))
    assert not connection.transport.closed


def test_next_head_of_a_connection_is_limited_too(
    connection: _Connection,
) -> None:
    connection.protocol.data_received(b'GET / HTTP/1.1\r\n\r\n')
    connection.protocol.data_received(b'GET / HTT')
    assert len(connection.loop.timers) == 2
    connection.loop.timers[1].fire()
    assert connection.transport.closed
