"""Moves on real processes while the coordinator or the platform fails.

Run as ``python -m bench.moves_processes``. The scenarios use ports from
25000 to 25049 of 127.0.0.1. Every scenario has its own mesh, which consists of
a platform, four nodes and four backend servers of one service. The service
receives 60 calls a second.
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

from bench.results import OUTPUT_DIRECTORY
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip._internal.utils.jsonc import load_document
from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.behaviour import Behaviour, Defect
from bluebellslip_lab.caller import Caller
from bluebellslip_lab.child_processes import ChildProcesses
from bluebellslip_lab.demo_plan import CONFIG_PATH
from bluebellslip_lab.faults import Faults
from bluebellslip_lab.load import LoadGenerator
from bluebellslip_lab.mesh import (
    OPERATOR_TOKEN,
    Instance,
    Mesh,
    wait_responding,
)
from bluebellslip_lab.traffic import CallClass

BASE_PORT: Final = 25000
SERVICE: Final = 'orders'
CALL_CLASS: Final = CallClass('order-status', SERVICE, '/status/1', 60)
STARTUP_TIMEOUT: Final = dt.timedelta(seconds=30)
MOVE_DURATION: Final = dt.timedelta(seconds=50)
POLL_INTERVAL_S: Final = 0.2
FAILING_AFTER_S: Final = 12  # since the start of each bad server

ScenarioAction = Callable[['ScenarioContext'], Awaitable[dict[str, Any]]]

_OLD_INSTANCES: Final = (
    Instance(0, SERVICE, 'v1', 'a'),
    Instance(1, SERVICE, 'v1', 'b'),
)
_WATCHED_INSTANCE: Final = _OLD_INSTANCES[1]
_NEW_INSTANCES: Final = (
    Instance(2, SERVICE, 'v2', 'a'),
    Instance(3, SERVICE, 'v2', 'b'),
)


@dataclasses.dataclass(slots=True)
class ScenarioContext:
    """The mesh of one scenario and the operator's client.

    The load stops once ``is_over`` is set.
    """

    mesh: Mesh
    client: AdminClient
    processes: ChildProcesses
    is_over: bool = False

    async def read_status(
        self, instance: Instance = _WATCHED_INSTANCE
    ) -> Mapping[str, Any]:
        """Return the status of the move, as reported by a node."""
        url = f'{self.mesh.admin_url(instance)}/v1/moves/{SERVICE}'
        status: Mapping[str, Any] = (
            await self.client.send('GET', url)
        ).json_body
        return status

    async def wait_for_status(
        self, is_met: Callable[[Mapping[str, Any]], bool], timeout: dt.timedelta
    ) -> tuple[Mapping[str, Any], float]:
        """Wait until the move's status meets a condition or time is up.

        Returns
        -------
        tuple
            The last status, and the seconds that the wait took.
        """
        begin = anyio.current_time()
        status: Mapping[str, Any] = {}
        while anyio.current_time() - begin < timeout.total_seconds():
            status = await self.read_status()
            if is_met(status):
                break
            await anyio.sleep(POLL_INTERVAL_S)
        return status, round(anyio.current_time() - begin, 1)

    async def start_move(self) -> None:
        """Request the move to the new version."""
        deadline = dt.datetime.now(dt.UTC) + MOVE_DURATION
        body = {
            'new': 'v2',
            'deadline': deadline.isoformat(),
            'request': 'bench-request',
        }
        url = f'{self.mesh.admin_url(_OLD_INSTANCES[0])}/v1/moves/{SERVICE}'
        response = await self.client.send('PUT', url, body)
        if response.status != 200:
            raise RuntimeError(response.body.decode())

    async def list_audited_actions(self) -> list[str]:
        """Return the newest actions in the audit trail, newest first."""
        url = f'{self.mesh.admin_url(_OLD_INSTANCES[1])}/v1/audit'
        rows = (await self.client.send('GET', url)).json_body.get('rows', [])
        return [row['action'] for row in rows]

    def find_coordinator(self, status: Mapping[str, Any]) -> Instance:
        """Return the instance whose node holds the move's lease.

        The status names this node, the coordinator, as ``steward``.
        """
        return next(
            instance
            for instance in (*_OLD_INSTANCES, *_NEW_INSTANCES)
            if instance.name == status.get('steward')
        )


async def run_good(context: ScenarioContext) -> dict[str, Any]:
    """Move to a good version while nothing fails."""
    status, seconds = await context.wait_for_status(_is_final, MOVE_DURATION)
    return {**_make_outcome(status), 'seconds': seconds}


async def kill_coordinator(context: ScenarioContext) -> dict[str, Any]:
    """Kill the coordinator's process; another node has to finish the move."""
    status, _ = await context.wait_for_status(_has_coordinator, MOVE_DURATION)
    coordinator = context.find_coordinator(status)
    context.processes.kill(coordinator.node_process)
    watched = (
        _OLD_INSTANCES[0]
        if coordinator is _OLD_INSTANCES[1]
        else _OLD_INSTANCES[1]
    )
    begin = anyio.current_time()
    takeover_s: float | None = None
    while not _is_final(status) and anyio.current_time() - begin < 60:
        status = await context.read_status(watched)
        if takeover_s is None and status.get('steward') != coordinator.name:
            takeover_s = round(anyio.current_time() - begin, 1)
        await anyio.sleep(POLL_INTERVAL_S)
    return {**_make_outcome(status), 'taken over after s': takeover_s}


async def freeze_coordinator(context: ScenarioContext) -> dict[str, Any]:
    """Freeze the coordinator until its lease has expired, then resume it."""
    status, _ = await context.wait_for_status(_has_coordinator, MOVE_DURATION)
    coordinator = context.find_coordinator(status)
    context.processes.freeze(coordinator.node_process)
    await anyio.sleep(20)
    context.processes.thaw(coordinator.node_process)
    status, seconds = await context.wait_for_status(_is_final, MOVE_DURATION)
    actions = await context.list_audited_actions()
    return {
        **_make_outcome(status),
        'seconds': seconds + 20,
        'done': actions.count('move.done'),
        'withdrawn': actions.count('move.withdrawn'),
        'stewards': actions.count('move.steward'),
    }


async def turn_bad_in_outage(context: ScenarioContext) -> dict[str, Any]:
    """Take the platform down; the version turns bad during the outage."""
    await context.wait_for_status(_has_share, MOVE_DURATION)
    platform = context.mesh.platform_url
    await context.client.set_faults(platform, Faults(down=True))
    status, seconds = await context.wait_for_status(_is_stopped, MOVE_DURATION)
    state_during_outage = status.get('state')
    await context.client.set_faults(platform, Faults())
    status, recorded_after_s = await context.wait_for_status(
        _is_final, MOVE_DURATION
    )
    return {
        'stopped': bool(status.get('stopped')),
        'seconds until stopped': seconds,
        'state during the outage': state_during_outage,
        **_make_outcome(status),
        'recorded after s': recorded_after_s,
    }


async def race_withdrawal(context: ScenarioContext) -> dict[str, Any]:
    """Withdraw the move through two nodes while the coordinator finishes it."""
    await context.wait_for_status(_is_near_end, MOVE_DURATION)
    async with anyio.create_task_group() as group:
        for instance in _OLD_INSTANCES:
            group.start_soon(_withdraw_near_end, context, instance)
    status, _ = await context.wait_for_status(_is_final, MOVE_DURATION)
    actions = await context.list_audited_actions()
    return {
        **_make_outcome(status),
        'done': actions.count('move.done'),
        'withdrawn': actions.count('move.withdrawn'),
    }


async def _withdraw_near_end(
    context: ScenarioContext, instance: Instance
) -> None:
    url = f'{context.mesh.admin_url(instance)}/v1/moves/{SERVICE}?reason=race'
    for _ in range(200):
        if _is_final(await context.read_status(instance)):
            return
        if _compute_share_percent(await context.read_status(instance)) >= 85:
            await anyio.sleep(Random(instance.index).uniform(0, 5))
            await context.client.send('DELETE', url)
        await anyio.sleep(POLL_INTERVAL_S)


def _make_outcome(status: Mapping[str, Any]) -> dict[str, Any]:
    return {'state': status.get('state'), 'reason': status.get('reason')}


def _is_final(status: Mapping[str, Any]) -> bool:
    return str(status.get('state', '')).lower() in {'done', 'withdrawn'}


def _is_stopped(status: Mapping[str, Any]) -> bool:
    return bool(status.get('stopped'))


def _has_coordinator(status: Mapping[str, Any]) -> bool:
    return bool(status.get('steward')) and _has_share(status)


def _has_share(status: Mapping[str, Any]) -> bool:
    return bool(status.get('share'))


def _compute_share_percent(status: Mapping[str, Any]) -> int:
    return round(100 * float(status.get('share', 0)))


def _is_near_end(status: Mapping[str, Any]) -> bool:
    return _is_final(status) or _compute_share_percent(status) >= 70


# Whether the new version turns bad, and the action, by the scenario's name.
SCENARIOS: Final[Mapping[str, tuple[bool, ScenarioAction]]] = {
    'nothing fails': (False, run_good),
    'steward killed': (False, kill_coordinator),
    'steward frozen beyond its lease': (False, freeze_coordinator),
    'platform down while the version goes bad': (True, turn_bad_in_outage),
    'withdrawal races done': (False, race_withdrawal),
}


async def run_scenario(name: str) -> dict[str, Any]:
    """Run one scenario on its own mesh."""
    is_failing, run_action = SCENARIOS[name]
    with (
        tempfile.TemporaryDirectory() as directory,
        ChildProcesses(Path(directory)) as processes,
    ):
        mesh = Mesh(processes, Path(directory), BASE_PORT, 'demo')
        context = ScenarioContext(mesh, AdminClient(OPERATOR_TOKEN), processes)
        return await _run_on_mesh(context, run_action, is_failing=is_failing)


async def _run_on_mesh(
    context: ScenarioContext,
    run_action: ScenarioAction,
    *,
    is_failing: bool,
) -> dict[str, Any]:
    load = LoadGenerator(
        [
            Caller(context.mesh.egress_address(instance))
            for instance in _OLD_INSTANCES
        ],
        Random(1),
    )
    context.mesh.start_platform()
    counts = f'{context.mesh.platform_url}/counts'
    await wait_responding(context.client, counts, STARTUP_TIMEOUT)
    await _start_instances(context, _OLD_INSTANCES)
    await _apply_config(context)
    await anyio.sleep(3)
    outcome: dict[str, Any] = {}
    async with anyio.create_task_group() as group:
        group.start_soon(load.run, (CALL_CLASS,), lambda: context.is_over)
        await _start_instances(
            context, _make_new_instances(is_failing=is_failing)
        )
        await anyio.sleep(2)
        await context.start_move()
        outcome = await run_action(context)
        context.is_over = True
    await context.client.aclose()
    return outcome


def _make_new_instances(*, is_failing: bool) -> tuple[Instance, ...]:
    if not is_failing:
        return _NEW_INSTANCES
    bad = Behaviour(bad=Defect(fail_share=0.5, after_s=FAILING_AFTER_S))
    return tuple(
        dataclasses.replace(instance, behaviour=bad)
        for instance in _NEW_INSTANCES
    )


async def _start_instances(
    context: ScenarioContext, instances: tuple[Instance, ...]
) -> None:
    for instance in instances:
        context.mesh.start_node(instance)
        context.mesh.start_server(instance)
    for started in instances:
        url = f'{context.mesh.admin_url(started)}/v1/health'
        if not await wait_responding(context.client, url, STARTUP_TIMEOUT):
            raise TimeoutError(context.processes.read_log(started.node_process))


async def _apply_config(context: ScenarioContext) -> None:
    document = load_document(CONFIG_PATH, ConfigDocument)
    body = {
        'change': 'bench-change',
        'document': msgspec.to_builtins(document),
        'base': None,
    }
    url = f'{context.mesh.admin_url(_OLD_INSTANCES[0])}/v1/config'
    response = await context.client.send('PUT', url, body)
    if response.status != 200:
        raise RuntimeError(response.body.decode())


def main() -> None:
    """Run every scenario, print its outcome and write all outcomes as JSON."""
    outcomes: dict[str, dict[str, Any]] = {}
    for name in SCENARIOS:
        outcomes[name] = anyio.run(run_scenario, name)
        print(f'{name}: {json.dumps(outcomes[name])}', flush=True)
    OUTPUT_DIRECTORY.mkdir(parents=True, exist_ok=True)
    path = OUTPUT_DIRECTORY / 'moves_processes.json'
    path.write_text(json.dumps(outcomes, indent=1), encoding='utf-8')


if __name__ == '__main__':
    main()
