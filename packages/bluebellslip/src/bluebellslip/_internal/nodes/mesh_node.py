"""A node that reads peers and the desired state from the platform's store."""

import asyncio
import dataclasses
import datetime as dt
import gc
import logging
import signal
from collections.abc import Callable, Coroutine
from typing import Any, Final

import anyio

from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.fleet.beacons import NodeState
from bluebellslip._internal.fleet.local_server import MessageResult
from bluebellslip._internal.mesh.table import RoutingTable
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.mesh_settings import MeshSettings
from bluebellslip._internal.models.servers import Heartbeat
from bluebellslip._internal.nodes.control_plane import ControlPlane
from bluebellslip._internal.nodes.environment import Adapter, NodeEnvironment
from bluebellslip._internal.nodes.listener_assembly import make_listeners
from bluebellslip._internal.nodes.listeners import SWEEP_INTERVAL
from bluebellslip._internal.nodes.mesh_components import (
    DataPlane,
    MeshState,
    get_grace_period,
)
from bluebellslip._internal.nodes.stop_schedule import StopSchedule
from bluebellslip._internal.telemetry.clock_steps import ClockStepMonitor
from bluebellslip._internal.utils.containment import keep_running

logger = logging.getLogger(__name__)

# Time after the start at which a node that has a configuration reports that it
# is ready even if it has not learned of peers and servers.
MAX_STARTUP_WAIT: Final = dt.timedelta(seconds=1)
# Interval between updates of the local server's endpoint, and so the maximum
# age of its load when a server is selected.
REFRESH_INTERVAL: Final = dt.timedelta(milliseconds=200)
# Interval between withdrawals of requests that can't end before the node stops.
WITHDRAWAL_INTERVAL: Final = dt.timedelta(milliseconds=100)
_BackgroundTask = Callable[[], Coroutine[Any, Any, None]]
_POLL_INTERVAL_S: Final = 0.02
# Settings that take effect only after a restart.
_RESTART_ONLY_SETTINGS: Final = (
    'node',
    'service',
    'failure_domain',
    'region',
    'server',
    'listen',
    'store',
    'heartbeat',
    'memory_mb',
    'max_descriptors',
)


@dataclasses.dataclass(frozen=True, slots=True)
class UnfinishedWork:
    """What a node leaves undone when it stops.

    Parameters
    ----------
    callers
        Requests of callers without a complete response.
    peers
        Requests of other nodes without a complete response.
    ignored
        Requests that arrived on a connection that was being closed.
    closed_idle
        Connections of callers closed while no request was in progress.
    unsent_bytes
        Bytes of responses that have not arrived yet.
    """

    callers: int = 0
    peers: int = 0
    ignored: int = 0
    closed_idle: int = 0
    unsent_bytes: int = 0


class MeshNode:
    """The process that runs beside one backend server.

    Parameters
    ----------
    settings
        The node's settings.
    adapter
        Access to the platform.
    environment
        Clock, random source and counters.
    read_settings
        Reads the settings file again, on SIGHUP.
    """

    def __init__(
        self,
        settings: MeshSettings,
        adapter: Adapter,
        environment: NodeEnvironment,
        read_settings: Callable[[], MeshSettings],
    ) -> None:
        self._settings = settings
        self._read_settings = read_settings
        self._clock = environment.clock
        self._started = environment.clock.elapsed()
        self._clock_steps = ClockStepMonitor(
            environment.clock, environment.counters
        )
        self._draining = False
        self._remainder = UnfinishedWork()
        self._state = MeshState.from_settings(settings, environment)
        components = (settings, adapter, environment, self._state)
        self._data_plane = DataPlane.from_state(*components)
        self._control_plane = ControlPlane.from_state(*components)
        self._listeners = make_listeners(
            settings, adapter, environment, self._data_plane, self
        )
        self._state.holder.on_change(self._apply_config)
        self._data_plane.gateway.on_notice(self._apply_server_change)
        self._data_plane.life_checker.on_change(self._apply_server_change)
        self._state.peer_table.departures.connect(
            NodeId(settings.node),
            self._state.server,
            self._apply_server_change,
        )
        self._connect_beacon_source()
        self._register_gauges(environment.counters.gauge)

    @property
    def is_ready(self) -> bool:
        """Whether clients may send requests to this node."""
        if self._draining or self._state.holder.table is None:
            return False
        if self._state.freshness.is_overdue:
            return False
        if self._control_plane.discovery.has_read_nodes and self._knows_servers:
            return True
        return self._clock.elapsed() - self._started > MAX_STARTUP_WAIT

    def apply_heartbeat(self, heartbeat: Heartbeat) -> MessageResult:
        """Apply a heartbeat of the local server; return how it was handled."""
        result = self._state.server.apply_heartbeat(heartbeat)
        self._apply_server_change()
        return result

    def apply_departure(self, server: str) -> MessageResult:
        """Apply the announcement that the local server is gone.

        Returns
        -------
        MessageResult
            How the announcement was handled.
        """
        result = self._state.server.apply_departure(server)
        self._apply_server_change()
        return result

    async def announce_server(self) -> None:
        """Tell the other nodes of the latest change of the local server.

        The node is bound by what it has acknowledged, also if it is killed, so
        the beacon is sent first.
        """
        # The task that sends beacons runs in this turn of the loop.
        await asyncio.sleep(0)
        # Peers may be killed together with this node, so the store is told too.
        await self._control_plane.discovery.store_departures()

    async def run(self) -> None:
        """Run until SIGTERM or SIGINT, then drain and stop.

        SIGHUP reloads the settings.
        """
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as group:
                await self._open()
                for name, task in self._background_tasks.items():
                    group.start_soon(keep_running, name, task)
                # A later full collection that includes the objects created at
                # the start would block all requests for tens of milliseconds.
                gc.collect()
                gc.freeze()
                logger.info('node_started')
                while await anext(signals) == signal.SIGHUP:
                    self._reload()
                await self._stop()
                group.cancel_scope.cancel()
        logger.info('node_stopped', extra=dataclasses.asdict(self._remainder))

    @property
    def _background_tasks(self) -> dict[str, _BackgroundTask]:
        control_plane = self._control_plane
        return {
            'watch the store': control_plane.watcher.run,
            'discover nodes': control_plane.discovery.run,
            'coordinate roll-outs': control_plane.coordinator.run,
            'send beacons': self._state.beacon_protocol.run,
            'share quotas': self._state.quotas.run,
            'probe silent nodes': self._state.silence_prober.run,
            'keep the lease for keys': self._state.key_lease.renewal.run,
            'fetch configurations': self._data_plane.peer_config.run,
            'check the local server': (
                self._data_plane.gateway.check_periodically
            ),
            'confirm the local server': self._data_plane.life_checker.run,
            'close idle connections': self._close_idle_periodically,
            'refresh the local server': self._refresh_periodically,
        }

    @property
    def _knows_servers(self) -> bool:
        table = self._state.holder.table
        return table is not None and any(
            self._state.peer_table.endpoints(service)
            for service in table.config.services
        )

    @property
    def _is_busy(self) -> bool:
        running = self._data_plane.callers.in_flight.count
        running += self._data_plane.peers.in_flight.count
        return bool(running or self._listeners.unsent_bytes)

    async def _open(self) -> None:
        await self._state.beacon_protocol.open(
            Address.from_text(self._settings.listen.beacons)
        )
        await self._listeners.open()

    def _reload(self) -> None:
        """Reload the settings; keep the old ones if the file is invalid."""
        try:
            settings = self._read_settings()
        except BluebellError as error:
            logger.error(
                'settings_refused',
                extra={'kind': error.kind.value, 'reason': str(error)},
            )
            return
        needs_restart = [
            name
            for name in _RESTART_ONLY_SETTINGS
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._data_plane.callers.apply(settings.bounds)
        self._data_plane.server_selector.apply(settings.crossing_cost)
        self._data_plane.body_transfers.set_link_rate(settings.link_mbps)
        self._data_plane.body_pacer.set_link_rate(settings.link_mbps)
        logger.info('settings_reloaded', extra={'needs_restart': needs_restart})

    async def _stop(self) -> None:
        started = self._clock.elapsed()
        grace_period = get_grace_period(self._settings)
        schedule = StopSchedule.from_grace_period(grace_period)
        logger.info(
            'node_leaving', extra={'grace_s': grace_period.total_seconds()}
        )
        self._draining = True
        self._state.beacon_source.state = NodeState.LEAVING
        self._state.beacon_protocol.request_broadcast()
        self._data_plane.callers.set_cutoff(started + schedule.cutoff)
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._withdraw_attempts, started + schedule.withdrawal
            )
            await self._drain(started, schedule)
            group.cancel_scope.cancel()
        await anyio.sleep(schedule.linger.total_seconds())
        self._remainder = self._count_unfinished()
        self._state.beacon_protocol.close()

    async def _drain(
        self, started: dt.timedelta, schedule: StopSchedule
    ) -> None:
        """Refuse new work step by step, and wait for the rest."""
        await self._sleep_until(started + schedule.peers_refused)
        self._data_plane.server_publisher.withdraw()
        await self._sleep_until(started + schedule.connections_closed)
        self._listeners.start_draining()
        await self._sleep_until(started + schedule.callers_refused)
        # If few nodes are ready, clients keep sending to this one. From here
        # on they are refused, so that accepted requests can finish.
        self._listeners.shut_down()
        await anyio.sleep(_POLL_INTERVAL_S)
        self._listeners.shut_down()
        while self._is_busy and self._clock.elapsed() < started + schedule.end:
            await anyio.sleep(_POLL_INTERVAL_S)
            self._listeners.shut_down()

    async def _withdraw_attempts(self, start: dt.timedelta) -> None:
        """Withdraw the waiting attempts, those that take long before others."""
        open_attempts = self._data_plane.open_attempts
        async with anyio.create_task_group() as group:
            now = self._clock.elapsed()
            while now < start:
                group.start_soon(open_attempts.withdraw_late, now)
                await self._sleep_until(min(start, now + WITHDRAWAL_INTERVAL))
                now = self._clock.elapsed()
            await open_attempts.withdraw()

    async def _sleep_until(self, time: dt.timedelta) -> None:
        time_left = time - self._clock.elapsed()
        await anyio.sleep(max(0, time_left.total_seconds()))

    def _count_unfinished(self) -> UnfinishedWork:
        return UnfinishedWork(
            callers=self._data_plane.callers.in_flight.count,
            peers=self._data_plane.peers.in_flight.count,
            ignored=self._listeners.ignored_requests,
            closed_idle=self._listeners.closed_idle,
            unsent_bytes=self._listeners.unsent_bytes,
        )

    def _apply_config(self, table: RoutingTable) -> None:
        self._listeners.apply_bounds(table.config.bounds)

    def _apply_server_change(self) -> None:
        self._data_plane.server_publisher.apply_server_change()
        self._state.beacon_protocol.request_broadcast()

    def _connect_beacon_source(self) -> None:
        beacon_source, publisher = (
            self._state.beacon_source,
            self._data_plane.server_publisher,
        )
        beacon_source.read_revision = lambda: self._state.holder.revision
        beacon_source.read_revision_age = lambda: self._state.holder.age
        beacon_source.can_reach_store = lambda: (
            self._state.store_health.last_request_succeeded
        )
        beacon_source.read_server = publisher.make_beacon
        beacon_source.read_rollouts = lambda: (
            self._state.rollout_tracker.make_beacons(publisher.version)
        )
        beacon_source.read_evacuations = self._state.evacuations.make_reports
        beacon_source.read_retired_versions = (
            self._state.rollout_tracker.retired.make_reports
        )

    def _register_gauges(
        self, gauge: Callable[[str, Callable[[], float]], None]
    ) -> None:
        gauge('config_revision', lambda: self._state.holder.revision)
        gauge(
            'config_lag_seconds',
            lambda: self._state.read_config_lag().total_seconds(),
        )
        gauge('fatal_requests', lambda: self._state.fatal_requests.count)
        evacuations = self._state.evacuations
        gauge('evacuated_domains', lambda: len(evacuations.active))
        gauge('quota_pledges', lambda: self._state.quotas.pledge_count)
        gauge('quota_accounts', lambda: self._state.quotas.active_count)
        gauge('peers_alive', self._state.peer_table.count_alive)
        gauge(
            'requests_in_flight',
            lambda: self._data_plane.callers.in_flight.count,
        )
        gauge('ready', lambda: float(self.is_ready))
        gauge(
            'store_lost',
            lambda: float(self._state.store_health.last_request_failed),
        )
        gauge('config_problems', lambda: self._state.holder.problems)
        self._register_server_gauges(gauge)

    def _register_server_gauges(
        self, gauge: Callable[[str, Callable[[], float]], None]
    ) -> None:
        gateway = self._data_plane.gateway
        gate = gateway.gate
        gauge('server_slots_in_use', lambda: gate.in_use)
        gauge('server_slots_occupied', lambda: gate.occupied)
        gauge('server_calls_running', lambda: gate.calls_running)
        gauge('server_accounts', lambda: gate.accounts)
        gauge('server_queue', lambda: gate.waiting)
        gauge('server_rate_limit', lambda: gate.rate or 0)
        gauge('server_cold', lambda: float(gateway.is_cold))

    async def _close_idle_periodically(self) -> None:
        while True:
            await anyio.sleep(SWEEP_INTERVAL.total_seconds())
            self._listeners.close_idle()
            self._clock_steps.check()

    async def _refresh_periodically(self) -> None:
        while True:
            await anyio.sleep(REFRESH_INTERVAL.total_seconds())
            self._data_plane.server_publisher.refresh()


async def run_mesh_node(
    settings: MeshSettings,
    adapter: Adapter,
    environment: NodeEnvironment,
    read_settings: Callable[[], MeshSettings],
) -> None:
    """Run a node until a signal stops it."""
    await MeshNode(settings, adapter, environment, read_settings).run()
