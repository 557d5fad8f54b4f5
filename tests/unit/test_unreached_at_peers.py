"""Requests of other nodes that do not reach the server beside this one.

The tests guard against a response that doesn't say that the request did not
run, or that arrives after the sender has given up: the caller would get 502 or
504 for a request that it may send again.
"""

import asyncio
from typing import Any
from unittest.mock import AsyncMock, Mock

import pytest

from bluebellslip._internal.calls.admission import Ticket
from bluebellslip._internal.calls.headers import NOT_RUN
from bluebellslip._internal.exceptions import (
    BluebellError,
    OverloadedError,
    ServerFailedError,
)
from bluebellslip._internal.proxy.body_transfers import BodyTransferLimiter
from bluebellslip._internal.proxy.ingress import REACHED_HEADER, PeerHandler
from bluebellslip._internal.proxy.latest_starts import ANSWER_TIME
from bluebellslip._internal.proxy.peer_queries import (
    QUERY_HEADER,
    PeerQueries,
)
from bluebellslip._internal.proxy.routed_request import (
    ROUTING_HEADER,
    encode_request,
)
from bluebellslip._internal.proxy.server_call import ServerCall
from bluebellslip._internal.proxy.server_gateway import ServerGateway
from lib.fleet import MS, SECOND
from lib.proxy_requests import (
    METADATA_HEADERS,
    OPTIONS,
    make_gateway,
    make_routed_request,
)
from lib.virtual_time import LoopClock, run_in_virtual_time

_SHORT_HOLD_TIME = 2 * MS


def make_peer_handler(gateway: ServerGateway) -> PeerHandler:
    return PeerHandler(
        gateway,
        METADATA_HEADERS,
        PeerQueries(),
        BodyTransferLimiter(8),
        Mock(),
    )


def test_request_that_waits_beside_a_peer_is_refused_in_time() -> None:
    async def scenario() -> None:
        clock = LoopClock()
        gateway = make_gateway(clock, _SHORT_HOLD_TIME)
        gateway.gate.resize(1)
        await gateway.gate.admit(Ticket(0, 0, clock.elapsed() + 60 * SECOND))
        handler = make_peer_handler(gateway)
        routed = make_routed_request(clock, SECOND)
        routed.request.fields = {
            ROUTING_HEADER: encode_request(routed, OPTIONS, clock.elapsed())
        }
        with pytest.raises(OverloadedError):
            await handler.handle(routed.request)
        assert not routed.request.reply.may_have_run
        assert clock.elapsed() <= SECOND - ANSWER_TIME

    run_in_virtual_time(scenario)


async def fail(server_call: ServerCall) -> None:
    raise ServerFailedError('The body broke off.')


async def hang(server_call: ServerCall) -> None:
    await asyncio.sleep(60)


@pytest.mark.parametrize('run', [fail, hang])
@pytest.mark.parametrize('is_sent', [False, True])
def test_peer_says_that_a_request_which_failed_before_the_server_did_not_run(
    monkeypatch: pytest.MonkeyPatch, run: Any, is_sent: bool
) -> None:
    """Whatever fails first: otherwise its caller gets 502 or 504."""

    async def run_call(server_call: ServerCall) -> None:
        server_call.sent = is_sent
        await run(server_call)

    async def scenario() -> None:
        clock = LoopClock()
        handler = make_peer_handler(make_gateway(clock, _SHORT_HOLD_TIME))
        monkeypatch.setattr(ServerCall, 'run', run_call)
        routed = make_routed_request(clock, SECOND)
        routed.request.fields = {
            ROUTING_HEADER: encode_request(routed, OPTIONS, clock.elapsed())
        }
        with pytest.raises(BluebellError) as caught:
            await handler.handle(routed.request)
        reply = routed.request.reply
        reply.respond = Mock()  # type: ignore[method-assign]
        reply.refuse(caught.value)
        fields = dict(reply.respond.call_args.args[1])
        assert (NOT_RUN in fields) is not is_sent
        assert (REACHED_HEADER in fields) is is_sent

    run_in_virtual_time(scenario)


def test_forwarded_request_is_no_query() -> None:
    """Its other headers are its caller's, also from a node of older code."""

    async def scenario() -> None:
        queries = PeerQueries()
        handler = AsyncMock()
        queries.register(b'config', handler)
        request = make_routed_request(LoopClock(), SECOND).request
        request.fields = {QUERY_HEADER: b'config', ROUTING_HEADER: b'[]'}
        assert not await queries.handle(request)
        handler.assert_not_awaited()
        del request.fields[ROUTING_HEADER]
        assert await queries.handle(request)

    run_in_virtual_time(scenario)
