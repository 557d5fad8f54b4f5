"""Processor time and memory of processes."""

import dataclasses
import os
from pathlib import Path
from typing import Final

_USER_TICKS_FIELD: Final = 11  # in /proc/PID/stat, after the command name
_SYSTEM_TICKS_FIELD: Final = 12
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')
_KB_PER_MB: Final = 1024
_PRIVATE_MEMORY_KEY: Final = 'Private_Dirty:'


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Total processor time in seconds, and dirty private memory in MB."""

    cpu_seconds: float
    private_mb: float


def read_usage(pid: int | str) -> Usage:
    """Return the usage of a process, given by its id or ``self``."""
    directory = Path('/proc') / str(pid)
    fields = (directory / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    lines = (directory / 'smaps_rollup').read_text().splitlines()
    private_line = next(
        line for line in lines if line.startswith(_PRIVATE_MEMORY_KEY)
    )
    return Usage(
        ticks / _TICKS_PER_SECOND, int(private_line.split()[1]) / _KB_PER_MB
    )
