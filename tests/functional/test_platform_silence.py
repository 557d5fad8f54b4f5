"""Nodes that are silent or slow for a while, and go on.

Guards against work that is run a second time, or given up, although the node
beside its server still runs it, and against a slow node that takes all others
for dead because it reads their beacons late.
"""

import asyncio
import socket
from random import Random

import anyio
import pytest

from bluebellslip._internal.fleet.beacon_protocol import (
    BeaconProtocol,
    BeaconSource,
)
from bluebellslip._internal.fleet.beacons import encode_beacon
from bluebellslip._internal.fleet.peer_table import PeerTable
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.identity import Locality, NodeId
from lib.calls import ReceivedRequest, find_free_address
from lib.fleet import make_beacon, make_server_beacon
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_signed_response,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
)

pytestmark = pytest.mark.anyio

_CONFIG = make_document_json(
    3, make_route_json('r-page', '/page/', 'orders', timeout_s=20)
)
_RUN_S = 5
_PEERS = 60
# More iterations of the loop than a node needs to read all that waits.
_ITERATIONS = 5


class RecordingServer:
    """Records the requests that it runs, each for ``_RUN_S`` seconds."""

    def __init__(self, name: str, arrivals: list[str]) -> None:
        self._name = name
        self._arrivals = arrivals

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        self._arrivals.append(self._name)
        await asyncio.sleep(_RUN_S)
        writer.write(encode_signed_response(request, self._name.encode()))


async def test_running_request_is_not_run_again_since_beacons_are_missing() -> (
    None
):
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    arrivals: list[str] = []
    backs = {
        name: PlatformNode(
            name, 'orders', store, RecordingServer(name, arrivals).handle
        )
        for name in ('back-1', 'back-2')
    }
    front = PlatformNode('front', 'art', store, respond_signed(b'art'))
    async with run_nodes(store, [front, *backs.values()]):
        running = asyncio.create_task(
            front.call('/page/1', x_deadline_ms='20000')
        )
        while not arrivals:
            await anyio.sleep(0.02)
        backs[arrivals[0]].node._state.beacon_protocol.close()
        response = await running
    assert len(arrivals) == 1
    assert response.body == arrivals[0].encode()


async def test_slow_node_hears_all_beacons_that_wait() -> None:
    """A slow node has few iterations of its loop a second."""
    address = find_free_address()
    peer_table = PeerTable(ManualClock(), NodeId('me'), 'a')
    beacon_protocol = BeaconProtocol(
        NodeId('me'),
        Locality('north', 'a'),
        find_free_address(),
        address,
        peer_table,
        BeaconSource(),
        Random(1),
        InMemoryCounters(),
    )
    await beacon_protocol.open(address)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for number in range(_PEERS):
            beacon = make_beacon(f'n{number}', server=make_server_beacon())
            sender.sendto(encode_beacon(beacon), (address.host, address.port))
    for _ in range(_ITERATIONS):
        await asyncio.sleep(0)
    beacon_protocol.close()
    assert peer_table.count_alive() == _PEERS
