"""First steps of the demo: apply a configuration and change it."""

from collections.abc import Mapping
from typing import Any, Final

import anyio

from bluebellslip_lab.demo_checks import MAX_CONVERGENCE_TIME
from bluebellslip_lab.demo_plan import CONFIG_PATH, INSTANCES
from bluebellslip_lab.lab_context import LabContext

_OK: Final = 200
_MS_PER_SECOND: Final = 1000
_NEW_SERVICE: Final = 'engineering'


async def apply_config(context: LabContext) -> None:
    """Check and apply the demo's configuration with the command line."""
    await context.run_command('config', 'check', str(CONFIG_PATH))
    await context.run_command('apply', str(CONFIG_PATH))
    start = anyio.current_time()
    admin_urls = _list_admin_urls(context)
    delays_ms = await context.node_monitor.wait_applied(
        admin_urls, 1, MAX_CONVERGENCE_TIME
    )
    elapsed = anyio.current_time() - start
    context.print_line(
        f'Applied on {len(delays_ms)} of {len(admin_urls)} nodes '
        f'{elapsed:.3f} s after the command ended.'
    )


async def change_config(context: LabContext) -> float | None:
    """Submit a second change through the admin interface.

    Returns
    -------
    float or None
        Milliseconds from sending the change until every node has applied
        it; none if a node did not apply it in time.
    """
    admin_urls = _list_admin_urls(context)
    admin_url = context.mesh.admin_url(INSTANCES[0])
    current = (
        await context.admin_client.send('GET', f'{admin_url}/v1/config')
    ).json_body
    async with anyio.create_task_group() as group:
        group.start_soon(_put_changed_config, context, admin_url, current)
        delays_ms = await context.node_monitor.wait_applied(
            admin_urls, 2, MAX_CONVERGENCE_TIME
        )
    slowest_ms = max(delays_ms.values(), default=float(0))
    context.print_line(
        f'A second change was applied on {len(delays_ms)} of '
        f'{len(admin_urls)} nodes {slowest_ms:.0f} ms after it was sent.'
    )
    return slowest_ms if len(delays_ms) == len(admin_urls) else None


async def _put_changed_config(
    context: LabContext, admin_url: str, current: Mapping[str, Any]
) -> None:
    document = current['document']
    document['services'].append({'name': _NEW_SERVICE, 'team': 'grid'})
    body = {
        'change': 'demo-second',
        'base': current['revision'],
        'document': document,
    }
    response = await context.admin_client.send(
        'PUT', f'{admin_url}/v1/config', body
    )
    if response.status != _OK:
        context.print_line(
            f'PUT /v1/config: {response.status} {response.body.decode()}'
        )


def _list_admin_urls(context: LabContext) -> dict[str, str]:
    return {
        instance.name: context.mesh.admin_url(instance)
        for instance in INSTANCES
    }
