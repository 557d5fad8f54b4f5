"""Runs each listed module in its own process; the last checks the bounds."""

import subprocess
import sys
from typing import Final

MEASUREMENTS: Final = (
    'snapshot',
    'evidence',
    'telemetry',
    'claims',
    'connections',
    'acceptance',
    'peer_kernel',
    'peers',
    'calls',
    'moves',
    'bounds',
)


def run_all(names: tuple[str, ...] = MEASUREMENTS) -> int:
    """Run the measurements.

    Returns
    -------
    int
        Exit status: 1 if any measurement failed or missed a bound.
    """
    failed = [name for name in names if not _run_one(name)]
    if failed:
        print('failed or missed a bound:', ', '.join(failed))
    return int(bool(failed))


def _run_one(name: str) -> bool:
    print(f'== {name}', flush=True)
    command = [sys.executable, '-m', f'bench.{name}']
    return subprocess.run(command, check=False).returncode == 0


if __name__ == '__main__':
    sys.exit(run_all())
