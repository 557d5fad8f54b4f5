"""Request bodies that a node sends to others over its own narrow link.

The tests guard against bodies that fill the queue of the link: refusals, other
responses and beacons of the node would wait behind all of them.
"""

import asyncio
from unittest.mock import Mock

import pytest

from bluebellslip._internal.calls.body_pacing import (
    MAX_BURST,
    BodyPacer,
)
from bluebellslip._internal.calls.exchange import Exchange, Upload
from bluebellslip._internal.calls.outbound import OutboundConnection
from bluebellslip._internal.models.identity import Address
from lib.fake_transport import deliver
from lib.narrow_link import LinkTransport, NarrowLink
from lib.proxy_requests import BODY_BYTES, make_inbound_request
from lib.virtual_time import run_in_virtual_time

_ADDRESS = Address('10.0.0.9', 8300)
_LINK_MBPS = 5.0
_BYTES_PER_SECOND = 625_000
_BURST_BYTES = _BYTES_PER_SECOND * MAX_BURST.total_seconds()
_BODIES = 20
_HEADS_BYTES = 300 * _BODIES


class Sender:
    """Sends bodies over one link; each receiver asks for its body at once."""

    def __init__(self, link: NarrowLink, pacer: BodyPacer) -> None:
        self._link = link
        self._pacer = pacer
        self.transports: list[LinkTransport] = []
        self.connections: list[OutboundConnection] = []
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to send a body over a connection of its own."""
        connection = OutboundConnection()
        transport = LinkTransport(self._link)
        connection.connection_made(transport)
        self.transports.append(transport)
        self.connections.append(connection)
        self._tasks.append(asyncio.create_task(self._send(connection)))

    def cancel(self) -> None:
        for task in self._tasks:
            task.cancel()

    async def _send(self, connection: OutboundConnection) -> None:
        request = make_inbound_request(content_length=b'%d' % BODY_BYTES)
        request.body.feed(b'x' * BODY_BYTES)
        request.body.finish()
        pool = Mock()
        pool.acquire = Mock(side_effect=[as_result(connection)])
        with Exchange(
            pool, _ADDRESS, expects_continue=True, pacer=self._pacer
        ) as exchange:
            await exchange.open()
            sending = asyncio.create_task(
                exchange.send(request, [], Upload(request))
            )
            await asyncio.sleep(0)
            deliver(connection, b'HTTP/1.1 100 Continue\r\n\r\n')
            await sending


async def as_result(connection: OutboundConnection) -> OutboundConnection:
    return connection


def test_response_waits_for_few_bytes_of_the_bodies_that_a_node_sends() -> None:
    async def scenario() -> None:
        link = NarrowLink(_BYTES_PER_SECOND)
        sender = Sender(link, BodyPacer(_LINK_MBPS))
        for _ in range(_BODIES):
            sender.start()
        await asyncio.sleep(60)
        assert all(
            transport.carried > BODY_BYTES for transport in sender.transports
        )
        assert link.max_queued <= _BURST_BYTES + _HEADS_BYTES
        sender.cancel()

    run_in_virtual_time(scenario)


def test_slow_receiver_does_not_delay_other_bodies() -> None:
    async def scenario() -> None:
        sender = Sender(NarrowLink(_BYTES_PER_SECOND), BodyPacer(_LINK_MBPS))
        sender.start()
        sender.start()
        sender.connections[0].pause_writing()
        await asyncio.sleep(60)
        slow, other = sender.transports
        assert slow.carried < BODY_BYTES
        assert other.carried > BODY_BYTES
        sender.cancel()

    run_in_virtual_time(scenario)


def test_cancelled_body_does_not_delay_other_bodies() -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        pacer = BodyPacer(_LINK_MBPS)
        await pacer.wait_turn(int(_BURST_BYTES))
        waiting = [
            asyncio.create_task(pacer.wait_turn(1_000_000)) for _ in range(9)
        ]
        await asyncio.sleep(0)
        for task in waiting:
            task.cancel()
        await pacer.wait_turn(int(_BURST_BYTES))
        assert loop.time() <= 2 * MAX_BURST.total_seconds()

    run_in_virtual_time(scenario)


@pytest.mark.parametrize('link_mbps', [5, 10, 1000])
def test_pieces_of_a_body_are_the_body(link_mbps: float) -> None:
    body = bytes(range(256)) * 400
    pieces = list(BodyPacer(link_mbps).split(body))
    assert b''.join(pieces) == body
    assert (len(pieces) == 1) == (link_mbps == 1000)
