"""The demo's moves: one to a good version, one to a bad one."""

import dataclasses
import datetime as dt
from typing import Final

import anyio

from bluebellslip._internal.exceptions import ErrorKind
from bluebellslip._internal.models.answers import ANSWERS
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
_TRIES: Final = 10


@dataclasses.dataclass(frozen=True, slots=True)
class MoveEnd:
    """How a move ended, and after how many seconds."""

    state: str
    seconds: float


async def start_versions(bench: Workbench) -> None:
    """Start servers of both new versions; they get no calls unasked."""
    bench.say(
        f'Starting two servers of {MOVED} {GOOD}, which are good, and two '
        f'of {BAD}, which fail half of the deposits.'
    )
    await bench.start_places((*GOOD_PLACES, *BAD_PLACES))
    await anyio.sleep(_ANNOUNCED.total_seconds())


async def move_good(bench: Workbench) -> MoveEnd:
    """Move the service to a good version."""
    return await _move(bench, GOOD, GOOD_DEADLINE)


async def move_bad(bench: Workbench) -> MoveEnd:
    """Move the service to a bad version; nobody takes it back by hand."""
    return await _move(bench, BAD, BAD_DEADLINE)


async def _move(
    bench: Workbench, version: str, deadline: dt.timedelta
) -> MoveEnd:
    start = anyio.current_time()
    await _ask(bench, version, deadline)
    status = await bench.watcher.wait_move(
        bench.mesh.admin(PLACES[0]), MOVED, version, deadline + _SLACK
    )
    seconds = anyio.current_time() - start
    await bench.tell('status')
    return MoveEnd(str(status.get('state', '')).lower(), round(seconds, 1))


async def _ask(bench: Workbench, version: str, deadline: dt.timedelta) -> None:
    """Ask for a move; come back while the mesh compares two versions."""
    by = f'{int(deadline.total_seconds())}s'
    for _ in range(_TRIES):
        status = await bench.tell('move', MOVED, '--to', version, '--by', by)
        if status != ANSWERS[ErrorKind.CONFLICT].exit_code:
            return
        await anyio.sleep(_ANNOUNCED.total_seconds())
