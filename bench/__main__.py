"""Run every measurement in a process of its own, and check the bounds."""

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
    """Run the measurements; return 1 if any missed a bound."""
    failed = [name for name in names if not _run_one(name)]
    if failed:
        print('missed their bounds:', ', '.join(failed))
    return int(bool(failed))


def _run_one(name: str) -> bool:
    print(f'== {name}', flush=True)
    command = [sys.executable, '-m', f'bench.{name}']
    return subprocess.run(command, check=False).returncode == 0


if __name__ == '__main__':
    sys.exit(run_all())
