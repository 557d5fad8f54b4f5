"""What nodes know of requests under which servers ended.

Guards against a fatal request that stays unknown somewhere after lost, late or
repeated beacons and restarts, against refusing requests that complete, and
against a memory or beacons that grow with the number of requests.
"""

from random import Random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellslip._internal.fleet.beacons import FatalRequestBeacon
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.proxy.fatal_requests import (
    MAX_REPORTS_PER_BEACON,
    FatalRequests,
)
from bluebellslip._internal.proxy.suspicions import (
    CLEARED_TIME,
    LIVES_TO_QUARANTINE,
    MAX_SUSPICIONS,
    QUARANTINE_TIME,
    RequestFingerprint,
    RequestHead,
)
from lib.fleet import SECOND

NODES = 4
MAX_BEACON_SHARE_BYTES = 600
ACTIONS = ('end', 'restart', 'send', 'send', 'receive', 'receive')


def make_request(number: int = 1) -> RequestFingerprint:
    head = RequestHead(b'GET', b'shop', b'/%d' % number, b'store').hash()
    return RequestFingerprint.from_body(head, b'')


class Mesh:
    """Nodes that exchange beacons when a test says so."""

    def __init__(self, nodes: int = NODES) -> None:
        self.clock = ManualClock()
        self.nodes = [self.make_node() for _ in range(nodes)]

    def make_node(self) -> FatalRequests:
        return FatalRequests(self.clock, InMemoryCounters())

    def broadcast(self, sender: int, *receivers: int) -> None:
        reports = self.nodes[sender].make_reports()
        for receiver in receivers or range(NODES):
            if receiver < len(self.nodes):
                self.nodes[receiver].merge(reports)

    def broadcast_all(self) -> None:
        for sender, _ in enumerate(self.nodes):
            self.broadcast(sender)

    def count_refusing(self, request: RequestFingerprint) -> int:
        return sum(node.is_fatal(request) for node in self.nodes)


def test_all_nodes_know_after_one_beacon_of_each() -> None:
    mesh = Mesh()
    for node in range(LIVES_TO_QUARANTINE):
        assert not mesh.count_refusing(make_request())
        mesh.nodes[node].record_end(node, [make_request()])
        mesh.broadcast_all()
    assert mesh.count_refusing(make_request()) == NODES


def test_one_life_counts_once_however_often_it_is_reported() -> None:
    mesh = Mesh()
    for life in (1, 1, 2, 2):
        mesh.nodes[0].record_end(life, [make_request()])
        mesh.broadcast(0)
        mesh.broadcast(1)
    assert not mesh.count_refusing(make_request())


def test_node_that_starts_again_learns_before_long() -> None:
    mesh = Mesh()
    for life in range(LIVES_TO_QUARANTINE):
        mesh.nodes[0].record_end(life, [make_request()])
    for _ in range(100):
        mesh.broadcast_all()
    mesh.nodes[3] = mesh.make_node()
    mesh.broadcast(1)
    assert mesh.nodes[3].is_fatal(make_request())


def test_request_that_completes_somewhere_is_not_refused() -> None:
    """It runs at each server that ends, as one for a popular path does."""
    mesh = Mesh()
    popular = make_request(2)
    for node in range(LIVES_TO_QUARANTINE):
        mesh.nodes[node].record_end(node, [make_request(), popular])
        mesh.nodes[3].record_completion(popular)
        mesh.broadcast_all()
        mesh.broadcast_all()
    assert mesh.count_refusing(make_request()) == NODES
    assert not mesh.count_refusing(popular)


def test_request_completed_before_by_the_same_life_is_no_suspect() -> None:
    mesh = Mesh(1)
    node = mesh.nodes[0]
    for life in range(LIVES_TO_QUARANTINE):
        node.record_completion(make_request())
        node.record_end(life, [make_request()])
    assert not node.is_fatal(make_request())
    assert not node.knows_head(make_request().head)


def test_quarantine_ends_when_the_request_stays_away() -> None:
    mesh = Mesh(2)
    for life in range(LIVES_TO_QUARANTINE):
        mesh.nodes[0].record_end(life, [make_request()])
    mesh.broadcast_all()
    mesh.clock.advance(QUARANTINE_TIME - SECOND)
    assert mesh.nodes[0].is_fatal(make_request())
    mesh.broadcast_all()
    mesh.clock.advance(2 * SECOND)
    mesh.broadcast_all()
    assert mesh.count_refusing(make_request()) == 2
    mesh.clock.advance(QUARANTINE_TIME)
    mesh.broadcast_all()
    mesh.broadcast_all()
    assert not mesh.count_refusing(make_request())


def test_request_that_was_cleared_can_be_suspected_again_later() -> None:
    mesh = Mesh(1)
    node = mesh.nodes[0]
    node.record_end(9, [make_request()])
    node.record_completion(make_request())
    mesh.clock.advance(CLEARED_TIME)
    node.make_reports()
    node.record_end(8, [])
    for life in range(LIVES_TO_QUARANTINE):
        node.record_end(life, [make_request()])
    assert node.is_fatal(make_request())


def test_many_fatal_requests_fill_neither_memory_nor_beacons() -> None:
    mesh = Mesh(2)
    for number in range(2 * MAX_SUSPICIONS):
        for life in range(LIVES_TO_QUARANTINE):
            mesh.nodes[0].record_end(life, [make_request(number)])
        reports = mesh.nodes[0].make_reports()
        assert len(reports) <= MAX_REPORTS_PER_BEACON
        assert len(msgspec.msgpack.encode(reports)) <= MAX_BEACON_SHARE_BYTES
    assert mesh.nodes[0].count == MAX_SUSPICIONS


def test_reports_with_impossible_ages_are_ignored() -> None:
    mesh = Mesh(1)
    request = make_request()
    for age in (-1, 10**12):
        mesh.nodes[0].merge([
            FatalRequestBeacon(
                request.head, request.whole, (1, 2, 3), age, is_cleared=False
            )
        ])
    assert not mesh.count_refusing(request)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 2**32), st.integers(0, 60))
def test_all_nodes_agree_after_losses_restarts_and_late_beacons(
    seed: int, steps: int
) -> None:
    """A beacon may be lost, arrive late and twice; any node may start again.

    Once no more is lost, all refuse a request that ended enough servers beside
    one node, and none refuses one that was completed.
    """
    random = Random(seed)
    mesh = Mesh()
    late: list[tuple[int, tuple[FatalRequestBeacon, ...]]] = []
    good = make_request(2)
    for step in range(steps):
        node = random.randrange(NODES)
        action = random.choice(ACTIONS)
        if action == 'end':
            mesh.nodes[node].record_end(step, [make_request(), good])
        elif action == 'restart':
            mesh.nodes[node] = mesh.make_node()
        elif action == 'send':
            late.append((node, mesh.nodes[node].make_reports()))
        elif late:
            mesh.nodes[node].merge(random.choice(late)[1])
    for life in range(LIVES_TO_QUARANTINE):
        mesh.nodes[0].record_end(-life, [make_request(), good])
    mesh.nodes[1].record_completion(good)
    for _ in range(3):
        mesh.broadcast_all()
    assert mesh.count_refusing(make_request()) == NODES
    assert not mesh.count_refusing(good)
