"""Servers that left, after the node that acknowledged it was killed.

Guards against requests to a server whose departure was acknowledged: its last
heartbeats may arrive seconds late, at a node that has started again and knows
nothing of before.
"""

import asyncio
import itertools
from random import Random

import pytest

from bluebellslip._internal.fleet.beacons import ServerBeacon
from bluebellslip._internal.fleet.departures import (
    MAX_REPORTED,
    REPORT_PERIOD,
)
from bluebellslip._internal.fleet.local_server import (
    LocalServer,
    MessageResult,
)
from bluebellslip._internal.models.servers import Lifetime, ServerState
from lib.beacon_network import BeaconNetwork, BeaconNode
from lib.fleet import (
    ORDERS,
    SECOND,
    SERVER_ADDRESS,
    make_beacon,
    make_heartbeat,
    make_server_beacon,
)

_NAMES = ('one', 'two', 'three')
_LATE = 40
_REPLACED = make_heartbeat(1, born=2000)


class ServingNode:
    """A node and its local server, connected as in a mesh node."""

    def __init__(self, network: BeaconNetwork, name: str) -> None:
        self.node: BeaconNode = network.nodes[name]
        self._network = network
        self.start()

    @property
    def endpoints(self) -> list[Lifetime]:
        """Lives of servers that this node sends requests to."""
        return [
            endpoint.lifetime for endpoint in self.node.table.endpoints(ORDERS)
        ]

    def start(self) -> None:
        """Start the process, which knows nothing of before."""
        self.node.start()
        self.server = LocalServer(
            self._network.clock, ORDERS, SERVER_ADDRESS, SECOND
        )
        self.node.table.departures.connect(self.node.name, self.server)
        self.node.source.read_server = self._make_server_beacon

    def _make_server_beacon(self) -> ServerBeacon | None:
        info = self.server.info
        if info is None or info.state is ServerState.GONE:
            return None
        return ServerBeacon(
            server=info.lifetime.server,
            born=info.lifetime.born,
            service=info.service,
            version=info.version,
            state=info.state,
            usable=self.server.is_usable,
            slots=12,
            in_use=0,
            waiting=0,
            hold_ms=0,
            failure_rate=0,
            warmup_remaining_ms=0,
        )


class Fleet:
    """Three nodes with a server each; that of ``one`` leaves."""

    def __init__(self) -> None:
        self.network = BeaconNetwork(_NAMES)
        self.nodes = {name: ServingNode(self.network, name) for name in _NAMES}
        self.one = self.nodes['one']
        self.others = [self.nodes['two'], self.nodes['three']]
        self.network.introduce_all()
        for node in self.nodes.values():
            node.server.apply_heartbeat(make_heartbeat(1))
        self.network.broadcast()

    def is_used(self) -> bool:
        """Whether any node would send requests to the server of ``one``."""
        return self.one.server.is_usable or any(
            endpoint.node == 'one'
            for node in self.others
            for endpoint in node.node.table.endpoints(ORDERS)
        )

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds * 2)):
            self.network.clock.advance(SECOND / 2)
            self.network.broadcast()

    def restart(self) -> None:
        """Kill the node and start it; it reads its peers from the store."""
        self.one.start()
        self.network.introduce(self.one.node)


def leave(server: LocalServer, how: str) -> None:
    if how == 'gone':
        server.apply_departure('i-1')
    elif how == 'draining':
        server.apply_heartbeat(make_heartbeat(2, state=ServerState.DRAINING))
    else:
        server.apply_leaving(Lifetime(1000, 'i-1'))


@pytest.mark.parametrize('how', ['gone', 'draining', 'response'])
def test_late_heartbeat_after_a_restart_does_not_bring_a_server_back(
    how: str,
) -> None:
    fleet = Fleet()
    assert fleet.is_used()
    leave(fleet.one.server, how)
    fleet.network.broadcast()
    assert not fleet.is_used()
    fleet.restart()
    fleet.network.broadcast()
    for sequence in (_LATE, _LATE + 1, _LATE + 2):
        fleet.one.server.apply_heartbeat(make_heartbeat(sequence))
        fleet.run(1)
        assert not fleet.is_used()


def test_late_heartbeat_before_the_first_beacon_is_held_back() -> None:
    fleet = Fleet()
    leave(fleet.one.server, 'gone')
    fleet.network.broadcast()
    fleet.one.start()
    fleet.one.server.apply_heartbeat(make_heartbeat(_LATE))
    assert not fleet.one.server.is_usable
    fleet.network.introduce(fleet.one.node)
    fleet.run(1)
    assert not fleet.is_used()


def test_departure_is_known_although_the_first_reports_of_it_are_lost() -> None:
    """A peer that heard of it tells the others and the node itself."""
    fleet = Fleet()
    leave(fleet.one.server, 'gone')
    fleet.one.node.protocol.broadcast(0, has_update=True)
    fleet.network.in_flight = fleet.network.in_flight[:1]
    fleet.network.deliver_all()
    fleet.restart()
    fleet.one.server.apply_heartbeat(make_heartbeat(_LATE))
    fleet.run(1)
    assert not fleet.is_used()


def test_departure_long_ago_is_told_to_the_node_when_it_starts() -> None:
    """A server may stay for many seconds after it has left."""
    fleet = Fleet()
    leave(fleet.one.server, 'gone')
    fleet.network.broadcast()
    fleet.run(REPORT_PERIOD.total_seconds() + 5)
    fleet.restart()
    fleet.one.server.apply_heartbeat(make_heartbeat(_LATE))
    fleet.run(1)
    assert not fleet.is_used()


def test_departure_of_a_server_that_its_node_never_heard_outlasts_a_kill() -> (
    None
):
    """The node was started again twice, before and after the departure."""
    fleet = Fleet()
    fleet.restart()
    assert fleet.one.server.apply_departure('i-1') is MessageResult.STALE
    fleet.network.broadcast()
    fleet.restart()
    fleet.one.server.apply_heartbeat(make_heartbeat(_LATE))
    fleet.run(1)
    assert not fleet.is_used()


def test_next_life_under_the_same_id_is_used_at_once() -> None:
    fleet = Fleet()
    leave(fleet.one.server, 'gone')
    fleet.network.broadcast()
    fleet.restart()
    fleet.one.server.apply_heartbeat(_REPLACED)
    fleet.network.broadcast()
    assert fleet.is_used()
    assert Lifetime(2000, 'i-1') in fleet.others[0].endpoints


def test_server_that_stays_is_used_as_soon_as_a_peer_is_heard() -> None:
    """Its node was killed; its heartbeats have high numbers."""
    fleet = Fleet()
    fleet.one.start()
    fleet.one.server.apply_heartbeat(make_heartbeat(_LATE))
    assert not fleet.one.server.is_usable
    fleet.network.introduce(fleet.one.node)
    assert fleet.one.server.is_usable
    fleet.network.broadcast()
    assert fleet.is_used()


def test_server_that_stays_is_used_without_any_peer() -> None:
    """Its second heartbeat is evidence enough; all other nodes are down."""
    fleet = Fleet()
    fleet.one.start()
    for sequence in (_LATE, _LATE + 1):
        fleet.one.server.apply_heartbeat(make_heartbeat(sequence))
        fleet.network.clock.advance(SECOND)
    assert fleet.one.server.is_usable


def test_server_that_starts_with_its_node_is_used_at_once() -> None:
    fleet = Fleet()
    fleet.one.start()
    fleet.one.server.apply_heartbeat(_REPLACED)
    assert fleet.one.server.is_usable


def test_beacons_stay_small_however_many_servers_leave() -> None:
    fleet = Fleet()
    departures = fleet.one.node.table.departures
    for number in range(MAX_REPORTED * 3):
        departures.record('other', Lifetime(number + 1, f'i-{number}'))
    assert len(departures.make_reports()) == MAX_REPORTED
    fleet.network.clock.advance(REPORT_PERIOD)
    assert not departures.make_reports()


def test_report_of_an_old_departure_does_not_hide_the_recent_ones() -> None:
    fleet = Fleet()
    fleet.run(REPORT_PERIOD.total_seconds())
    departures = fleet.one.node.table.departures
    departures.record('four', Lifetime(1, 'i-4'))
    departures.record('five', Lifetime(1, 'i-5'), REPORT_PERIOD)
    departures.record('six', Lifetime(1, 'i-6'), 2 * SECOND)
    assert {report.node for report in departures.make_reports()} == {
        'four',
        'six',
    }


@pytest.mark.parametrize('seed', range(40))
def test_no_order_of_events_brings_back_a_server_that_left(seed: int) -> None:
    """Restarts, rounds, lost datagrams and late heartbeats in any order.

    At most one of the nodes is down at a time, and it is back before the next
    one is killed, as long as a round takes.
    """
    random = Random(seed)
    fleet = Fleet()
    late = [make_heartbeat(sequence) for sequence in range(2, 8)]
    leave(fleet.one.server, random.choice(('gone', 'draining', 'response')))
    fleet.network.broadcast()
    for node in itertools.islice(
        itertools.cycle(random.sample(tuple(fleet.nodes.values()), 3)), 6
    ):
        node.start()
        if random.getrandbits(1) and late and node is fleet.one:
            fleet.one.server.apply_heartbeat(late.pop(0))
        fleet.network.introduce(node.node)
        node.server.apply_heartbeat(
            late[0] if node is fleet.one else make_heartbeat(9)
        )
        fleet.run(1)
        assert not fleet.is_used()


def test_report_of_a_peer_does_not_end_another_life() -> None:
    fleet = Fleet()
    report = make_beacon('four', server=make_server_beacon('i-1'))
    fleet.one.node.table.apply_beacon(report)
    fleet.one.node.table.departures.record('one', Lifetime(999, 'i-1'))
    assert fleet.one.server.is_usable


def test_departure_is_sent_before_its_ack() -> None:
    """The ack follows one turn of the loop after the request to send."""

    async def run() -> None:
        fleet = Fleet()
        protocol = fleet.one.node.protocol
        sending = asyncio.create_task(protocol.run())
        await asyncio.sleep(0)
        fleet.network.in_flight.clear()
        leave(fleet.one.server, 'gone')
        protocol.request_broadcast()
        await asyncio.sleep(0)
        sending.cancel()
        assert len(fleet.network.in_flight) == len(fleet.others)
        fleet.network.deliver_all()
        assert not fleet.is_used()

    asyncio.run(run())
