"""The node: starts the plug-ins in order and stops them gracefully."""

import datetime as dt
import gc
import logging
import signal
from typing import Final

import anyio
from anyio.abc import TaskGroup

from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.plugin import Plugin, plugins
from bluebellslip._internal.utils.durations import parse_duration

logger = logging.getLogger(__name__)

# Largest part of the drain timeout that is kept for the ends of plug-ins.
_MAX_RESERVED_SHARE: Final = 0.5
_MIN_TIME_S: Final = 1e-6


class Node:
    """The process that runs beside a backend server.

    Parameters
    ----------
    context
        State and interfaces that the plug-ins share.
    plugin_instances
        The plug-ins in the order of their start.
    drain_timeout
        Longest time to wait for work in flight, and to end what outlasts it.
    """

    def __init__(
        self,
        context: Context,
        plugin_instances: tuple[Plugin, ...],
        drain_timeout: dt.timedelta,
    ) -> None:
        self._context = context
        self._plugins = plugin_instances
        self._drain_timeout = drain_timeout

    @classmethod
    def from_context(cls, context: Context) -> 'Node':
        """Build a node with all registered plug-ins, ordered by stage."""
        plugin_types = sorted(
            (plugins.find(name) for name in plugins),
            key=lambda plugin_type: plugin_type.stage,
        )
        return cls(
            context,
            tuple(
                plugin_type.from_context(context)
                for plugin_type in plugin_types
            ),
            parse_duration(context.settings.drain),
        )

    @property
    def _total_end_time(self) -> float:
        return sum(each.end_time.total_seconds() for each in self._plugins)

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain work in flight and stop."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with anyio.create_task_group() as group:
                await self._start(group)
                await anext(signals)
                logger.info('draining', extra={'node': self._context.node})
                await self._drain()
                group.cancel_scope.cancel()
        logger.info('stopped', extra={'node': self._context.node})

    async def _start(self, group: TaskGroup) -> None:
        for plugin in self._plugins:
            await group.start(plugin.run)
        # A full garbage collection of the objects created at start-up takes
        # tens of milliseconds, during which no call is served. Frozen objects
        # are left out of later collections.
        gc.collect()
        gc.freeze()
        logger.info('started', extra={'node': self._context.node})

    async def _drain(self) -> None:
        for plugin in self._plugins:
            plugin.leave()
        deadline = anyio.current_time() + self._drain_timeout.total_seconds()
        scale = self._find_reserve_scale()
        reserved = scale * self._total_end_time
        for leaving in reversed(self._plugins):
            with anyio.CancelScope(deadline=deadline - reserved):
                await leaving.drain()
            reserved -= scale * leaving.end_time.total_seconds()
            with anyio.CancelScope(deadline=deadline - reserved):
                await leaving.end()

    def _find_reserve_scale(self) -> float:
        """Return by what to multiply end times, so that drains get a share."""
        limit = self._drain_timeout.total_seconds() * _MAX_RESERVED_SHARE
        return limit / max(limit, self._total_end_time, _MIN_TIME_S)
