"""Beacons of nodes that start again.

Guards against taking beacons of an earlier life of a node for newer ones, or
those of a new life for outdated ones, whatever the time of day on its instance.
"""

import itertools
import time

import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from hypothesis.strategies import booleans, integers, sampled_from

from bluebellslip._internal.fleet.beacons import encode_beacon
from lib.beacon_network import BeaconNetwork
from lib.fleet import SECOND, make_beacon

_NAMES = ('one', 'two', 'three')
_OTHERS = {'two', 'three'}
_MODEL_NAMES = ('one', 'two', 'three', 'four')
_MAX_DELAYED = 60
# The highest number that the encoding of beacons can hold.
_MAX_NUMBER = 2**64 - 1


def set_time_of_day(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    monkeypatch.setattr(time, 'time_ns', lambda: int(seconds * 1e9))


@pytest.mark.parametrize('step', [-60, -2, 0, 2, 3600])
def test_restarted_node_is_heard_whatever_its_time_of_day(
    monkeypatch: pytest.MonkeyPatch, step: float
) -> None:
    set_time_of_day(monkeypatch, 1_000_000)
    network = BeaconNetwork(_NAMES)
    network.introduce_all()
    network.broadcast()
    set_time_of_day(monkeypatch, 1_000_000 + step)
    one = network.nodes['one']
    one.start()
    network.introduce(one)
    network.clock.advance(SECOND)
    network.broadcast()
    network.clock.advance(SECOND)
    network.broadcast()
    for name in _OTHERS:
        node = network.nodes[name]
        node.table.expire()
        assert node.servers_heard == set(_NAMES) - {name}
    assert one.servers_heard == _OTHERS


def test_superseded_beacon_is_answered_only_once() -> None:
    """Two processes under one name must not flood the others."""
    network = BeaconNetwork(_NAMES)
    network.introduce_all()
    one = network.nodes['one']
    one.start()
    one.protocol.broadcast(0, has_update=False)
    network.introduce(one)
    assert one.protocol.life.number == 2
    sent = len(_OTHERS)
    one.protocol.broadcast(0, has_update=False)
    assert len(network.in_flight) == sent
    network.deliver_all()
    assert one.protocol.life.number == 2


class LivesUnderFaults(RuleBasedStateMachine):
    """Restarts, rounds, and datagrams that are lost, late or doubled."""

    def __init__(self) -> None:
        super().__init__()
        self.network = BeaconNetwork(_MODEL_NAMES)
        self.numbers: dict[tuple[int, str], int] = {}

    @rule(name=sampled_from(_MODEL_NAMES))
    def restart(self, name: str) -> None:
        node = self.network.nodes[name]
        node.start()
        node.protocol.add_registered(
            tuple(peer.registration for peer in self.network.nodes.values())
        )

    @rule(name=sampled_from(_MODEL_NAMES))
    def broadcast(self, name: str) -> None:
        self.network.nodes[name].protocol.broadcast(0, has_update=False)

    @precondition(lambda machine: machine.network.in_flight)
    @rule(index=integers(0, _MAX_DELAYED), is_doubled=booleans())
    def deliver(self, index: int, *, is_doubled: bool) -> None:
        index %= len(self.network.in_flight)
        if is_doubled:
            self.network.in_flight.append(self.network.in_flight[index])
        self.network.deliver(index)

    @precondition(lambda machine: machine.network.in_flight)
    @rule(index=integers(0, _MAX_DELAYED))
    def lose(self, index: int) -> None:
        self.network.in_flight.pop(index % len(self.network.in_flight))

    @invariant()
    def no_node_goes_back_to_an_earlier_life(self) -> None:
        for node in self.network.nodes.values():
            for peer in node.table.peers:
                if peer.last_beacon is None:
                    continue
                key = (node.protocol.life.token, peer.node)
                number = peer.last_beacon.life.number
                assert number >= self.numbers.get(key, 0)
                self.numbers[key] = number

    def teardown(self) -> None:
        self.network.deliver_all()
        for _ in _MODEL_NAMES:
            self.network.introduce_all()
            self.network.broadcast()
        nodes = self.network.nodes.values()
        for node, other in itertools.permutations(nodes, 2):
            peer = node.table.find(other.name)
            assert peer is not None
            assert peer.last_beacon is not None
            assert peer.last_beacon.life == other.protocol.life


TestLivesUnderFaults = LivesUnderFaults.TestCase
TestLivesUnderFaults.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=60
)


def test_node_goes_on_after_a_beacon_with_the_highest_number() -> None:
    """No number above it can be sent."""
    network = BeaconNetwork(_NAMES)
    network.introduce_all()
    beacon = make_beacon('two', 99, address=str(network.nodes['two'].address))
    forged = msgspec.structs.replace(beacon, known_life=_MAX_NUMBER)
    network.nodes['one'].protocol.receive(encode_beacon(forged))
    network.broadcast()
