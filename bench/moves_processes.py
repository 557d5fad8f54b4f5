"""Moves on real processes, while the steward and the platform fail.

Run as ``python -m bench.moves_processes``. Ports 25000 to 25150 of 127.0.0.1
are used. Every scenario has a mesh of its own: a platform, four nodes and
four backend servers of one service, and 60 calls a second.
"""

import dataclasses
import datetime as dt
import json
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from random import Random
from typing import Any, Final

import anyio
import msgspec

from bench.results import FRESH
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.utils.jsonc import load_document
from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.behaviour import Badness, Behaviour
from bluebellslip_lab.caller import Caller
from bluebellslip_lab.children import Children
from bluebellslip_lab.demo_plan import CONFIG
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.load import LoadGenerator
from bluebellslip_lab.mesh import (
    OPERATOR_TOKEN,
    Mesh,
    Place,
    wait_answering,
)
from bluebellslip_lab.traffic import CallClass

BASE_PORT: Final = 25000
SERVICE: Final = 'orders'
CALLS: Final = CallClass('order-status', SERVICE, '/status/1', 60)
START: Final = dt.timedelta(seconds=30)
TIME: Final = dt.timedelta(seconds=50)
POLL_S: Final = 0.2
BAD_AFTER_S: Final = 12  # of the servers' running

Act = Callable[['Stage'], Awaitable[dict[str, Any]]]

_OLD: Final = (Place(0, SERVICE, 'v1', 'a'), Place(1, SERVICE, 'v1', 'b'))
_WATCHED: Final = _OLD[1]
_NEW: Final = (Place(2, SERVICE, 'v2', 'a'), Place(3, SERVICE, 'v2', 'b'))


@dataclasses.dataclass(slots=True)
class Stage:
    """One mesh and its operators."""

    mesh: Mesh
    client: AdminClient
    children: Children
    over: bool = False

    async def status(self, place: Place = _WATCHED) -> Mapping[str, Any]:
        """Return the move as a node tells it."""
        url = f'{self.mesh.admin(place)}/v1/moves/{SERVICE}'
        tree: Mapping[str, Any] = (await self.client.send('GET', url)).tree
        return tree

    async def wait(
        self, is_met: Callable[[Mapping[str, Any]], bool], limit: dt.timedelta
    ) -> tuple[Mapping[str, Any], float]:
        """Wait until a status meets a demand; return it and the seconds."""
        begin = anyio.current_time()
        status: Mapping[str, Any] = {}
        while anyio.current_time() - begin < limit.total_seconds():
            status = await self.status()
            if is_met(status):
                break
            await anyio.sleep(POLL_S)
        return status, round(anyio.current_time() - begin, 1)

    async def begin_move(self) -> None:
        """Ask for the new version."""
        deadline = dt.datetime.now(dt.UTC) + TIME
        body = {
            'new': 'v2',
            'deadline': deadline.isoformat(),
            'request': 'bench-request',
        }
        url = f'{self.mesh.admin(_OLD[0])}/v1/moves/{SERVICE}'
        reply = await self.client.send('PUT', url, body)
        if reply.status != 200:
            raise RuntimeError(reply.body.decode())

    async def audit(self) -> list[str]:
        """Return the audited steps, newest first."""
        url = f'{self.mesh.admin(_OLD[1])}/v1/audit'
        rows = (await self.client.send('GET', url)).tree.get('rows', [])
        return [row['action'] for row in rows]

    def find_steward(self, status: Mapping[str, Any]) -> Place:
        """Return the place whose node holds the lease."""
        return next(
            place
            for place in (*_OLD, *_NEW)
            if place.name == status.get('steward')
        )


async def run_good(stage: Stage) -> dict[str, Any]:
    """Move to a good version, and nothing fails."""
    status, seconds = await stage.wait(_is_final, TIME)
    return {**_end(status), 'seconds': seconds}


async def kill_steward(stage: Stage) -> dict[str, Any]:
    """End the steward's process; another one has to finish the move."""
    status, _ = await stage.wait(_has_steward, TIME)
    steward = stage.find_steward(status)
    stage.children.kill(steward.node)
    watched = _OLD[0] if steward is _OLD[1] else _OLD[1]
    begin = anyio.current_time()
    taken: float | None = None
    while not _is_final(status) and anyio.current_time() - begin < 60:
        status = await stage.status(watched)
        if taken is None and status.get('steward') != steward.name:
            taken = round(anyio.current_time() - begin, 1)
        await anyio.sleep(POLL_S)
    return {**_end(status), 'taken over after s': taken}


async def freeze_steward(stage: Stage) -> dict[str, Any]:
    """Freeze the steward beyond its lease, then let it run on."""
    status, _ = await stage.wait(_has_steward, TIME)
    steward = stage.find_steward(status)
    stage.children.freeze(steward.node)
    await anyio.sleep(20)
    stage.children.thaw(steward.node)
    status, seconds = await stage.wait(_is_final, TIME)
    actions = await stage.audit()
    return {
        **_end(status),
        'seconds': seconds + 20,
        'done': actions.count('move.done'),
        'withdrawn': actions.count('move.withdrawn'),
        'stewards': actions.count('move.steward'),
    }


async def turn_bad_in_outage(stage: Stage) -> dict[str, Any]:
    """Take the platform down; the version goes bad while it is away."""
    await stage.wait(_has_calls, TIME)
    platform = stage.mesh.platform
    await stage.client.set_faults(platform, Faults(down=True))
    status, seconds = await stage.wait(_is_stopped, TIME)
    during = status.get('state')
    await stage.client.set_faults(platform, Faults())
    status, recorded = await stage.wait(_is_final, TIME)
    return {
        'stopped': bool(status.get('stopped')),
        'seconds until stopped': seconds,
        'state during the outage': during,
        **_end(status),
        'recorded after s': recorded,
    }


async def race_withdrawal(stage: Stage) -> dict[str, Any]:
    """Let operators withdraw through two nodes as the steward finishes."""
    await stage.wait(_is_late, TIME)
    async with anyio.create_task_group() as group:
        for place in _OLD:
            group.start_soon(_insist, stage, place)
    status, _ = await stage.wait(_is_final, TIME)
    actions = await stage.audit()
    return {
        **_end(status),
        'done': actions.count('move.done'),
        'withdrawn': actions.count('move.withdrawn'),
    }


async def _insist(stage: Stage, place: Place) -> None:
    url = f'{stage.mesh.admin(place)}/v1/moves/{SERVICE}?reason=race'
    for _ in range(200):
        if _is_final(await stage.status(place)):
            return
        if _percent(await stage.status(place)) >= 85:
            await anyio.sleep(Random(place.index).uniform(0, 5))
            await stage.client.send('DELETE', url)
        await anyio.sleep(POLL_S)


def _end(status: Mapping[str, Any]) -> dict[str, Any]:
    return {'state': status.get('state'), 'reason': status.get('reason')}


def _is_final(status: Mapping[str, Any]) -> bool:
    return str(status.get('state', '')).lower() in {'done', 'withdrawn'}


def _is_stopped(status: Mapping[str, Any]) -> bool:
    return bool(status.get('stopped'))


def _has_steward(status: Mapping[str, Any]) -> bool:
    return bool(status.get('steward')) and _has_calls(status)


def _has_calls(status: Mapping[str, Any]) -> bool:
    return bool(status.get('share'))


def _percent(status: Mapping[str, Any]) -> int:
    return round(100 * float(status.get('share', 0)))


def _is_late(status: Mapping[str, Any]) -> bool:
    return _is_final(status) or _percent(status) >= 70


SCENARIOS: Final[Mapping[str, tuple[bool, Act]]] = {
    'nothing fails': (False, run_good),
    'steward killed': (False, kill_steward),
    'steward frozen beyond its lease': (False, freeze_steward),
    'platform down while the version goes bad': (True, turn_bad_in_outage),
    'withdrawal races done': (False, race_withdrawal),
}


async def run_scenario(name: str) -> dict[str, Any]:
    """Run one scenario on a mesh of its own."""
    is_bad, act = SCENARIOS[name]
    with (
        tempfile.TemporaryDirectory() as directory,
        Children(Path(directory)) as children,
    ):
        mesh = Mesh(children, Path(directory), BASE_PORT, 'demo')
        stage = Stage(mesh, AdminClient(OPERATOR_TOKEN), children)
        return await _carry(stage, act, is_bad=is_bad)


async def _carry(
    stage: Stage,
    act: Act,
    *,
    is_bad: bool,
) -> dict[str, Any]:
    load = LoadGenerator(
        [Caller(stage.mesh.egress(place)) for place in _OLD], Random(1)
    )
    stage.mesh.start_platform()
    counts = f'{stage.mesh.platform}/counts'
    await wait_answering(stage.client, counts, START)
    await _start_places(stage, _OLD)
    await _declare(stage)
    await anyio.sleep(3)
    found: dict[str, Any] = {}
    async with anyio.create_task_group() as group:
        group.start_soon(load.run, (CALLS,), lambda: stage.over)
        await _start_places(stage, _make_new(is_bad=is_bad))
        await anyio.sleep(2)
        await stage.begin_move()
        found = await act(stage)
        stage.over = True
    await stage.client.aclose()
    return found


def _make_new(*, is_bad: bool) -> tuple[Place, ...]:
    if not is_bad:
        return _NEW
    bad = Behaviour(bad=Badness(fail_share=0.5, after_s=BAD_AFTER_S))
    return tuple(dataclasses.replace(place, behaviour=bad) for place in _NEW)


async def _start_places(stage: Stage, places: tuple[Place, ...]) -> None:
    for place in places:
        stage.mesh.start_node(place)
        stage.mesh.start_server(place)
    for started in places:
        url = f'{stage.mesh.admin(started)}/v1/health'
        if not await wait_answering(stage.client, url, START):
            raise TimeoutError(stage.children.read_log(started.node))


async def _declare(stage: Stage) -> None:
    document = load_document(CONFIG, ConfigDocument)
    body = {
        'change': 'bench-change',
        'document': msgspec.to_builtins(document),
        'base': None,
    }
    url = f'{stage.mesh.admin(_OLD[0])}/v1/config'
    reply = await stage.client.send('PUT', url, body)
    if reply.status != 200:
        raise RuntimeError(reply.body.decode())


def main() -> None:
    """Print what came of every scenario and write it as JSON."""
    found: dict[str, dict[str, Any]] = {}
    for name in SCENARIOS:
        found[name] = anyio.run(run_scenario, name)
        print(f'{name}: {json.dumps(found[name])}', flush=True)
    FRESH.mkdir(parents=True, exist_ok=True)
    path = FRESH / 'moves_processes.json'
    path.write_text(json.dumps(found, indent=1), encoding='utf-8')


if __name__ == '__main__':
    main()
