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

# Limits of the deployments: a tenth of the requests within the time limit, and
# 50 more, may reach a bad version.
_CANARY_SHARE = 0.1
_CANARY_SLACK = 50
_DURATION = 15
_SEEDS = range(12)


@pytest.mark.parametrize(
    'scenario', GOOD_SCENARIOS, ids=lambda scenario: scenario.name
)
@pytest.mark.parametrize('seed', _SEEDS)
def test_good_version_is_completed_in_time(
    scenario: Scenario, seed: int
) -> None:
    outcome = RolloutSimulation(scenario, seed, _DURATION).run()
    assert outcome.state is RolloutState.COMPLETED
    assert outcome.decided_after_s < _DURATION


@pytest.mark.parametrize(
    'scenario', BAD_SCENARIOS, ids=lambda scenario: scenario.name
)
@pytest.mark.parametrize('seed', _SEEDS)
def test_bad_version_is_rolled_back(scenario: Scenario, seed: int) -> None:
    outcome = RolloutSimulation(scenario, seed, _DURATION).run()
    assert outcome.state is RolloutState.ROLLED_BACK
    allowed = (
        scenario.requests_per_second * _DURATION * _CANARY_SHARE + _CANARY_SLACK
    )
    assert outcome.new_requests <= allowed
