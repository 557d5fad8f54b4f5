"""Meshes of real processes for tests, on ports of their own."""

import contextlib
import datetime as dt
from collections.abc import AsyncGenerator, Mapping
from pathlib import Path
from random import SystemRandom
from typing import Any

import anyio
import msgspec

from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip_lab.admin_client import AdminClient, AdminReply
from bluebellslip_lab.children import Children
from bluebellslip_lab.free_ports import find_free_range
from bluebellslip_lab.mesh import (
    OPERATOR_TOKEN,
    PORTS_PER_PLACE,
    Mesh,
    Place,
    wait_answering,
)
from lib.snapshots import make_document

# Only a hang is to be caught; no verdict depends on how fast things are.
_HANG = dt.timedelta(seconds=120)


class ProcessMesh:
    """A platform and nodes as processes, and their operators."""

    def __init__(self, mesh: Mesh, client: AdminClient) -> None:
        self.mesh = mesh
        self.client = client
        self.places = [
            Place(index, 'orders', 'v1', domain)
            for index, domain in enumerate('ab')
        ]

    async def put(
        self,
        place: Place,
        change: str,
        document: ConfigDocument | None = None,
        base: int | None = None,
    ) -> AdminReply:
        body = {
            'change': change,
            'document': msgspec.to_builtins(document or make_document()),
            'base': base,
        }
        url = f'{self.mesh.admin(place)}/v1/config'
        return await self.client.send('PUT', url, body, timeout=_HANG)

    async def get(self, place: Place, path: str) -> Mapping[str, Any]:
        url = f'{self.mesh.admin(place)}{path}'
        tree: Mapping[str, Any] = (await self.client.send('GET', url)).tree
        return tree

    async def wait_in_force(self, place: Place, revision: int) -> None:
        while (await self.get(place, '/v1/health')).get('revision') != revision:
            await anyio.sleep(0.05)

    async def accepted(self) -> list[tuple[str, int]]:
        """Return the audited accepted changes, oldest first."""
        rows = (await self.get(self.places[0], '/v1/audit'))['rows']
        return [
            (row['subject'], row['revision'])
            for row in reversed(rows)
            if (row['action'], row['outcome']) == ('apply', 'accepted')
        ]


@contextlib.asynccontextmanager
async def running_mesh(directory: Path) -> AsyncGenerator[ProcessMesh, None]:
    base = find_free_range(3 * PORTS_PER_PLACE, SystemRandom())
    async with contextlib.AsyncExitStack() as stack:
        stack.enter_context(anyio.fail_after(_HANG.total_seconds()))
        children = stack.enter_context(Children(directory))
        mesh = Mesh(children, directory, base, 'thistle-quill')
        running = ProcessMesh(mesh, AdminClient(OPERATOR_TOKEN))
        stack.push_async_callback(running.client.aclose)
        await _start(running)
        yield running


async def _start(running: ProcessMesh) -> None:
    mesh = running.mesh
    mesh.start_platform()
    for place in running.places:
        mesh.start_node(place)
    urls = [
        f'{mesh.platform}/counts',
        *(f'{mesh.admin(place)}/v1/health' for place in running.places),
    ]
    for url in urls:
        assert await wait_answering(running.client, url, _HANG)
