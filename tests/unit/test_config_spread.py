"""Configurations on their way from the store to all nodes.

Guards against nodes that stay behind for as long as changes keep coming.
"""

import pytest

from lib.config_spread import Delays, SpreadFleet
from lib.virtual_time import run_in_virtual_time

# Time after the store's acknowledgement at which a change has to be in force.
CONFIG_APPLY_S = 2.5
CHANGE_GAP_S = 0.575
DOMAINS = {'a': 20, 'b': 18, 'c': 18, 'd': 16}
# Nodes and a store that are busy, as in an overload.
BUSY = Delays(store=(0.1, 0.6), beacon=(0.01, 0.15), query=(0.1, 0.8))


@pytest.mark.parametrize('seed', [1, 2])
def test_no_node_stays_behind_during_a_storm_of_changes(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    async def run() -> None:
        fleet = SpreadFleet(DOMAINS, BUSY, seed)
        await fleet.run_storm(monkeypatch, gap=CHANGE_GAP_S, changes=24)
        late = [lag for lag in fleet.list_lags() if lag[0] > CONFIG_APPLY_S]
        assert not late

    run_in_virtual_time(run)
