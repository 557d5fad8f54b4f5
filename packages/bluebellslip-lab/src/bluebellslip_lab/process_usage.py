"""CPU time and memory of processes, read from ``/proc``."""

import os
from pathlib import Path
from typing import Final

import msgspec

_PROC: Final = Path('/proc')
# Indexes among the fields after the process name in /proc/PID/stat.
_USER_TIME_FIELD: Final = 11
_SYSTEM_TIME_FIELD: Final = 12
_KIB: Final = 1024
_MIB: Final = 1 << 20
_TICKS_PER_SECOND: Final = os.sysconf('SC_CLK_TCK')


class ProcessUsage(msgspec.Struct, frozen=True):
    """CPU time in seconds and private memory in MiB of a process."""

    cpu_s: float
    private_mib: float


def read_usage(pid: int) -> ProcessUsage:
    """Return the CPU time so far and the current memory of a process.

    Raises
    ------
    OSError
        When there is no such process.
    """
    stat = (_PROC / str(pid) / 'stat').read_text()
    fields = stat.rpartition(')')[2].split()
    ticks = int(fields[_USER_TIME_FIELD]) + int(fields[_SYSTEM_TIME_FIELD])
    rollup = (_PROC / str(pid) / 'smaps_rollup').read_text()
    private_kib = sum(
        int(line.split()[1])
        for line in rollup.splitlines()
        if line.startswith(('Private_Clean', 'Private_Dirty'))
    )
    return ProcessUsage(
        cpu_s=ticks / _TICKS_PER_SECOND,
        private_mib=round(private_kib * _KIB / _MIB, 1),
    )
