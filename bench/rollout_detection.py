"""Which bad versions are found in time at which traffic, by simulation.

Run as ``PYTHONPATH=tests python -m bench.rollout_detection``. Each row is one
service: its traffic, when the servers of the new version start, and for each
share of failures how many of the simulated roll-outs end as rolled back.
"""

import logging
from collections.abc import Iterator
from typing import Final

from bluebellslip._internal.models.rollouts import RolloutState
from lib.rollouts import RolloutSimulation, Scenario

DURATION_S: Final = 16
RATES: Final = (1, 2, 4, 8, 20, 40, 120)
# Seconds after the order at which the servers of the new version start.
STARTS: Final = (1, 13.5)
FAILURE_SHARES: Final = (0, 0.1, 0.2, 1 / 3, 0.5)
# About the age of the outcomes that beacons report.
REPORT_DELAY_S: Final = 0.5
SEEDS: Final = range(10)


def count_rolled_back(rate: int, start: float, share: float) -> int:
    """Return how many roll-outs of a version are rolled back."""
    scenario = Scenario(
        'row',
        bad_share=share,
        requests_per_second=rate,
        servers_start_s=start,
        report_delay_s=REPORT_DELAY_S,
    )
    states = [
        RolloutSimulation(scenario, seed, DURATION_S).run().state
        for seed in SEEDS
    ]
    return states.count(RolloutState.ROLLED_BACK)


def make_rows() -> Iterator[str]:
    """Yield the rows of a table in Markdown."""
    shares = ' | '.join(f'{share:.0%} fail' for share in FAILURE_SHARES)
    yield f'| requests a second | servers start after | {shares} |'
    columns = len(FAILURE_SHARES) + 2
    yield f'|{columns * "---|"}'
    for start in STARTS:
        for rate in RATES:
            found = ' | '.join(
                str(count_rolled_back(rate, start, share))
                for share in FAILURE_SHARES
            )
            yield f'| {rate} | {start} s | {found} |'


def main() -> None:
    """Print the table."""
    logging.disable(logging.CRITICAL)
    print(f'Rolled back, of {len(SEEDS)} roll-outs of {DURATION_S} s each:')
    for row in make_rows():
        print(row, flush=True)


if __name__ == '__main__':
    main()
