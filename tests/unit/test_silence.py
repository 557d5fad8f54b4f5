"""Nodes that lose power or network with requests in flight.

Nothing resets the connections to such a node. Guards against requests that
wait until their deadline although they could be retried elsewhere, and against
retries of requests that must not run twice.
"""

import asyncio
import datetime as dt
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.exceptions import ServerFailedError
from bluebellslip._internal.fleet.beacons import Reach
from bluebellslip._internal.fleet.peer_table import (
    SILENCE_TIMEOUT,
    Endpoint,
    PeerTable,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.proxy.server_selection import (
    MISSED_BEACON_AFTER,
    Requirements,
    ServerSelector,
)
from bluebellslip._internal.proxy.silence import SilenceTimeout
from lib.fleet import (
    LOCAL_LOCALITY,
    MS,
    ORDERS,
    ROUTE,
    make_beacon,
    make_endpoint,
    make_server_beacon,
)


def make_routed_request(
    *, repeatable: bool = True, started: bool = False
) -> Any:
    reply = SimpleNamespace(started=started)
    request = SimpleNamespace(reply=reply)
    return SimpleNamespace(is_repeatable=repeatable, request=request)


def make_peer() -> tuple[ManualClock, PeerTable, Endpoint]:
    clock = ManualClock()
    peer_table = PeerTable(clock, NodeId('me'), 'a')
    peer_table.apply_beacon(make_beacon('one', server=make_server_beacon()))
    return clock, peer_table, peer_table.endpoints(ORDERS)[0]


async def pass_silence_timeout(
    clock: ManualClock, peer_table: PeerTable
) -> None:
    await asyncio.sleep(0)
    clock.advance(SILENCE_TIMEOUT + MS)
    peer_table.expire()


def test_repeatable_request_does_not_wait_for_a_dead_node() -> None:
    async def scenario() -> None:
        clock, peer_table, endpoint = make_peer()
        silence_task = asyncio.create_task(
            pass_silence_timeout(clock, peer_table)
        )
        with pytest.raises(ServerFailedError):
            async with SilenceTimeout(endpoint, make_routed_request()):
                await asyncio.sleep(60)
        await silence_task
        assert not endpoint.silence_callbacks

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'work',
    [make_routed_request(repeatable=False), make_routed_request(started=True)],
)
def test_wait_goes_on_for_a_response_that_may_still_arrive(work: Any) -> None:
    async def scenario() -> None:
        clock, peer_table, endpoint = make_peer()
        async with SilenceTimeout(endpoint, work):
            await pass_silence_timeout(clock, peer_table)
            await asyncio.sleep(0)
        assert not endpoint.silence_callbacks

    asyncio.run(scenario())


def test_other_errors_are_propagated() -> None:
    async def scenario() -> None:
        _, _, endpoint = make_peer()
        with pytest.raises(TimeoutError):
            async with SilenceTimeout(endpoint, make_routed_request()):
                raise TimeoutError

    asyncio.run(scenario())


def test_node_that_missed_a_beacon_is_avoided_while_others_send_theirs() -> (
    None
):
    clock = ManualClock()
    server_selector = ServerSelector(clock, Random(3), LOCAL_LOCALITY, 0.05)
    requirements = Requirements(ROUTE, 2, 400 * MS, 1200 * MS)
    overdue, on_time = (
        make_endpoint('quiet', hold_time=50 * MS),
        make_endpoint('heard'),
    )
    clock.advance(MISSED_BEACON_AFTER + MS)
    on_time.load.received_at = clock.elapsed()
    for _ in range(20):
        chosen = server_selector.choose([overdue, on_time], requirements)
        assert chosen is not None
        assert chosen.endpoint is on_time
    alone = server_selector.choose([overdue], requirements)
    assert alone is not None


@pytest.mark.parametrize(
    ('peers', 'age', 'is_used'),
    [(12, 1.0, True), (12, 2.0, False), (196, 2.0, True), (196, 5.0, False)],
)
def test_node_heard_in_its_round_has_not_missed_a_beacon(
    peers: int, age: float, *, is_used: bool
) -> None:
    """In a large mesh, nodes of other domains are not heard in each round."""
    clock = ManualClock()
    peer_table = PeerTable(clock, NodeId('me'), 'a')
    address = Address('10.0.0.9', 7620)
    for number in range(peers - 2):
        peer_table.add_registered(
            NodeRegistration(NodeId(f'n{number}'), address, 'c')
        )
    server = make_server_beacon()
    for node, passed in (('earlier', age), ('now', 0)):
        beacon = make_beacon(
            node, server=server, domain='b', reach=Reach.PASSED_ON
        )
        peer_table.apply_beacon(beacon)
        clock.advance(dt.timedelta(seconds=passed))
    selector = ServerSelector(clock, Random(3), LOCAL_LOCALITY, 0.05)
    requirements = Requirements(ROUTE, 2, 400 * MS, 1200 * MS)
    choices = [
        selector.choose(peer_table.endpoints(ORDERS), requirements)
        for _ in range(100)
    ]
    nodes = {choice.endpoint.node for choice in choices if choice}
    assert ('earlier' in nodes) is is_used
    assert 'now' in nodes
