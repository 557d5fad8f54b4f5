"""Simulated roll-outs of a few seconds, by the policy and two baselines.

Run as ``make rollouts``, which adds the test helpers to the path. The
simulations are those of the tests, with more seeds: the outcomes of two
versions of one service are generated, and one node receives every outcome
without delay.
"""

import logging
from collections.abc import Sequence
from statistics import mean
from typing import Final

from bluebellslip._internal.models.rollouts import RolloutState
from bluebellslip._internal.rollouts.plan import RolloutAction
from bluebellslip._internal.rollouts.route_counts import (
    sum_by_route,
    sum_routes,
)
from lib.rollouts import (
    BAD_SCENARIOS,
    GOOD_SCENARIOS,
    RolloutSimulation,
    Scenario,
    SimulationResult,
)

SEEDS: Final = range(40)
_STEP_SHARES: Final = (0.1, 0.25, 0.5, 1.0)
_MAX_FAILURE_RATE: Final = 0.05
_MIN_CALLS: Final = 20
_ROW_FORMAT: Final = '{:32} {:18} {:>6} {:>10} {:>9} {:>12}'


class LinearRamp(RolloutSimulation):
    """Raises the share linearly with time, whatever the outcomes."""

    def decide(self, result: SimulationResult) -> RolloutAction:
        """Set the share and complete the roll-out at the end of its time."""
        self.rollout.share = min(1, self.elapsed_fraction)
        return (
            RolloutAction.COMPLETE
            if self.elapsed_fraction >= 0.99
            else RolloutAction.HOLD
        )


class FixedSteps(RolloutSimulation):
    """Raises the share in four steps; rolls back above a failure rate.

    The threshold applies to all requests of the new version so far.
    """

    def decide(self, result: SimulationResult) -> RolloutAction:
        """Roll back above the threshold; complete after the last step."""
        windows = self.rollout.counts.list_windows(self.now)
        new = sum_routes(
            sum_by_route(
                server
                for window in windows
                for server in window.target_servers.values()
            )
        )
        calls, failures = new.calls, new.failures
        if calls >= _MIN_CALLS and failures > calls * _MAX_FAILURE_RATE:
            return RolloutAction.ROLL_BACK
        index = min(
            len(_STEP_SHARES) - 1,
            int(self.elapsed_fraction * len(_STEP_SHARES)),
        )
        self.rollout.share = _STEP_SHARES[index]
        return (
            RolloutAction.COMPLETE
            if self.elapsed_fraction >= 0.99
            else RolloutAction.HOLD
        )


STRATEGIES: Final[dict[str, type[RolloutSimulation]]] = {
    'evidence': RolloutSimulation,
    'linear ramp': LinearRamp,
    'steps, threshold': FixedSteps,
}


def print_table() -> None:
    """Print the results of each scenario under each strategy."""
    print(
        _ROW_FORMAT.format(
            'version', 'policy', 'right', 'to bad', 'requests', 'decided s'
        )
    )
    for scenario in (*GOOD_SCENARIOS, *BAD_SCENARIOS):
        for name, strategy in STRATEGIES.items():
            _print_row(
                scenario,
                name,
                [strategy(scenario, seed).run() for seed in SEEDS],
            )


def _print_row(
    scenario: Scenario, name: str, results: Sequence[SimulationResult]
) -> None:
    expected = (
        RolloutState.COMPLETED if scenario.is_good else RolloutState.ROLLED_BACK
    )
    correct = sum(result.state is expected for result in results)
    new_requests = '-'
    if not scenario.is_good:
        new_requests = f'{mean(result.new_requests for result in results):.0f}'
    print(
        _ROW_FORMAT.format(
            scenario.name,
            name,
            f'{correct}/{len(results)}',
            new_requests,
            f'{mean(result.requests for result in results):.0f}',
            f'{mean(result.decided_after_s for result in results):.1f}',
        )
    )


if __name__ == '__main__':
    logging.disable()
    print_table()
