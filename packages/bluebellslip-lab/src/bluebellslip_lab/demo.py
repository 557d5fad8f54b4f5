"""End-to-end demo of a mesh: ``python -m bluebellslip_lab.demo``.

Runs a platform, nodes and backend servers as processes on loopback. Exits 0
only if every check passed. The last line of output is one JSON object.
"""

import argparse
import signal
import sys
import tempfile
from pathlib import Path
from random import SystemRandom
from types import FrameType
from typing import Final

import anyio
import msgspec

from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.child_processes import ChildProcesses
from bluebellslip_lab.demo_checks import Summary, run_checks
from bluebellslip_lab.demo_plan import ALL_INSTANCES, INSTANCES, MESH_NAME
from bluebellslip_lab.demo_run import DemoRun
from bluebellslip_lab.free_ports import find_free_range
from bluebellslip_lab.lab_context import LabContext
from bluebellslip_lab.mesh import OPERATOR_TOKEN, PORTS_PER_INSTANCE, Mesh
from bluebellslip_lab.node_monitor import NodeMonitor
from bluebellslip_lab.operator_cli import OperatorCli

_PORT_COUNT: Final = PORTS_PER_INSTANCE * (len(ALL_INSTANCES) + 1)
_TIME_LIMIT_SECONDS: Final = 120


def print_line(line: str) -> None:
    """Print a line without buffering."""
    print(line, flush=True)


async def run_demo(directory: Path, base_port: int) -> Summary:
    """Run every step; all processes have ended when it returns."""
    with ChildProcesses(directory) as processes:
        mesh = Mesh(processes, directory, base_port, MESH_NAME)
        client = AdminClient(OPERATOR_TOKEN)
        cli = OperatorCli(mesh.admin_url(INSTANCES[0]), OPERATOR_TOKEN)
        context = LabContext(mesh, client, cli, NodeMonitor(client), print_line)
        demo = DemoRun(context)
        try:
            with anyio.fail_after(_TIME_LIMIT_SECONDS):
                await demo.run()
        except TimeoutError as error:
            print_line(f'Demo aborted by a timeout. {error}')
        await client.aclose()
        return demo.summary


def print_report(summary: Summary) -> int:
    """Print each check, then the summary as JSON; return the exit status."""
    checks = run_checks(summary)
    for check, passed in checks.items():
        print_line(f'{"held" if passed else "NOT HELD"}: {check}')
    print_line(msgspec.json.encode(summary).decode())
    return 0 if all(checks.values()) else 1


def interrupt(number: int, frame: FrameType | None) -> None:
    """Raise KeyboardInterrupt on SIGTERM, so that all processes are ended."""
    raise KeyboardInterrupt


def main() -> int:
    """Run the demo; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--base-port', type=int, help='first port to use')
    parser.add_argument('--keep', type=Path, help='directory for logs')
    options = parser.parse_args()
    base_port = options.base_port or find_free_range(
        _PORT_COUNT, SystemRandom()
    )
    signal.signal(signal.SIGTERM, interrupt)
    with tempfile.TemporaryDirectory(prefix='bluebell-demo-') as scratch:
        directory = options.keep or Path(scratch)
        directory.mkdir(parents=True, exist_ok=True)
        return print_report(anyio.run(run_demo, directory, base_port))


if __name__ == '__main__':
    sys.exit(main())
