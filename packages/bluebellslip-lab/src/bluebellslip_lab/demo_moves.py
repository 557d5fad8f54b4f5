"""The demo's moves: one to a good version, one to a bad one."""

import dataclasses
import datetime as dt
from typing import Final

import anyio

from bluebellslip_lab.demo_plan import (
    BAD_MOVE,
    GOOD_MOVE,
    PLACES,
    PlannedMove,
)
from bluebellslip_lab.workbench import Workbench

_SLACK: Final = dt.timedelta(seconds=5)
_ANNOUNCED: Final = dt.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class MoveEnd:
    """How a move ended, and after how many seconds."""

    state: str
    seconds: float


async def start_versions(bench: Workbench) -> None:
    """Start servers of both new versions; they get no calls unasked."""
    bench.say(
        f'Starting two servers of {GOOD_MOVE.service} {GOOD_MOVE.version}, '
        f'which are good, and two of {BAD_MOVE.service} {BAD_MOVE.version}, '
        'which fail half of their calls.'
    )
    await bench.start_places((*GOOD_MOVE.places, *BAD_MOVE.places))
    await anyio.sleep(_ANNOUNCED.total_seconds())


async def move(bench: Workbench, plan: PlannedMove) -> MoveEnd:
    """Ask for a move and wait for its end; nobody acts in between."""
    start = anyio.current_time()
    by = f'{int(plan.within.total_seconds())}s'
    await bench.tell('move', plan.service, '--to', plan.version, '--by', by)
    status = await bench.watcher.wait_move(
        bench.mesh.admin(PLACES[0]),
        plan.service,
        plan.version,
        plan.within + _SLACK,
    )
    seconds = anyio.current_time() - start
    await bench.tell('status')
    return MoveEnd(str(status.get('state', '')).lower(), round(seconds, 1))
