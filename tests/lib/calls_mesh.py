"""The calls plug-ins of a caller's node and of nodes beside servers."""

import contextlib
from collections.abc import AsyncGenerator

from bluebellslip._internal.kernel.clock import Clock
from lib.calls import CallsNode, FakeServer


@contextlib.asynccontextmanager
async def run_calls_mesh(
    *servers: FakeServer, slots: int = 4, clock: Clock | None = None
) -> AsyncGenerator[tuple[CallsNode, list[CallsNode]], None]:
    """Run a caller's node, and one node beside each server."""
    async with contextlib.AsyncExitStack() as stack:
        caller_node = CallsNode('front', clock=clock)
        server_nodes = []
        for number, server in enumerate(servers):
            await stack.enter_async_context(server.serving())
            server_node = CallsNode(f'back{number}')
            server_node.set_backend('storefront', server.address, slots=slots)
            server_nodes.append(
                await stack.enter_async_context(server_node.running())
            )
        caller_node.add_members(*server_nodes)
        await stack.enter_async_context(caller_node.running())
        yield caller_node, server_nodes
