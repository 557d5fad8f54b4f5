"""A node process of a soak, and the server beside it."""

import asyncio
import contextlib
import dataclasses
import datetime as dt
import os
import signal
import subprocess
import sys
from collections.abc import AsyncGenerator
from pathlib import Path
from random import Random
from typing import Final

import anyio
import msgspec

from bench.soak_clock import STEPS_VARIABLE, choose_steps
from bench.soak_plan import GRACE, NodePlan, choose_link_mbps
from bench.soak_records import History, Stop
from bluebellslip._internal.models.identity import Address
from bluebellslip._internal.models.mesh_settings import Bounds
from bluebellslip_platform.entry import SETTINGS_VARIABLE
from lib.calls import Caller, RequestHandler
from lib.simulated_platform import PlatformNode, SimulatedStore

_HEARTBEAT_S: Final = 0.5
_POLL_INTERVAL_S: Final = 0.02
_FIRST_BORN: Final = 1_000_000
# Long enough to catch hangs only.
_START_TIMEOUT_S: Final = 60
_MEMORY_MB: Final = 200
_PEERS_METRIC: Final = 'bluebell_peers_alive '
_KILOBYTES_PER_MB: Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RunContext:
    """What the nodes of a run share.

    Parameters
    ----------
    seed
        Seed of the run.
    history
        Records stops and findings.
    directory
        Directory of settings files and logs.
    random_source
        Chooses settings.
    kill_after
        Time from SIGTERM to SIGKILL.
    bounds
        Bounds of the deployment.
    """

    seed: int
    history: History
    directory: Path
    random_source: Random
    kill_after: dt.timedelta = GRACE
    bounds: Bounds | None = None


class SoakNode:
    """A node in a process of its own; its server stays in this process.

    ``server_born`` is when the server says that it was started; another number,
    also a lower one, makes it another server. ``metrics`` is the address at
    which the node serves its metrics, ``platform_node`` its addresses and its
    server.

    Parameters
    ----------
    plan
        Name and server of the node.
    context
        What the nodes share.
    store
        The platform's store.
    handler
        Responds to the server's requests.
    """

    def __init__(
        self,
        plan: NodePlan,
        context: RunContext,
        store: SimulatedStore,
        handler: RequestHandler,
    ) -> None:
        self.name = plan.name
        self._context = context
        self.platform_node = PlatformNode(
            plan.name,
            plan.service,
            store,
            handler,
            domain=plan.domain,
            slots=plan.slots,
            bounds=context.bounds,
        )
        self._file = context.directory / f'{plan.name}.json'
        self._log_path = context.directory / f'{plan.name}.log'
        self._log_path.unlink(missing_ok=True)
        self.server_born = _FIRST_BORN
        self.metrics = str(self.platform_node.listen.metrics)
        # Of its own, so that it changes no other choice of a seed.
        self._clock_random = Random(f'clock-{context.seed}-{plan.name}')
        self._process: subprocess.Popen[bytes] | None = None
        self._ready = asyncio.Event()
        self._stopping = False
        self._was_killed = False
        self._starts = 0

    @property
    def address(self) -> Address:
        """The callers' address."""
        return Address.from_text(self.platform_node.listen.callers)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncGenerator['SoakNode', None]:
        """Run the server and the process; kill the process at the end."""
        async with (
            self.platform_node.server.serving(),
            anyio.create_task_group() as group,
        ):
            try:
                self.start()
                group.start_soon(self._send_heartbeats)
                yield self
            finally:
                self._kill()
                group.cancel_scope.cancel()

    async def wait_ready(self) -> None:
        """Wait until the node has been ready since its start."""
        with anyio.fail_after(_START_TIMEOUT_S):
            await self._ready.wait()

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL if the process outlives its grace."""
        await self.wait_ready()
        process = self._process
        if process is None or self._stopping:
            return
        self._stopping = True
        self._ready.clear()
        history = self._context.history
        peak_kb = _read_peak_kb(process.pid)
        if peak_kb > _MEMORY_MB * _KILOBYTES_PER_MB:
            history.report(self.name, f'took {peak_kb} KB of memory')
        stop = Stop(self.name, history.now)
        history.stops.append(stop)
        process.terminate()
        with anyio.move_on_after(self._context.kill_after.total_seconds()):
            while process.poll() is None:
                await anyio.sleep(_POLL_INTERVAL_S)
        if process.poll() is None:
            history.report(self.name, 'did not exit within its grace period')
        elif process.returncode and not self._was_killed:
            history.report(
                self.name, f'exited with {process.returncode} after SIGTERM'
            )
        self._kill()
        stop.exited = history.now

    async def restart(self, pause_s: float) -> None:
        """Stop the process and start another."""
        await self.stop()
        await anyio.sleep(pause_s)
        self.start()

    def crash(self) -> bool:
        """Kill the process; return whether it is to be started again.

        A process that is being stopped is started by what stops it.
        """
        is_stopping = self._stopping
        self._was_killed = True
        self._stopping = True
        self._ready.clear()
        self._kill()
        return not is_stopping

    async def reload(self) -> None:
        """Change the settings and send SIGHUP."""
        await self.wait_ready()
        if self._process is not None and not self._stopping:
            self._write_settings()
            self._process.send_signal(signal.SIGHUP)

    def start(self) -> None:
        """Start the process."""
        self._write_settings()
        self._stopping = False
        self._was_killed = False
        self._starts += 1
        with self._log_path.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'bench.soak_clock'],
                env=os.environ
                | {
                    SETTINGS_VARIABLE: str(self._file),
                    STEPS_VARIABLE: choose_steps(self._clock_random),
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def _write_settings(self) -> None:
        settings = msgspec.structs.replace(
            self.platform_node.settings,
            heartbeat=_HEARTBEAT_S,
            link_mbps=choose_link_mbps(self._context.random_source),
            memory_mb=_MEMORY_MB,
            first_start=not self._starts,
        )
        self._file.write_bytes(msgspec.json.encode(settings))

    def _kill(self) -> None:
        if self._process is not None:
            self._process.kill()
            self._process.wait()

    async def _send_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(_HEARTBEAT_S):
                    await _send_heartbeat(self)
                    await self._check_ready()
            self._check_running()
            await anyio.sleep(_HEARTBEAT_S if self._ready.is_set() else 0.1)

    async def _check_ready(self) -> None:
        status = await self.platform_node.get_ready_status()
        if status == 200 and not self._stopping:
            self._ready.set()

    def _check_running(self) -> None:
        process = self._process
        if self._stopping or process is None or process.poll() is None:
            return
        self._context.history.report(
            self.name, f'ended by itself with {process.returncode}'
        )
        self._ready.clear()
        self.start()


async def count_peers(node: SoakNode) -> int:
    """Return how many other nodes a node hears; 0 if it doesn't tell."""
    caller = await Caller.open(Address.from_text(node.metrics))
    response = await caller.call('/metrics')
    caller.close()
    return sum(
        int(float(line.removeprefix(_PEERS_METRIC)))
        for line in response.body.decode().splitlines()
        if line.startswith(_PEERS_METRIC)
    )


async def _send_heartbeat(node: SoakNode) -> None:
    if not node.platform_node.heartbeats_stopped:
        await node.platform_node.send_heartbeat(born=node.server_born)


def _read_peak_kb(process_id: int) -> int:
    """Return the most memory that a process has had; 0 if it has ended."""
    status = Path('/proc', str(process_id), 'status').read_text('utf-8')
    fields = dict(line.split(':', 1) for line in status.splitlines())
    return int(fields.get('VmHWM', '0').split()[0])
