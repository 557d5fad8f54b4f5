"""The demo's moves: one to a good version, one to a bad one."""

import dataclasses
import datetime as dt
from typing import Final

import anyio

from bluebellslip_lab.demo_plan import (
    BAD,
    BAD_DEADLINE,
    BAD_PLACES,
    GOOD,
    GOOD_DEADLINE,
    GOOD_PLACES,
    MOVED,
    PLACES,
)
from bluebellslip_lab.workbench import Workbench

_SLACK: Final = dt.timedelta(seconds=5)
_ANNOUNCED: Final = dt.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True)
class MoveEnd:
    """How a move ended, and after how many seconds."""

    state: str
    seconds: float


async def move_good(bench: Workbench) -> MoveEnd:
    """Move the service to a good version."""
    bench.say(f'Starting two servers of {MOVED} {GOOD}; they are good.')
    await bench.start_places(GOOD_PLACES)
    return await _move(bench, GOOD, GOOD_DEADLINE)


async def move_bad(bench: Workbench) -> MoveEnd:
    """Move the service to a bad version; nobody takes it back by hand."""
    bench.say(
        f'Starting two servers of {MOVED} {BAD}; half of its deposits fail.'
    )
    await bench.start_places(BAD_PLACES)
    return await _move(bench, BAD, BAD_DEADLINE)


async def _move(
    bench: Workbench, version: str, deadline: dt.timedelta
) -> MoveEnd:
    await anyio.sleep(_ANNOUNCED.total_seconds())
    start = anyio.current_time()
    by = f'{int(deadline.total_seconds())}s'
    await bench.tell('move', MOVED, '--to', version, '--by', by)
    status = await bench.watcher.wait_move(
        bench.mesh.admin(PLACES[0]), MOVED, version, deadline + _SLACK
    )
    seconds = anyio.current_time() - start
    await bench.tell('status')
    return MoveEnd(str(status.get('state', '')).lower(), round(seconds, 1))
