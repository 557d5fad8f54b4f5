"""Simulated roll-outs of good and bad versions, with fixed seeds.

Guards against a good version that is rolled back or not completed in time, and
a bad one that is completed or gets too many requests.
"""

import pytest

from bluebellslip._internal.models.rollouts import RolloutState
from lib.rollouts import (
    BAD_SCENARIOS,
    GOOD_SCENARIOS,
    RolloutSimulation,
    Scenario,
)

# The deployments allow a bad version at most a tenth of the requests that
# arrive during the roll-out, plus 50.
_CANARY_SHARE = 0.1
_CANARY_SLACK_REQUESTS = 50
_DURATION_S = 15
_SEEDS = range(12)


@pytest.mark.parametrize(
    'scenario', GOOD_SCENARIOS, ids=lambda scenario: scenario.name
)
@pytest.mark.parametrize('seed', _SEEDS)
def test_good_version_is_completed_in_time(
    scenario: Scenario, seed: int
) -> None:
    outcome = RolloutSimulation(scenario, seed, _DURATION_S).run()
    assert outcome.state is RolloutState.COMPLETED
    assert outcome.decided_after_s < _DURATION_S


@pytest.mark.parametrize(
    'scenario', BAD_SCENARIOS, ids=lambda scenario: scenario.name
)
@pytest.mark.parametrize('seed', _SEEDS)
def test_bad_version_is_rolled_back(scenario: Scenario, seed: int) -> None:
    outcome = RolloutSimulation(scenario, seed, _DURATION_S).run()
    assert outcome.state is RolloutState.ROLLED_BACK
    allowed = (
        scenario.requests_per_second * _DURATION_S * _CANARY_SHARE
        + _CANARY_SLACK_REQUESTS
    )
    assert outcome.new_requests <= allowed
