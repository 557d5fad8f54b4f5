"""Run of one experiment: processes, load, events and results."""

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
from bluebellslip_lab.demo_summary import read_runs
from bluebellslip_lab.experiment_events import EventRunner
from bluebellslip_lab.history import (
    RunRecord,
    Violation,
    check_applied,
    check_calls,
)
from bluebellslip_lab.lab_context import LabContext
from bluebellslip_lab.load import ClassReport, Failure, LoadGenerator
from bluebellslip_lab.mesh import Instance
from bluebellslip_lab.process_usage import ProcessUsage, read_usage
from bluebellslip_lab.scenario import Group, Scenario
from bluebellslip_lab.store import RequestCounts

_APPLY_TIMEOUT: Final = dt.timedelta(seconds=11)
_POLL_INTERVAL: Final = dt.timedelta(milliseconds=500)
_MAX_VIOLATION_DETAILS: Final = 50
_MS_PER_SECOND: Final = 1000


class ExperimentResult(msgspec.Struct, kw_only=True):
    """Results of one experiment, written as JSON.

    ``classes`` has the results by call class, ``moves`` the response to
    ``GET /v1/moves`` and ``nodes`` the usage by process name. ``errors``
    counts failed calls by class and error. ``violations`` has the number of
    violations of each rule.
    """

    name: str
    seconds: float
    classes: dict[str, ClassReport]
    errors: dict[str, int]
    failures: tuple[Failure, ...]
    violations: dict[str, int]
    violation_details: tuple[str, ...]
    runs_by_version: dict[str, int]
    moves: Any
    platform: RequestCounts
    generator_lag_ms: float
    nodes: dict[str, ProcessUsage]


class ExperimentRun:
    """Runs one scenario.

    Parameters
    ----------
    context
        Processes, clients and output of the run.
    scenario
        Instances, traffic and events.
    """

    def __init__(self, context: LabContext, scenario: Scenario) -> None:
        self._context = context
        self._scenario = scenario
        self._instances_by_group = scenario.list_instances()
        self._instances = [
            instance
            for instances in self._instances_by_group.values()
            for instance in instances
        ]
        self._initial_instances = [
            instance
            for group, instances in self._instances_by_group.items()
            if not group.at
            for instance in instances
        ]
        self._load_finished = False

    async def run(self) -> ExperimentResult:
        """Run the experiment and return its results."""
        context, scenario = self._context, self._scenario
        await context.start_platform()
        await context.start_instances(self._initial_instances)
        await self._apply_config()
        callers = [
            Caller(context.mesh.egress_address(each))
            for each in self._initial_instances
        ]
        load = LoadGenerator(callers, Random(scenario.seed))
        start = anyio.current_time()
        await self._run_load(load)
        seconds = anyio.current_time() - start
        result = await self._collect(load, seconds)
        for caller in callers:
            await caller.aclose()
        return result

    async def _apply_config(self) -> None:
        document = load_document(Path(self._scenario.config), ConfigDocument)
        admin_url = self._context.mesh.admin_url(self._initial_instances[0])
        body = {'change': 'experiment', 'document': document}
        response = await self._context.admin_client.send(
            'PUT', f'{admin_url}/v1/config', body
        )
        self._context.print_line(f'configuration: {response.status}')
        admin_urls = {
            instance.name: self._context.mesh.admin_url(instance)
            for instance in self._initial_instances
        }
        await self._context.node_monitor.wait_applied(
            admin_urls, 1, _APPLY_TIMEOUT
        )

    async def _run_load(self, load: LoadGenerator) -> None:
        events = EventRunner(
            self._context, self._instances, self._initial_instances[0]
        )
        async with anyio.create_task_group() as group:
            group.start_soon(
                load.run, self._scenario.traffic, self._is_finished
            )
            group.start_soon(self._poll_revisions)
            group.start_soon(events.run, self._scenario.events)
            for later_group, instances in self._instances_by_group.items():
                if later_group.at:
                    group.start_soon(self._start_group, later_group, instances)
            await anyio.sleep(self._scenario.seconds)
            self._load_finished = True

    def _is_finished(self) -> bool:
        return self._load_finished

    async def _start_group(
        self, group: Group, instances: Iterable[Instance]
    ) -> None:
        await anyio.sleep(group.at)
        await self._context.start_instances(instances)

    async def _poll_revisions(self) -> None:
        """Record applied revisions, to detect nodes that revert to older ones.

        Only nodes whose process is running are polled.
        """
        processes, mesh = self._context.mesh.processes, self._context.mesh
        while not self._load_finished:
            for instance in self._instances:
                if processes.is_running(instance.node_process):
                    await self._context.node_monitor.read_revision(
                        instance.name, mesh.admin_url(instance)
                    )
            await anyio.sleep(_POLL_INTERVAL.total_seconds())

    async def _collect(
        self, load: LoadGenerator, seconds: float
    ) -> ExperimentResult:
        mesh, client = self._context.mesh, self._context.admin_client
        admin_url = mesh.admin_url(self._initial_instances[0])
        moves = (await client.send('GET', f'{admin_url}/v1/moves')).json_body
        platform = await client.read_request_counts(mesh.platform_url)
        runs = {
            instance: read_runs(mesh, instance) for instance in self._instances
        }
        violations = self._find_violations(load, runs)
        return ExperimentResult(
            name=self._scenario.name,
            seconds=round(seconds, 1),
            classes=load.report(),
            errors=dict(load.errors),
            failures=load.failures,
            violations=dict(Counter(each.rule for each in violations)),
            violation_details=tuple(
                f'{each.rule}: {each.detail}'
                for each in violations[:_MAX_VIOLATION_DETAILS]
            ),
            runs_by_version=_count_runs_by_version(runs),
            moves=moves,
            platform=platform,
            generator_lag_ms=round(load.max_lag * _MS_PER_SECOND, 1),
            nodes=self._read_usage(),
        )

    def _find_violations(
        self, load: LoadGenerator, runs: Mapping[Instance, list[Run]]
    ) -> tuple[Violation, ...]:
        records = [
            RunRecord(run.nonce, run.server, run.key)
            for server_runs in runs.values()
            for run in server_runs
        ]
        return (
            *check_calls(load.records, records),
            *check_applied(self._context.node_monitor.applied_records),
        )

    def _read_usage(self) -> dict[str, ProcessUsage]:
        processes = self._context.mesh.processes
        return {
            name: read_usage(processes.get_pid(name))
            for name in processes.list_names('node-')
            if processes.is_running(name)
        }


def _count_runs_by_version(
    runs: Mapping[Instance, list[Run]],
) -> dict[str, int]:
    counts: Counter[str] = Counter()
    for instance, server_runs in runs.items():
        counts[f'{instance.service} {instance.version}'] += len(server_runs)
    return dict(counts)
