"""Other nodes by their beacons."""

import pytest

from bluebellslip._internal.control.ports import NodeEntry
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.fleet.beacons import (
    NodeState,
    decode_beacon,
    encode_beacon,
)
from bluebellslip._internal.fleet.roster import SILENT_AFTER, Roster
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.servers import ServerState
from lib.fleet import MS, ORDERS, make_beacon, make_server_beacon

_SENDER = Address('10.0.0.9', 7620)


def make_roster(clock: ManualClock | None = None) -> Roster:
    return Roster(clock or ManualClock(), NodeId('me'))


def test_beacon_survives_the_wire() -> None:
    beacon = make_beacon('one', server=make_server_beacon())
    assert decode_beacon(encode_beacon(beacon)) == beacon


@pytest.mark.parametrize('datagram', [b'', b'\xff\xff', b'\x93\x01\x02\x03'])
def test_garbled_datagram_is_refused(datagram: bytes) -> None:
    with pytest.raises(PeerGarbledError):
        decode_beacon(datagram)


def test_server_of_a_peer_takes_work() -> None:
    roster = make_roster()
    roster.hear(make_beacon('one', server=make_server_beacon()))
    assert [each.node for each in roster.endpoints(ORDERS)] == ['one']


def test_late_beacon_is_passed_over() -> None:
    roster = make_roster()
    leaving = make_server_beacon(state=ServerState.DRAINING)
    roster.hear(make_beacon('one', 2, server=leaving))
    late = make_beacon('one', 1, server=make_server_beacon())
    assert roster.hear(late) is None
    assert not roster.endpoints(ORDERS)


def test_beacon_of_a_later_life_counts_whatever_its_number() -> None:
    roster = make_roster()
    roster.hear(make_beacon('one', 900, started=1))
    server = make_server_beacon('i-2')
    roster.hear(make_beacon('one', 1, started=2, server=server))
    assert len(roster.endpoints(ORDERS)) == 1


def test_leaving_node_gets_nothing() -> None:
    roster = make_roster()
    server = make_server_beacon()
    roster.hear(make_beacon('one', 1, server=server))
    leaving = make_beacon('one', 2, server=server, state=NodeState.LEAVING)
    roster.hear(leaving)
    assert not roster.endpoints(ORDERS)


def test_unusable_server_gets_nothing() -> None:
    roster = make_roster()
    server = make_server_beacon(usable=False)
    roster.hear(make_beacon('one', server=server))
    assert not roster.endpoints(ORDERS)


def test_silent_node_is_left_out_and_comes_back() -> None:
    clock = ManualClock()
    roster = make_roster(clock)
    server = make_server_beacon()
    roster.hear(make_beacon('one', 1, server=server))
    clock.advance(SILENT_AFTER + MS)
    roster.expire()
    assert not roster.endpoints(ORDERS)
    assert roster.count_alive() == 0
    roster.hear(make_beacon('one', 2, server=server))
    assert len(roster.endpoints(ORDERS)) == 1


def test_replaced_server_is_another_endpoint() -> None:
    roster = make_roster()
    first = make_beacon('one', 1, server=make_server_beacon('i-1'))
    roster.hear(first)
    roster.endpoints(ORDERS)[0].in_flight = 7
    second = make_beacon('one', 2, server=make_server_beacon('i-2'))
    roster.hear(second)
    [endpoint] = roster.endpoints(ORDERS)
    assert (endpoint.lifetime.server, endpoint.in_flight) == ('i-2', 0)


def test_own_entry_is_no_peer() -> None:
    roster = make_roster()
    assert roster.introduce(NodeEntry(NodeId('me'), _SENDER, 'a')) is None
    assert roster.hear(make_beacon('me')) is None
    assert roster.size == 0


def test_newest_revision_of_all_peers() -> None:
    roster = make_roster()
    roster.hear(make_beacon('one', revision=3))
    roster.hear(make_beacon('two', revision=8))
    assert roster.newest_revision == 8
