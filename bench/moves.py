"""Moves between versions: the policy against two baselines.

Run as ``python -m bench.moves [--runs N] [--jobs N]``. Every run has its own
seed, so that the same command prints the same table.
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

from bench.moves_policy import Faults, PolicyRun
from bench.moves_report import Summary, format_bad, format_good, summarize
from bench.moves_runs import (
    DURATION_S,
    Driver,
    Record,
    is_possible,
    run_ramp,
    run_steps,
)
from bench.moves_world import (
    GOOD,
    ROUTES,
    SERVICES,
    Badness,
    Onset,
    Trouble,
    World,
)
from bluebellslip._internal.models.config import Preference

FAILING: Final = (0.01, 0.03, 0.1, 0.3, 1)
SLOWER: Final = (1.2, 1.5, 2, 4, 10)
RESULTS: Final = Path('build/bench/moves.json')
_CHUNK: Final = 25
_BASELINE_RUNS: Final = 150


@dataclasses.dataclass(frozen=True, slots=True)
class CellClass:
    """Runs that are reported in one line."""

    preference: Preference
    kind: str
    onset: Onset
    trouble: Trouble
    faults: bool

    @property
    def name(self) -> str:
        """Name of the line."""
        what = self.trouble.value
        if self.kind != 'good':
            what = self.onset.value
        faults = 'faults' if self.faults else 'no faults'
        return f'{self.preference.value}/{self.kind}/{what}/{faults}'


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Some runs of one class."""

    cell: CellClass
    driver: Driver
    begin: int
    end: int


def list_classes() -> list[CellClass]:
    """Return all classes of runs."""
    cells: list[CellClass] = []
    for preference in Preference:
        for faults in (False, True):
            cells.extend(
                CellClass(preference, 'good', Onset.AT_ONCE, trouble, faults)
                for trouble in Trouble
            )
            cells.extend(
                CellClass(preference, kind, onset, Trouble.NONE, faults)
                for kind in ('failing', 'slow')
                for onset in Onset
            )
    return cells


def draw_badness(cell: CellClass, index: int, source: Random) -> Badness:
    """Return how the new version of one run is bad."""
    if cell.kind == 'good':
        return GOOD
    degree = index // 3 % len(FAILING)
    later = source.uniform(0.1, 0.9) * DURATION_S
    above = source.randint(2000, 7000)
    route = ROUTES[index // 15 % len(ROUTES)]
    return Badness(
        onset=cell.onset,
        failing=FAILING[degree] if cell.kind == 'failing' else 0,
        slower=SLOWER[degree] if cell.kind == 'slow' else 1,
        after_s=later if cell.onset is Onset.LATER else 0,
        above=above if cell.onset is Onset.LOAD_ONLY else 0,
        route=route if cell.onset is Onset.ONE_ROUTE else '',
    )


def run_one(cell: CellClass, driver: Driver, index: int) -> Record:
    """Carry one move; the seed follows from the arguments."""
    source = Random(f'{cell.name}/{index}')
    choices = [
        service for service in SERVICES if service.preference is cell.preference
    ]
    service = choices[index % len(choices)]
    badness = draw_badness(cell, index, source)
    world = World(service, badness, cell.trouble, DURATION_S, source)
    record = Record(
        service.name, badness.failing, badness.slower, is_possible(world)
    )
    if driver is Driver.RAMP:
        run_ramp(world, record)
    elif driver is Driver.STEPS:
        run_steps(world, record)
    else:
        faults = Faults.draw(source) if cell.faults else Faults()
        PolicyRun(world, faults, record).run()
    return record


def run_job(job: Job) -> tuple[Job, list[Record]]:
    """Carry the runs of a job."""
    logging.disable(logging.CRITICAL)
    records = [
        run_one(job.cell, job.driver, index)
        for index in range(job.begin, job.end)
    ]
    return job, records


def list_jobs(runs: int, cells: list[CellClass]) -> list[Job]:
    """Return all jobs; baselines know no faults and run once."""
    pairs = [
        (cell, driver)
        for cell in cells
        for driver in Driver
        if driver is Driver.POLICY or not cell.faults
    ]
    return [
        Job(
            cell,
            driver,
            begin,
            min(begin + _CHUNK, _limit_runs(driver, runs)),
        )
        for cell, driver in pairs
        for begin in range(0, _limit_runs(driver, runs), _CHUNK)
    ]


def _limit_runs(driver: Driver, runs: int) -> int:
    """Return how many runs a driver gets; baselines get fewer."""
    return runs if driver is Driver.POLICY else min(runs, _BASELINE_RUNS)


def run_all(
    runs: int, processes: int, cells: list[CellClass]
) -> dict[tuple[CellClass, Driver], list[Record]]:
    """Carry all jobs in some processes."""
    records: dict[tuple[CellClass, Driver], list[Record]] = defaultdict(list)
    with multiprocessing.Pool(processes) as pool:
        jobs = list_jobs(runs, cells)
        for job, found in pool.imap(run_job, jobs):
            records[job.cell, job.driver].extend(found)
    return records


def main() -> None:
    """Print the table and write it as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--runs', type=int, default=500)
    parser.add_argument('--jobs', type=int, default=4)
    parser.add_argument('--only', default='')
    arguments = parser.parse_args()
    cells = [cell for cell in list_classes() if arguments.only in cell.name]
    records = run_all(arguments.runs, arguments.jobs, cells)
    rows: dict[str, dict[str, Summary]] = {}
    for (cell, driver), found in records.items():
        rows.setdefault(cell.name, {})[driver.value] = summarize(found)
    print(format_good(rows))
    print(format_bad(rows))
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_text(json.dumps(rows, default=dataclasses.asdict, indent=1))


if __name__ == '__main__':
    main()
