"""Moves of the demo: one to a good version, one to a bad one."""

import dataclasses
import datetime as dt
from typing import Final

import anyio

from bluebellslip_lab.demo_plan import (
    BAD_MOVE,
    GOOD_MOVE,
    INSTANCES,
    PlannedMove,
)
from bluebellslip_lab.lab_context import LabContext

_END_MARGIN: Final = dt.timedelta(seconds=5)
_ANNOUNCE_WAIT: Final = dt.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class MoveResult:
    """Last known state of a move, and the seconds waited for its end."""

    state: str
    seconds: float


async def start_new_versions(context: LabContext) -> None:
    """Start servers of both new versions; they get no calls before a move."""
    context.print_line(
        f'Starting two servers of {GOOD_MOVE.service} {GOOD_MOVE.version}, '
        f'which are good, and two of {BAD_MOVE.service} {BAD_MOVE.version}, '
        'which fail half of their calls.'
    )
    await context.start_instances((*GOOD_MOVE.instances, *BAD_MOVE.instances))
    await anyio.sleep(_ANNOUNCE_WAIT.total_seconds())


async def run_move(context: LabContext, plan: PlannedMove) -> MoveResult:
    """Request a move and wait for its end without intervening."""
    start = anyio.current_time()
    time_limit = f'{int(plan.time_limit.total_seconds())}s'
    await context.run_command(
        'move', plan.service, '--to', plan.version, '--by', time_limit
    )
    status = await context.node_monitor.wait_move_end(
        context.mesh.admin_url(INSTANCES[0]),
        plan.service,
        plan.version,
        plan.time_limit + _END_MARGIN,
    )
    seconds = anyio.current_time() - start
    await context.run_command('status')
    return MoveResult(str(status.get('state', '')).lower(), round(seconds, 1))
