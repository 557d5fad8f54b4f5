"""Meshes of real processes for tests, on free ports."""

import contextlib
import datetime as dt
from collections.abc import AsyncGenerator, Mapping
from pathlib import Path
from random import SystemRandom
from typing import Any

import anyio
import msgspec

from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip_lab.admin_client import AdminClient, AdminResponse
from bluebellslip_lab.child_processes import ChildProcesses
from bluebellslip_lab.free_ports import find_free_range
from bluebellslip_lab.mesh import (
    OPERATOR_TOKEN,
    PORTS_PER_INSTANCE,
    Instance,
    Mesh,
    wait_responding,
)
from lib.snapshots import make_document

# Long enough to catch hangs only; no assertion depends on the speed.
_HANG_TIMEOUT = dt.timedelta(seconds=120)


class ProcessMesh:
    """A simulated platform and two nodes as processes, and an admin client."""

    def __init__(self, mesh: Mesh, client: AdminClient) -> None:
        self.mesh = mesh
        self.client = client
        self.instances = [
            Instance(index, 'orders', 'v1', domain)
            for index, domain in enumerate('ab')
        ]

    async def put_config(
        self,
        instance: Instance,
        change: str,
        document: ConfigDocument | None = None,
        base: int | None = None,
    ) -> AdminResponse:
        body = {
            'change': change,
            'document': msgspec.to_builtins(document or make_document()),
            'base': base,
        }
        url = f'{self.mesh.admin_url(instance)}/v1/config'
        return await self.client.send('PUT', url, body, timeout=_HANG_TIMEOUT)

    async def get_json(
        self, instance: Instance, path: str
    ) -> Mapping[str, Any]:
        url = f'{self.mesh.admin_url(instance)}{path}'
        json_body: Mapping[str, Any] = (
            await self.client.send('GET', url)
        ).json_body
        return json_body

    async def wait_applied(self, instance: Instance, revision: int) -> None:
        while (await self.get_json(instance, '/v1/health')).get(
            'revision'
        ) != revision:
            await anyio.sleep(0.05)

    async def list_accepted(self) -> list[tuple[str, int]]:
        """Return each accepted change of the audit trail and its revision.

        The oldest is first.
        """
        rows = (await self.get_json(self.instances[0], '/v1/audit'))['rows']
        return [
            (row['subject'], row['revision'])
            for row in reversed(rows)
            if (row['action'], row['outcome']) == ('apply', 'accepted')
        ]


@contextlib.asynccontextmanager
async def run_process_mesh(
    directory: Path,
) -> AsyncGenerator[ProcessMesh, None]:
    base_port = find_free_range(3 * PORTS_PER_INSTANCE, SystemRandom())
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(anyio.fail_after(_HANG_TIMEOUT.total_seconds()))
        processes = stack.enter_context(ChildProcesses(directory))
        mesh = Mesh(processes, directory, base_port, 'thistle-quill')
        process_mesh = ProcessMesh(mesh, AdminClient(OPERATOR_TOKEN))
        stack.push_async_callback(process_mesh.client.aclose)
        await _start(process_mesh)
        yield process_mesh


async def _start(process_mesh: ProcessMesh) -> None:
    mesh = process_mesh.mesh
    mesh.start_platform()
    # Nodes that start before it open their circuit breakers, and refuse the
    # first changes.
    await _wait_responding(process_mesh, f'{mesh.platform_url}/counts')
    for instance in process_mesh.instances:
        mesh.start_node(instance)
    for started in process_mesh.instances:
        await _wait_responding(
            process_mesh, f'{mesh.admin_url(started)}/v1/health'
        )


async def _wait_responding(process_mesh: ProcessMesh, url: str) -> None:
    assert await wait_responding(process_mesh.client, url, _HANG_TIMEOUT)
