"""A calling node and nodes beside servers, in one process."""

import contextlib
from collections.abc import AsyncGenerator

from bluebellslip._internal.kernel.clock import Clock
from lib.calls import FakeServer, MeshNode


@contextlib.asynccontextmanager
async def mesh(
    *servers: FakeServer, slots: int = 4, clock: Clock | None = None
) -> AsyncGenerator[tuple[MeshNode, list[MeshNode]], None]:
    """Run a calling node, and a node beside each server."""
    async with contextlib.AsyncExitStack() as stack:
        front = MeshNode('front', clock=clock)
        backs = []
        for number, server in enumerate(servers):
            await stack.enter_async_context(server.serving())
            back = MeshNode(f'back{number}')
            back.host('storefront', server.address, slots=slots)
            backs.append(await stack.enter_async_context(back.running()))
        front.know(*backs)
        await stack.enter_async_context(front.running())
        yield front, backs
