"""The demo's first steps: declare a configuration and change it."""

from collections.abc import Mapping
from typing import Any, Final

import anyio

from bluebellslip_lab.demo_plan import CONFIG, PLACES
from bluebellslip_lab.verdict import CONVERGENCE_LIMIT
from bluebellslip_lab.workbench import Workbench

_OK: Final = 200
_MS_PER_SECOND: Final = 1000
_NEW_SERVICE: Final = 'engineering'


async def declare(bench: Workbench) -> None:
    """Check and apply the demo's configuration by command."""
    await bench.tell('config', 'check', str(CONFIG))
    await bench.tell('apply', str(CONFIG))
    start = anyio.current_time()
    admins = _name_admins(bench)
    reached = await bench.watcher.wait_in_force(admins, 1, CONVERGENCE_LIMIT)
    waited = anyio.current_time() - start
    bench.say(
        f'In force on {len(reached)} of {len(admins)} nodes '
        f'{waited:.3f} s after the command ended.'
    )


async def change(bench: Workbench) -> float | None:
    """Make a second change.

    Returns
    -------
    float or None
        Milliseconds from its sending until it is in force on every node.
    """
    admins = _name_admins(bench)
    admin = bench.mesh.admin(PLACES[0])
    current = (await bench.client.send('GET', f'{admin}/v1/config')).tree
    async with anyio.create_task_group() as group:
        group.start_soon(_put_changed, bench, admin, current)
        reached = await bench.watcher.wait_in_force(
            admins, 2, CONVERGENCE_LIMIT
        )
    slowest = max(reached.values(), default=float(0))
    bench.say(
        f'A second change was in force on {len(reached)} of {len(admins)} '
        f'nodes {slowest:.0f} ms after it was sent.'
    )
    return slowest if len(reached) == len(admins) else None


async def _put_changed(
    bench: Workbench, admin: str, current: Mapping[str, Any]
) -> None:
    document = current['document']
    document['services'].append({'name': _NEW_SERVICE, 'team': 'grid'})
    body = {
        'change': 'demo-second',
        'base': current['revision'],
        'document': document,
    }
    reply = await bench.client.send('PUT', f'{admin}/v1/config', body)
    if reply.status != _OK:
        bench.say(f'PUT /v1/config: {reply.status} {reply.body.decode()}')


def _name_admins(bench: Workbench) -> dict[str, str]:
    return {place.name: bench.mesh.admin(place) for place in PLACES}
