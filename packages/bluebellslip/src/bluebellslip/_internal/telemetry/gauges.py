"""Gauges of a node's state and of its process."""

import time
from pathlib import Path
from typing import Final

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.models.facts import (
    HeadFact,
    MemberFact,
    MemberStatus,
)

_SMAPS_ROLLUP: Final = Path('/proc/self/smaps_rollup')
_PRIVATE_DIRTY: Final = 'Private_Dirty:'
_KIBIBYTE: Final = 1024


def register_gauges(context: Context) -> None:
    """Register the gauges of a node."""
    gauge = context.counters.gauge
    gauge('config_revision', lambda: context.applied.revision)
    gauge('config_floor', lambda: context.applied.floor)
    gauge('config_ready', lambda: int(context.applied.current is not None))
    gauge('config_head', lambda: find_head_revision(context))
    gauge('members_known', lambda: count_members(context))
    gauge('facts_known', lambda: len(context.facts))
    gauge('process_cpu_seconds', time.process_time)
    gauge('process_private_bytes', read_private_bytes)


def find_head_revision(context: Context) -> int:
    """Return the newest accepted revision that the node knows of."""
    heads = context.facts.select(HeadFact)
    return max(
        (head.revision for head in heads), default=context.applied.revision
    )


def count_members(context: Context) -> int:
    """Return the number of known members that are not dead."""
    members = context.facts.select(MemberFact)
    return sum(member.status is not MemberStatus.DEAD for member in members)


def read_private_bytes() -> int:
    """Return this process's private dirty memory in bytes; 0 if unknown."""
    try:
        lines = _SMAPS_ROLLUP.read_text(encoding='ascii').splitlines()
    except OSError:
        return 0
    for line in lines:
        if line.startswith(_PRIVATE_DIRTY):
            return int(line.split()[1]) * _KIBIBYTE
    return 0
