"""One experiment: processes, load, events, and what came of them."""

import datetime as dt
from collections import Counter
from collections.abc import Iterable, Mapping
from pathlib import Path
from random import Random
from typing import Any, Final

import anyio
import msgspec

from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.utils.jsonc import load_document
from bluebellslip_lab.backend_app import Run
from bluebellslip_lab.caller import Caller
from bluebellslip_lab.demo_count import read_runs
from bluebellslip_lab.experiment_events import EventRunner
from bluebellslip_lab.history import (
    RunRecord,
    Violation,
    check_applied,
    check_calls,
)
from bluebellslip_lab.load import ClassReport, Failure, LoadGenerator
from bluebellslip_lab.mesh import Place
from bluebellslip_lab.process_use import ProcessUse, read_use
from bluebellslip_lab.scenario import Group, Scenario
from bluebellslip_lab.store import Counts
from bluebellslip_lab.workbench import Workbench

_APPLY_TIMEOUT: Final = dt.timedelta(seconds=11)
_POLL: Final = dt.timedelta(milliseconds=500)
_VIOLATIONS_KEPT: Final = 50
_MS_PER_SECOND: Final = 1000


class ExperimentResult(msgspec.Struct, kw_only=True):
    """Figures of one experiment."""

    name: str
    seconds: float
    classes: dict[str, ClassReport]
    errors: dict[str, int]
    failures: tuple[Failure, ...]
    violations: dict[str, int]
    violation_details: tuple[str, ...]
    runs_by_version: dict[str, int]
    moves: Any
    platform: Counts
    generator_lag_ms: float
    nodes: dict[str, ProcessUse]


class ExperimentRun:
    """Runs one scenario.

    Parameters
    ----------
    bench
        Processes, clients and a way to tell whoever watches.
    scenario
        What to do.
    """

    def __init__(self, bench: Workbench, scenario: Scenario) -> None:
        self._bench = bench
        self._scenario = scenario
        self._groups = scenario.list_places()
        self._places = [
            place for places in self._groups.values() for place in places
        ]
        self._first = [
            place
            for group, places in self._groups.items()
            if not group.at
            for place in places
        ]
        self._over = False

    async def run(self) -> ExperimentResult:
        """Do the experiment and return its figures."""
        bench, scenario = self._bench, self._scenario
        await bench.start_platform()
        await bench.start_places(self._first)
        await self._declare()
        callers = [Caller(bench.mesh.egress(each)) for each in self._first]
        load = LoadGenerator(callers, Random(scenario.seed))
        start = anyio.current_time()
        await self._work(load)
        seconds = anyio.current_time() - start
        result = await self._collect(load, seconds)
        for caller in callers:
            await caller.aclose()
        return result

    async def _declare(self) -> None:
        document = load_document(Path(self._scenario.config), ConfigDocument)
        admin = self._bench.mesh.admin(self._first[0])
        body = {'change': 'experiment', 'document': document}
        reply = await self._bench.client.send('PUT', f'{admin}/v1/config', body)
        self._bench.say(f'configuration: {reply.status}')
        admins = {
            place.name: self._bench.mesh.admin(place) for place in self._first
        }
        await self._bench.watcher.wait_in_force(admins, 1, _APPLY_TIMEOUT)

    async def _work(self, load: LoadGenerator) -> None:
        events = EventRunner(self._bench, self._places, self._first[0])
        async with anyio.create_task_group() as group:
            group.start_soon(load.run, self._scenario.traffic, self._is_over)
            group.start_soon(self._watch)
            group.start_soon(events.run, self._scenario.events)
            for later, places in self._groups.items():
                if later.at:
                    group.start_soon(self._start_later, later, places)
            await anyio.sleep(self._scenario.seconds)
            self._over = True

    def _is_over(self) -> bool:
        return self._over

    async def _start_later(self, group: Group, places: Iterable[Place]) -> None:
        await anyio.sleep(group.at)
        await self._bench.start_places(places)

    async def _watch(self) -> None:
        """Read the revisions in force, for the check that none goes back."""
        children, mesh = self._bench.mesh.children, self._bench.mesh
        while not self._over:
            for place in self._places:
                if children.is_running(place.node):
                    await self._bench.watcher.revision(
                        place.name, mesh.admin(place)
                    )
            await anyio.sleep(_POLL.total_seconds())

    async def _collect(
        self, load: LoadGenerator, seconds: float
    ) -> ExperimentResult:
        mesh, client = self._bench.mesh, self._bench.client
        admin = mesh.admin(self._first[0])
        moves = (await client.send('GET', f'{admin}/v1/moves')).tree
        platform = await client.count(mesh.platform)
        runs = {place: read_runs(mesh, place) for place in self._places}
        violations = self._check(load, runs)
        return ExperimentResult(
            name=self._scenario.name,
            seconds=round(seconds, 1),
            classes=load.report(),
            errors=dict(load.errors),
            failures=load.failures,
            violations=dict(Counter(each.rule for each in violations)),
            violation_details=tuple(
                f'{each.rule}: {each.detail}'
                for each in violations[:_VIOLATIONS_KEPT]
            ),
            runs_by_version=_count_versions(runs),
            moves=moves,
            platform=platform,
            generator_lag_ms=round(load.lag * _MS_PER_SECOND, 1),
            nodes=self._read_uses(),
        )

    def _check(
        self, load: LoadGenerator, runs: Mapping[Place, list[Run]]
    ) -> tuple[Violation, ...]:
        records = [
            RunRecord(run.nonce, run.server, run.key)
            for noted in runs.values()
            for run in noted
        ]
        return (
            *check_calls(load.records, records),
            *check_applied(self._bench.watcher.applied),
        )

    def _read_uses(self) -> dict[str, ProcessUse]:
        children = self._bench.mesh.children
        return {
            name: read_use(children.pid(name))
            for name in children.names('node-')
            if children.is_running(name)
        }


def _count_versions(runs: Mapping[Place, list[Run]]) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for place, noted in runs.items():
        counts[f'{place.service} {place.version}'] += len(noted)
    return dict(counts)
