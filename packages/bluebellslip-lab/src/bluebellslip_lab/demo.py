"""The main job as processes on loopback: ``python -m bluebellslip_lab.demo``.

Exits 0 only if all that must hold did. The last line is one JSON object.
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
from bluebellslip_lab.children import Children
from bluebellslip_lab.demo_plan import ALL_PLACES, MESH, PLACES
from bluebellslip_lab.demo_run import DemoRun
from bluebellslip_lab.free_ports import find_free_range
from bluebellslip_lab.mesh import OPERATOR_TOKEN, PORTS_PER_PLACE, Mesh
from bluebellslip_lab.operator_cli import OperatorCli
from bluebellslip_lab.verdict import Summary, judge
from bluebellslip_lab.watching import Watcher
from bluebellslip_lab.workbench import Workbench

_PORTS: Final = PORTS_PER_PLACE * (len(ALL_PLACES) + 1)
_TIME_LIMIT_SECONDS: Final = 120


def say(line: str) -> None:
    """Print a line at once."""
    print(line, flush=True)


async def run_demo(directory: Path, base_port: int) -> Summary:
    """Run every step; all processes have ended on return."""
    with Children(directory) as children:
        mesh = Mesh(children, directory, base_port, MESH)
        client = AdminClient(OPERATOR_TOKEN)
        cli = OperatorCli(mesh.admin(PLACES[0]), OPERATOR_TOKEN)
        bench = Workbench(mesh, client, cli, Watcher(client), say)
        demo = DemoRun(bench)
        try:
            with anyio.fail_after(_TIME_LIMIT_SECONDS):
                await demo.run()
        except TimeoutError as error:
            say(f'Given up: {error}')
        await client.aclose()
        return demo.summary


def report(summary: Summary) -> int:
    """Print what held and the last line; return the exit status."""
    demands = judge(summary)
    for demand, held in demands.items():
        say(f'{"held" if held else "NOT HELD"}: {demand}')
    say(msgspec.json.encode(summary).decode())
    return 0 if all(demands.values()) else 1


def interrupt(number: int, frame: FrameType | None) -> None:
    """Turn SIGTERM into an interrupt, so that all processes are ended."""
    raise KeyboardInterrupt


def main() -> int:
    """Run the demo; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--base-port', type=int, help='first of all ports')
    parser.add_argument('--keep', type=Path, help='directory for logs')
    options = parser.parse_args()
    base_port = options.base_port or find_free_range(_PORTS, SystemRandom())
    signal.signal(signal.SIGTERM, interrupt)
    with tempfile.TemporaryDirectory(prefix='bluebell-demo-') as scratch:
        directory = options.keep or Path(scratch)
        directory.mkdir(parents=True, exist_ok=True)
        return report(anyio.run(run_demo, directory, base_port))


if __name__ == '__main__':
    sys.exit(main())
