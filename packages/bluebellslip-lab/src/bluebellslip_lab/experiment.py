"""Experiments: ``python -m bluebellslip_lab.experiment SCENARIO...``.

Writes one JSON file for each scenario, and exits 0 only if no invariant was
violated.
"""

import argparse
import sys
import tempfile
from pathlib import Path
from random import SystemRandom
from typing import Final

import anyio
import msgspec

from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.child_processes import ChildProcesses
from bluebellslip_lab.demo import print_line
from bluebellslip_lab.experiment_run import ExperimentResult, ExperimentRun
from bluebellslip_lab.free_ports import find_free_range
from bluebellslip_lab.lab_context import LabContext
from bluebellslip_lab.mesh import OPERATOR_TOKEN, PORTS_PER_INSTANCE, Mesh
from bluebellslip_lab.node_monitor import NodeMonitor
from bluebellslip_lab.operator_cli import OperatorCli
from bluebellslip_lab.scenario import Scenario

_DEFAULT_OUTPUT: Final = Path('build/experiments')


async def run_scenario(scenario: Scenario, directory: Path) -> ExperimentResult:
    """Run one scenario; all processes have ended when it returns."""
    servers = sum(group.servers for group in scenario.groups)
    base_port = find_free_range(
        PORTS_PER_INSTANCE * (servers + 1), SystemRandom()
    )
    with ChildProcesses(directory) as processes:
        mesh = Mesh(processes, directory, base_port, scenario.name)
        client = AdminClient(OPERATOR_TOKEN)
        cli = OperatorCli(mesh.platform_url, OPERATOR_TOKEN)
        context = LabContext(mesh, client, cli, NodeMonitor(client), print_line)
        result = await ExperimentRun(context, scenario).run()
        await client.aclose()
        return result


def print_result(result: ExperimentResult) -> None:
    """Print the results as a table."""
    print_line(f'{result.name}: {result.seconds} s')
    print_line(
        f'{"class":20} {"calls":>7} {"failed":>7} {"p50":>9} {"p99":>9} ms'
    )
    for name, report in sorted(result.classes.items()):
        print_line(
            f'{name:20} {report.calls:7} {report.failed:7} '
            f'{report.p50_ms:9.1f} {report.p99_ms:9.1f}'
        )
    print_line(f'errors: {result.errors}')
    print_line(f'runs by version: {result.runs_by_version}')
    print_line(f'violations: {result.violations or "none"}')


def main() -> int:
    """Run the scenarios named on the command line; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('scenarios', nargs='+', type=Path)
    parser.add_argument('--output', type=Path, default=_DEFAULT_OUTPUT)
    options = parser.parse_args()
    options.output.mkdir(parents=True, exist_ok=True)
    has_violations = False
    for path in options.scenarios:
        scenario = Scenario.from_file(path)
        with tempfile.TemporaryDirectory(prefix='bluebell-lab-') as scratch:
            result = anyio.run(run_scenario, scenario, Path(scratch))
        print_result(result)
        body = msgspec.json.format(msgspec.json.encode(result))
        (options.output / f'{scenario.name}.json').write_bytes(body)
        has_violations = has_violations or bool(result.violations)
    return int(has_violations)


if __name__ == '__main__':
    sys.exit(main())
