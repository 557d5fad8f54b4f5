"""The table of other nodes, built from their beacons.

Beacons may be lost, reordered, garbled, or sent before a restart.
Guards against requests to servers that are draining, gone or replaced.
"""

import pytest

from bluebellslip._internal.control.ports import NodeRegistration
from bluebellslip._internal.exceptions import PeerGarbledError
from bluebellslip._internal.fleet.beacons import (
    NodeState,
    decode_beacon,
    encode_beacon,
)
from bluebellslip._internal.fleet.peer_table import (
    PEER_RETENTION,
    SILENCE_TIMEOUT,
    PeerTable,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.servers import ServerState
from lib.fleet import MS, ORDERS, make_beacon, make_server_beacon

_BEACON_ADDRESS = Address('10.0.0.9', 7620)


def make_table(clock: ManualClock | None = None) -> PeerTable:
    return PeerTable(clock or ManualClock(), NodeId('me'))


def test_encoded_beacon_decodes_to_itself() -> None:
    beacon = make_beacon('one', server=make_server_beacon())
    assert decode_beacon(encode_beacon(beacon)) == beacon


@pytest.mark.parametrize('datagram', [b'', b'\xff\xff', b'\x93\x01\x02\x03'])
def test_garbled_datagram_is_refused(datagram: bytes) -> None:
    with pytest.raises(PeerGarbledError):
        decode_beacon(datagram)


def test_server_of_a_peer_is_an_endpoint() -> None:
    peer_table = make_table()
    peer_table.apply_beacon(make_beacon('one', server=make_server_beacon()))
    assert [endpoint.node for endpoint in peer_table.endpoints(ORDERS)] == [
        'one'
    ]


def test_reordered_beacon_is_ignored() -> None:
    peer_table = make_table()
    draining = make_server_beacon(state=ServerState.DRAINING)
    peer_table.apply_beacon(make_beacon('one', 2, server=draining))
    late = make_beacon('one', 1, server=make_server_beacon())
    assert peer_table.apply_beacon(late) is None
    assert not peer_table.endpoints(ORDERS)


def test_beacon_after_a_restart_counts_whatever_its_sequence_number() -> None:
    peer_table = make_table()
    peer_table.apply_beacon(make_beacon('one', 900, life=1))
    server = make_server_beacon('i-2')
    peer_table.apply_beacon(make_beacon('one', 1, life=2, server=server))
    assert len(peer_table.endpoints(ORDERS)) == 1


def test_leaving_node_gets_nothing() -> None:
    peer_table = make_table()
    server = make_server_beacon()
    peer_table.apply_beacon(make_beacon('one', 1, server=server))
    leaving = make_beacon('one', 2, server=server, state=NodeState.LEAVING)
    peer_table.apply_beacon(leaving)
    assert not peer_table.endpoints(ORDERS)


def test_unusable_server_gets_nothing() -> None:
    peer_table = make_table()
    server = make_server_beacon(usable=False)
    peer_table.apply_beacon(make_beacon('one', server=server))
    assert not peer_table.endpoints(ORDERS)


def test_silent_node_is_excluded_until_its_next_beacon() -> None:
    clock = ManualClock()
    peer_table = make_table(clock)
    server = make_server_beacon()
    peer_table.apply_beacon(make_beacon('one', 1, server=server))
    clock.advance(SILENCE_TIMEOUT + MS)
    peer_table.expire()
    assert not peer_table.endpoints(ORDERS)
    assert peer_table.count_alive() == 0
    peer_table.apply_beacon(make_beacon('one', 2, server=server))
    assert len(peer_table.endpoints(ORDERS)) == 1


def test_replaced_server_is_another_endpoint() -> None:
    peer_table = make_table()
    first = make_beacon('one', 1, server=make_server_beacon('i-1'))
    peer_table.apply_beacon(first)
    peer_table.endpoints(ORDERS)[0].in_flight = 7
    second = make_beacon('one', 2, server=make_server_beacon('i-2'))
    peer_table.apply_beacon(second)
    [endpoint] = peer_table.endpoints(ORDERS)
    assert (endpoint.lifetime.server, endpoint.in_flight) == ('i-2', 0)


def test_own_entry_is_no_peer() -> None:
    peer_table = make_table()
    assert (
        peer_table.add_registered(
            NodeRegistration(NodeId('me'), _BEACON_ADDRESS, 'a')
        )
        is None
    )
    assert peer_table.apply_beacon(make_beacon('me')) is None
    assert peer_table.size == 0


def test_newest_revision_of_all_peers() -> None:
    peer_table = make_table()
    peer_table.apply_beacon(make_beacon('one', revision=3))
    peer_table.apply_beacon(make_beacon('two', revision=8))
    assert peer_table.newest_revision == 8


def test_first_beacon_tells_a_starting_node_how_many_nodes_there_are() -> None:
    """It would take too large a part of limits that all nodes share."""
    clock = ManualClock()
    peer_table = make_table(clock)
    assert peer_table.deployment_size == 1
    peer_table.apply_beacon(make_beacon('one', known_nodes=76))
    peer_table.apply_beacon(make_beacon('two', known_nodes=3))
    assert peer_table.deployment_size == 76
    peer_table.expire()
    assert peer_table.deployment_size == 76
    peer_table.apply_beacon(make_beacon('one', 2, known_nodes=4))
    peer_table.expire()
    assert peer_table.deployment_size == 4


def test_server_that_leaves_is_not_used_again_whatever_its_node_reports() -> (
    None
):
    """The node may have started again and hear that the server is ready."""
    clock = ManualClock()
    peer_table = make_table(clock)
    ready = make_server_beacon('i-1')
    peer_table.apply_beacon(make_beacon('one', server=ready))
    peer_table.mark_leaving(peer_table.endpoints(ORDERS)[0])
    assert not peer_table.endpoints(ORDERS)
    peer_table.apply_beacon(make_beacon('one', 2, server=ready))
    peer_table.apply_beacon(make_beacon('one', 1, life=2, server=ready))
    assert not peer_table.endpoints(ORDERS)
    clock.advance(PEER_RETENTION + SILENCE_TIMEOUT)
    peer_table.expire()
    peer_table.apply_beacon(make_beacon('one', 2, life=2, server=ready))
    assert not peer_table.endpoints(ORDERS)
    replaced = make_server_beacon('i-2')
    peer_table.apply_beacon(make_beacon('one', 3, life=2, server=replaced))
    assert peer_table.endpoints(ORDERS)
