"""Requests whose time runs out while they wait at the node beside the server.

The tests guard against requests that reach a server so late that their response
can't be in time: their callers have waited for nothing, and the server works
for nobody.
"""

import asyncio
import datetime as dt
from collections.abc import Coroutine
from typing import Any
from unittest.mock import Mock

import pytest

from bluebellslip._internal.calls.exchange import Upload
from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.calls.reply import Reply, ReplyWriter
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.calls.streams import ReadBuffer, WriteGate
from bluebellslip._internal.exceptions import NoServerError, OverloadedError
from bluebellslip._internal.fleet.local_server import LocalServer
from bluebellslip._internal.kernel.clock import Clock, ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.proxy.routed_request import (
    AttemptOptions,
    RoutedRequest,
)
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from lib.calls import find_free_address
from lib.fleet import MS, ORDERS, ROUTE, SECOND, make_heartbeat
from lib.virtual_time import LoopClock, run_in_virtual_time

_HOLD_TIME = 400 * MS
_LIFETIME = Lifetime(1000, 'i-1')
_OPTIONS = AttemptOptions(_LIFETIME, max_wait=60 * SECOND)
_BODY_BYTES = 60_000
_LINK_MBPS = 8.0  # one kilobyte per millisecond
_HEADERS = MetadataHeaders(
    request_id=b'x-request-id',
    deadline_ms=b'x-deadline-ms',
    caller=b'x-caller-service',
    expected_server=b'x-expected-instance',
    signature=b'x-server-signature',
    load=b'x-server-load',
    not_run=b'x-not-executed',
)


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


def make_gateway(clock: Clock) -> ServerGateway:
    """Return access to a server at whose address nothing listens."""
    address = find_free_address()
    server = LocalServer(clock, ORDERS, address, SECOND)
    server.apply_heartbeat(make_heartbeat(address=address, slots=1))
    pool = ConnectionPool(InMemoryCounters())
    gateway = ServerGateway(clock, server, pool, _HEADERS, Mock(), Mock())
    gateway.hold_times.record(ROUTE, _HOLD_TIME)
    return gateway


def make_inbound_request(**fields: bytes) -> InboundRequest:
    transport = Mock()
    transport.is_closing.return_value = False
    headers = [
        (name.replace('_', '-').encode(), text) for name, text in fields.items()
    ]
    return InboundRequest(
        b'POST',
        b'/orders/1',
        headers,
        dict(headers),
        ReadBuffer(transport),
        Reply(ReplyWriter(transport, WriteGate()), Mock(draining=False)),
    )


def make_routed_request(clock: Clock, time_left: dt.timedelta) -> RoutedRequest:
    request = make_inbound_request(content_length=b'%d' % _BODY_BYTES)
    deadline = clock.elapsed() + time_left
    return RoutedRequest(
        request=request,
        upload=Upload(request),
        request_id=b'r1',
        service=ORDERS,
        route=ROUTE,
        runs=ExecutionSemantics.ONCE,
        priority=1,
        deadline=deadline,
        cutoff=deadline,
        objective=deadline,
        caller='store',
    )


def test_request_whose_time_ran_out_while_it_waited_is_not_passed_on() -> None:
    async def scenario() -> None:
        clock = ManualClock()
        gateway = make_gateway(clock)
        routed = make_routed_request(clock, SECOND)
        async with gateway.open(routed, _OPTIONS) as server_call:
            clock.advance(SECOND - _HOLD_TIME / 4)
            with pytest.raises(OverloadedError):
                await server_call.run()
            assert not server_call.sent
        assert gateway.gate.in_use == 0

    run(scenario())


@pytest.mark.parametrize('time_left', [SECOND, _HOLD_TIME / 4])
def test_request_that_did_not_wait_is_passed_on(
    time_left: dt.timedelta,
) -> None:
    """A short timeout alone is no reason: hold times may have become shorter.

    If requests with short timeouts never ran, no shorter time would be seen.
    """

    async def scenario() -> None:
        clock = ManualClock()
        gateway = make_gateway(clock)
        routed = make_routed_request(clock, time_left)
        async with gateway.open(routed, _OPTIONS) as server_call:
            with pytest.raises(NoServerError):
                await server_call.run()

    run(scenario())


def test_request_leaves_the_queue_when_its_time_runs_out() -> None:
    async def scenario() -> None:
        clock = LoopClock()
        gateway = make_gateway(clock)
        gateway.gate.resize(1)
        first = make_routed_request(clock, 60 * SECOND)
        async with gateway.open(first, _OPTIONS) as holder:
            await gateway.gate.admit(holder._make_ticket())
            routed = make_routed_request(clock, SECOND)
            async with gateway.open(routed, _OPTIONS) as server_call:
                with pytest.raises(OverloadedError):
                    await server_call.run()
        assert clock.elapsed() <= SECOND - _HOLD_TIME / 2

    run_in_virtual_time(scenario)
