"""Simulated moves between versions: the policy and two baselines.

Run as ``python -m bench.moves [--runs N] [--jobs N] [--only TEXT]``, with the
number of runs per class, the number of processes, and a part of the names of
the classes to run. The seed of a run follows from its class and index, so the
same command prints the same table.
"""

import argparse
import dataclasses
import json
import logging
import multiprocessing
from collections import defaultdict
from pathlib import Path
from random import Random
from typing import Final

from bench.moves_policy import InjectedFaults, PolicyRun
from bench.moves_report import Summary, format_bad, format_good, summarize
from bench.moves_runs import (
    DURATION_S,
    MoveRecord,
    Strategy,
    is_detectable_in_time,
    run_ramp,
    run_steps,
)
from bench.moves_simulator import (
    NO_DEFECT,
    ROUTES,
    SERVICES,
    CallSimulator,
    Defect,
    Disturbance,
    Onset,
)
from bluebellslip._internal.models.config import Preference

FAILURE_RATES: Final = (0.01, 0.03, 0.1, 0.3, 1)
LATENCY_FACTORS: Final = (1.2, 1.5, 2, 4, 10)
RESULT_FILE: Final = Path('build/bench/moves.json')
_RUNS_PER_JOB: Final = 25
_MAX_BASELINE_RUNS: Final = 150


@dataclasses.dataclass(frozen=True, slots=True)
class RunClass:
    """Simulated moves that are reported in one line.

    ``kind`` is ``good``, ``failing`` or ``slow``; ``faults`` tells whether
    the policy runs with ``InjectedFaults``.
    """

    preference: Preference
    kind: str
    onset: Onset
    disturbance: Disturbance
    faults: bool

    @property
    def name(self) -> str:
        """Name of the line; also part of the seed of each run."""
        condition = self.disturbance.value
        if self.kind != 'good':
            condition = self.onset.value
        faults = 'faults' if self.faults else 'no faults'
        return f'{self.preference.value}/{self.kind}/{condition}/{faults}'


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Runs of one class, with the indices from ``begin`` to ``end - 1``."""

    run_class: RunClass
    strategy: Strategy
    begin: int
    end: int


def list_run_classes() -> list[RunClass]:
    """Return all classes of runs."""
    run_classes: list[RunClass] = []
    for preference in Preference:
        for faults in (False, True):
            run_classes.extend(
                RunClass(preference, 'good', Onset.AT_ONCE, disturbance, faults)
                for disturbance in Disturbance
            )
            run_classes.extend(
                RunClass(preference, kind, onset, Disturbance.NONE, faults)
                for kind in ('failing', 'slow')
                for onset in Onset
            )
    return run_classes


def draw_defect(
    run_class: RunClass, index: int, random_source: Random
) -> Defect:
    """Return the defect of the new version in one run.

    The degree of the defect and the affected route follow from the run's
    index, so that all combinations occur.
    """
    if run_class.kind == 'good':
        return NO_DEFECT
    degree = index // 3 % len(FAILURE_RATES)
    onset_s = random_source.uniform(0.1, 0.9) * DURATION_S
    min_share = random_source.randint(2000, 7000)
    route = ROUTES[index // 15 % len(ROUTES)]
    return Defect(
        onset=run_class.onset,
        failure_rate=FAILURE_RATES[degree]
        if run_class.kind == 'failing'
        else 0,
        latency_factor=LATENCY_FACTORS[degree]
        if run_class.kind == 'slow'
        else 1,
        onset_s=onset_s if run_class.onset is Onset.LATER else 0,
        min_share=min_share if run_class.onset is Onset.LOAD_ONLY else 0,
        route=route if run_class.onset is Onset.ONE_ROUTE else '',
    )


def simulate_move(
    run_class: RunClass, strategy: Strategy, index: int
) -> MoveRecord:
    """Simulate one move; its seed follows from the class and the index."""
    random_source = Random(f'{run_class.name}/{index}')
    services = [
        service
        for service in SERVICES
        if service.preference is run_class.preference
    ]
    service = services[index % len(services)]
    defect = draw_defect(run_class, index, random_source)
    simulator = CallSimulator(
        service, defect, run_class.disturbance, DURATION_S, random_source
    )
    record = MoveRecord(
        service.name,
        defect.failure_rate,
        defect.latency_factor,
        is_detectable_in_time(simulator),
    )
    if strategy is Strategy.RAMP:
        run_ramp(simulator, record)
    elif strategy is Strategy.STEPS:
        run_steps(simulator, record)
    else:
        faults = (
            InjectedFaults.draw(random_source)
            if run_class.faults
            else InjectedFaults()
        )
        PolicyRun(simulator, faults, record).run()
    return record


def run_job(job: Job) -> tuple[Job, list[MoveRecord]]:
    """Simulate the moves of a job."""
    logging.disable(logging.CRITICAL)
    records = [
        simulate_move(job.run_class, job.strategy, index)
        for index in range(job.begin, job.end)
    ]
    return job, records


def list_jobs(runs: int, run_classes: list[RunClass]) -> list[Job]:
    """Return all jobs; baselines run only the classes without faults."""
    pairs = [
        (run_class, strategy)
        for run_class in run_classes
        for strategy in Strategy
        if strategy is Strategy.POLICY or not run_class.faults
    ]
    return [
        Job(
            run_class,
            strategy,
            begin,
            min(begin + _RUNS_PER_JOB, _limit_runs(strategy, runs)),
        )
        for run_class, strategy in pairs
        for begin in range(0, _limit_runs(strategy, runs), _RUNS_PER_JOB)
    ]


def _limit_runs(strategy: Strategy, runs: int) -> int:
    """Return the runs per class of a strategy; limited for the baselines."""
    return (
        runs if strategy is Strategy.POLICY else min(runs, _MAX_BASELINE_RUNS)
    )


def run_jobs(
    runs: int, processes: int, run_classes: list[RunClass]
) -> dict[tuple[RunClass, Strategy], list[MoveRecord]]:
    """Run all jobs in processes; return records by class and strategy."""
    records: dict[tuple[RunClass, Strategy], list[MoveRecord]] = defaultdict(
        list
    )
    with multiprocessing.Pool(processes) as pool:
        jobs = list_jobs(runs, run_classes)
        for job, run_records in pool.imap(run_job, jobs):
            records[job.run_class, job.strategy].extend(run_records)
    return records


def main() -> None:
    """Print the tables and write the summaries as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=500)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    run_classes = [
        run_class
        for run_class in list_run_classes()
        if arguments.only in run_class.name
    ]
    records = run_jobs(arguments.runs, arguments.jobs, run_classes)
    rows: dict[str, dict[str, Summary]] = {}
    for (run_class, strategy), run_records in records.items():
        rows.setdefault(run_class.name, {})[strategy.value] = summarize(
            run_records
        )
    print(format_good(rows))
    print(format_bad(rows))
    RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULT_FILE.write_text(
        json.dumps(rows, default=dataclasses.asdict, indent=1)
    )


if __name__ == '__main__':
    main()
