"""The plug-in that connects a node to its platform."""

from typing import Self

import anyio
import httpcore
from anyio.abc import TaskStatus

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, Stage, plugins
from bluebellslip._internal.kernel.ports import ObjectStore, TableService
from bluebellslip._internal.platform.breaker import CircuitBreaker
from bluebellslip._internal.platform.client import HttpObjects, HttpTable
from bluebellslip._internal.platform.transport import Transport, build_pool
from bluebellslip._internal.utils.durations import parse_duration


@plugins.register('platform')
class PlatformPlugin(Plugin):
    """Provides ``TableService`` and ``ObjectStore``.

    Parameters
    ----------
    pool
        Connections to the platform; the plug-in closes them when it stops.
    """

    stage = Stage.PLATFORM

    def __init__(self, pool: httpcore.AsyncConnectionPool) -> None:
        self._pool = pool

    @classmethod
    def from_context(cls, context: Context) -> Self:
        """Build the clients from the node's settings."""
        settings = context.settings.platform
        pool = build_pool()
        table = build_transport(context, pool, 'table', settings.table)
        objects = build_transport(context, pool, 'objects', settings.objects)
        context.ports.provide(TableService, HttpTable(table))
        context.ports.provide(ObjectStore, HttpObjects(objects))
        return cls(pool)

    async def run(self, task_status: TaskStatus[None]) -> None:
        """Keep the connections open until cancelled."""
        async with self._pool:
            task_status.started()
            await anyio.sleep_forever()


def build_transport(
    context: Context,
    pool: httpcore.AsyncConnectionPool,
    name: str,
    base_url: str,
) -> Transport:
    """Build the transport to one service of the platform."""
    return Transport(
        base_url,
        parse_duration(context.settings.platform.timeout),
        pool,
        CircuitBreaker(name, context.clock, context.random),
        context.counters,
    )
