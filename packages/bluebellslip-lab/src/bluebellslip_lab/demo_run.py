"""The steps of the demo, in order."""

import datetime as dt
from random import Random
from typing import Final

import anyio

from bluebellslip_lab.caller import Caller
from bluebellslip_lab.demo_checks import NOT_CONVERGED_MS, Summary
from bluebellslip_lab.demo_config import apply_config, change_config
from bluebellslip_lab.demo_moves import run_move, start_new_versions
from bluebellslip_lab.demo_plan import (
    ALL_INSTANCES,
    BAD_MOVE,
    CALLER_INSTANCES,
    GOOD_MOVE,
    INSTANCES,
    KILLED_INSTANCE,
    TRAFFIC,
)
from bluebellslip_lab.demo_summary import summarize_calls, summarize_runs
from bluebellslip_lab.history import check_applied
from bluebellslip_lab.lab_context import LabContext
from bluebellslip_lab.load import LoadGenerator

_MOVE_STAGGER: Final = dt.timedelta(seconds=3)
_NODE_DOWNTIME: Final = dt.timedelta(seconds=4)
_RESTART_TIMEOUT: Final = dt.timedelta(seconds=15)
_MEASUREMENT_DELAY: Final = dt.timedelta(seconds=8)
_MEASUREMENT_TIME: Final = dt.timedelta(seconds=20)
_MAX_SHOWN_FAILURES: Final = 10


class DemoRun:
    """One run of the demo.

    Parameters
    ----------
    context
        Processes, clients and output of the run.
    """

    def __init__(self, context: LabContext) -> None:
        self._context = context
        self._summary = Summary()
        self._load_finished = False
        self._callers = [
            Caller(context.mesh.egress_address(instance))
            for instance in CALLER_INSTANCES
        ]
        self._load = LoadGenerator(self._callers, Random(1))

    @property
    def summary(self) -> Summary:
        """The figures so far."""
        return self._summary

    async def run(self) -> None:
        """Run every step."""
        start = anyio.current_time()
        context, summary = self._context, self._summary
        context.print_line(
            'Starting the platform, six nodes and six backend servers.'
        )
        await context.start_platform()
        await context.start_instances(INSTANCES)
        await apply_config(context)
        converged_ms = await change_config(context)
        summary.converged_ms = (
            NOT_CONVERGED_MS if converged_ms is None else round(converged_ms, 1)
        )
        await self._run_under_load()
        await self._print_state()
        await self._stop_processes()
        self._summarize()
        summary.seconds = round(anyio.current_time() - start, 1)

    def _is_finished(self) -> bool:
        return self._load_finished

    async def _run_under_load(self) -> None:
        """Move two services to new versions, and kill and restart a node.

        The node is killed when the move to the bad version has ended; the
        other move may still be running. Calls are sent all the time.
        """
        async with anyio.create_task_group() as group:
            group.start_soon(self._load.run, TRAFFIC, self._is_finished)
            group.start_soon(self._measure_control_traffic)
            await start_new_versions(self._context)
            async with anyio.create_task_group() as concurrent:
                concurrent.start_soon(self._move_good)
                await anyio.sleep(_MOVE_STAGGER.total_seconds())
                await self._move_bad()
                await self._kill_and_restart()
            self._load_finished = True

    async def _move_good(self) -> None:
        result = await run_move(self._context, GOOD_MOVE)
        in_time = result.seconds <= GOOD_MOVE.time_limit.total_seconds()
        self._summary.good_moves_done = int(result.state == 'done' and in_time)
        self._summary.good_move_s = result.seconds

    async def _move_bad(self) -> None:
        result = await run_move(self._context, BAD_MOVE)
        self._summary.bad_moves_withdrawn = int(result.state == 'withdrawn')
        self._summary.bad_move_s = result.seconds

    async def _measure_control_traffic(self) -> None:
        await anyio.sleep(_MEASUREMENT_DELAY.total_seconds())
        # The killed node is left out: it may be down while bytes are counted.
        admin_urls = [
            self._context.mesh.admin_url(instance)
            for instance in INSTANCES
            if instance != KILLED_INSTANCE
        ]
        before = await self._context.node_monitor.read_control_bytes(admin_urls)
        start = anyio.current_time()
        await anyio.sleep(_MEASUREMENT_TIME.total_seconds())
        after = await self._context.node_monitor.read_control_bytes(admin_urls)
        seconds = anyio.current_time() - start
        per_node = (after - before) / seconds / len(admin_urls)
        self._summary.control_bytes_per_node_s = round(per_node, 1)

    async def _kill_and_restart(self) -> None:
        processes, admin_url = (
            self._context.mesh.processes,
            self._context.mesh.admin_url(KILLED_INSTANCE),
        )
        revision = await self._context.node_monitor.read_revision(
            KILLED_INSTANCE.name, admin_url
        )
        self._context.print_line(f'Killing the node {KILLED_INSTANCE.name}.')
        processes.kill(KILLED_INSTANCE.node_process)
        await anyio.sleep(_NODE_DOWNTIME.total_seconds())
        self._context.print_line(f'Restarting the node {KILLED_INSTANCE.name}.')
        self._context.mesh.start_node(KILLED_INSTANCE)
        delays_ms = await self._context.node_monitor.wait_applied(
            {KILLED_INSTANCE.name: admin_url}, revision, _RESTART_TIMEOUT
        )
        self._summary.node_returned = KILLED_INSTANCE.name in delays_ms
        self._context.print_line(
            f'{KILLED_INSTANCE.name} restarted; time to catch up in ms: '
            f'{delays_ms}'
        )

    async def _print_state(self) -> None:
        await self._context.run_command('nodes')
        await self._context.run_command('status')
        audit = await self._context.cli.run('audit', '--json')
        rows = audit.json_output.get('rows', ()) if audit.json_output else ()
        self._summary.audit_rows = len(rows)
        await self._context.run_command('audit')

    async def _stop_processes(self) -> None:
        processes = self._context.mesh.processes
        servers = processes.list_names('server-')
        nodes = processes.list_names('node-')
        await anyio.to_thread.run_sync(processes.terminate, servers)
        await anyio.to_thread.run_sync(processes.terminate, nodes)
        exit_statuses = processes.exit_statuses
        expected = 2 * len(ALL_INSTANCES)
        clean = (
            not any(exit_statuses.values()) and len(exit_statuses) == expected
        )
        self._summary.stopped_cleanly = clean
        if not clean:
            self._context.print_line(f'Exit statuses: {exit_statuses}')
        for caller in self._callers:
            await caller.aclose()

    def _summarize(self) -> None:
        for name, report in sorted(self._load.report().items()):
            self._context.print_line(f'{name}: {report}')
        for reason, count in self._load.errors.most_common(_MAX_SHOWN_FAILURES):
            self._context.print_line(f'failed {count} times: {reason}')
        for failure in self._load.failures[:_MAX_SHOWN_FAILURES]:
            self._context.print_line(f'{failure}')
        summarize_calls(self._load, self._summary)
        summarize_runs(self._context.mesh, self._load, self._summary)
        applied = self._context.node_monitor.applied_records
        self._summary.revisions_back = len(check_applied(applied))
