"""A node that finds peers and orders in the platform's store."""

import datetime as dt
import gc
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.fleet.beacons import NodeState
from bluebellslip._internal.fleet.local_server import Notice
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.models.servers import Heartbeat
from bluebellslip._internal.nodes.listeners import SWEEP_EVERY
from bluebellslip._internal.nodes.mesh_parts import (
    Control,
    Paths,
    Views,
    make_listeners,
    read_grace,
)
from bluebellslip._internal.nodes.surroundings import Adapter, Surroundings

logger = logging.getLogger(__name__)

# The platform asks every second whether a node is ready and takes it out
# after two misses: until then new requests keep coming.
LEAST_STAY: Final = dt.timedelta(seconds=2.6)
# Peers have heard of the leaving by then, also if one beacon was lost.
DOOR_STAY: Final = dt.timedelta(seconds=0.7)
# Kept free at the end of the time to stop, for the end of the process itself:
# a tenth of a second of work, on less than half of a core that is busy with
# the last answers. Work that is cut then had all but a sixth of the time.
STOP_MARGIN: Final = dt.timedelta(seconds=0.8)
# A node that has just started waits this long for peers to answer before it
# says that it is ready.
SETTLE: Final = dt.timedelta(seconds=1)
# How old the news of the own server may be when a server is chosen.
REFRESH_EVERY: Final = dt.timedelta(milliseconds=200)
_Background = Callable[[], Coroutine[Any, Any, None]]
_POLL_S: Final = 0.02
# Time for the last bytes to leave the instance before the process ends.
_LINGER_S: Final = 0.1
# Settings that take effect at the next start only.
_FIXED_SETTINGS: Final = (
    'node',
    'service',
    'failure_domain',
    'region',
    'server',
    'listen',
    'store',
    'heartbeat',
)


class MeshNode:
    """One process beside a backend server.

    Parameters
    ----------
    settings
        The node's settings.
    adapter
        The platform.
    surroundings
        Clock, random source and counters.
    read_settings
        Reads the settings anew.
    """

    def __init__(
        self,
        settings: MeshSettings,
        adapter: Adapter,
        surroundings: Surroundings,
        read_settings: Callable[[], MeshSettings],
    ) -> None:
        self._settings = settings
        self._read_settings = read_settings
        self._clock = surroundings.clock
        self._started = surroundings.clock.elapsed()
        self._leaving = False
        self._views = Views.from_settings(settings, surroundings)
        given = (settings, adapter, surroundings, self._views)
        self._paths = Paths.from_views(*given)
        self._control = Control.from_views(*given)
        self._listeners = make_listeners(
            settings, adapter, surroundings, self._paths, self
        )
        self._views.holder.on_change(self._apply_config)
        self._fill_source()
        self._register_gauges(surroundings.counters.gauge)

    @property
    def is_ready(self) -> bool:
        """Whether clients may send requests to this node."""
        if self._leaving or self._views.holder.table is None:
            return False
        if self._control.discovery.has_read_nodes and self._knows_servers:
            return True
        return self._clock.elapsed() - self._started > SETTLE

    def hear_server(self, beat: Heartbeat) -> Notice:
        """Take in a heartbeat of the server beside the node."""
        notice = self._views.server.apply_heartbeat(beat)
        self._follow_server()
        return notice

    def dismiss_server(self, server: str) -> Notice:
        """Take in the last message of the server beside the node."""
        notice = self._views.server.apply_departure(server)
        self._follow_server()
        return notice

    async def run(self) -> None:
        """Work until SIGTERM or SIGINT, then stop without cutting work."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as group:
                await self._open()
                for work in self._background:
                    group.start_soon(work)
                # A full collection of what the start left takes tens of
                # milliseconds, in which no request is served.
                gc.collect()
                gc.freeze()
                logger.info('node_started')
                while await anext(signals) == signal.SIGHUP:
                    self._reload()
                await self._stop()
                group.cancel_scope.cancel()
        logger.info('node_stopped')

    @property
    def _background(self) -> list[_Background]:
        control = self._control
        return [
            control.watcher.run,
            control.discovery.run,
            control.coordinator.run,
            self._views.beacon_protocol.run,
            self._paths.peer_config.run,
            self._sweep,
            self._refresh,
        ]

    @property
    def _knows_servers(self) -> bool:
        table = self._views.holder.table
        return table is not None and any(
            self._views.peer_table.endpoints(service)
            for service in table.config.services
        )

    @property
    def _is_busy(self) -> bool:
        running = self._paths.callers.in_flight.count
        running += self._paths.gateway.gate.in_use
        return bool(running or self._listeners.unsent)

    async def _open(self) -> None:
        await self._views.beacon_protocol.open(
            Address.from_text(self._settings.listen.beacons)
        )
        await self._listeners.open()

    def _reload(self) -> None:
        """Read the settings anew; faulty ones leave the old in force."""
        try:
            settings = self._read_settings()
        except BluebellError as error:
            logger.error(
                'settings_refused',
                extra={'kind': error.kind.value, 'reason': str(error)},
            )
            return
        fixed = [
            name
            for name in _FIXED_SETTINGS
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._paths.callers.apply(settings.bounds)
        self._paths.server_selector.apply(settings.crossing_cost)
        self._paths.body_transfers.set_link_rate(settings.link_mbps)
        logger.info('settings_reloaded', extra={'needs_restart': fixed})

    async def _stop(self) -> None:
        grace = read_grace(self._settings)
        last = self._clock.elapsed() + grace - STOP_MARGIN
        logger.info('node_leaving', extra={'grace_s': grace.total_seconds()})
        self._leaving = True
        self._views.source.state = NodeState.LEAVING
        self._views.beacon_protocol.request_broadcast()
        self._listeners.leave()
        await anyio.sleep(DOOR_STAY.total_seconds())
        self._paths.server_side.close()
        await anyio.sleep((LEAST_STAY - DOOR_STAY).total_seconds())
        # Where few nodes are ready, clients keep coming all the same; from
        # here on they are turned away, so that what was taken can end.
        self._listeners.finish()
        while self._is_busy and self._clock.elapsed() < last:
            await anyio.sleep(_POLL_S)
            self._listeners.finish()
        await anyio.sleep(_LINGER_S)
        self._views.beacon_protocol.close()

    def _apply_config(self, table: RoutingTable) -> None:
        self._listeners.apply(table.config.bounds)

    def _follow_server(self) -> None:
        self._paths.server_side.follow()
        self._views.beacon_protocol.request_broadcast()

    def _fill_source(self) -> None:
        source, side = self._views.source, self._paths.server_side
        source.read_revision = lambda: self._views.holder.revision
        source.hears_store = lambda: (
            self._views.store_health.last_call_succeeded
        )
        source.read_server = side.describe
        source.read_rollouts = lambda: self._views.rollout_tracker.make_beacons(
            side.version
        )

    def _register_gauges(
        self, gauge: Callable[[str, Callable[[], float]], None]
    ) -> None:
        gate = self._paths.gateway.gate
        gauge('config_revision', lambda: self._views.holder.revision)
        gauge('peers_alive', self._views.peer_table.count_alive)
        gauge('server_slots_in_use', lambda: gate.in_use)
        gauge('server_queue', lambda: gate.waiting)
        gauge('requests_in_flight', lambda: self._paths.callers.in_flight.count)
        gauge('ready', lambda: float(self.is_ready))
        gauge(
            'store_lost',
            lambda: float(self._views.store_health.last_call_failed),
        )

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(SWEEP_EVERY.total_seconds())
            self._listeners.sweep()

    async def _refresh(self) -> None:
        while True:
            await anyio.sleep(REFRESH_EVERY.total_seconds())
            self._paths.server_side.refresh()


async def run_mesh_node(
    settings: MeshSettings,
    adapter: Adapter,
    surroundings: Surroundings,
    read_settings: Callable[[], MeshSettings],
) -> None:
    """Run a node until it is asked to stop."""
    await MeshNode(settings, adapter, surroundings, read_settings).run()
