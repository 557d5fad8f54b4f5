"""Beacons of nodes that start again.

Guards against taking beacons of an earlier life of a node for newer ones, or
those of a new life for outdated ones, whatever the time of day on its instance.
"""

import time

import pytest

from lib.beacon_network import BeaconNetwork
from lib.fleet import SECOND

_NAMES = ('one', 'two', 'three')
_OTHERS = {'two', 'three'}


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
