"""A soak of real node processes that are stopped and changed under load.

Run as ``PYTHONPATH=tests python -m bench.soak --seed N``. Store and servers
are those of the tests and run in this process. A seed fixes all choices; the
course of a run also depends on the machine.
"""

import argparse
import collections
import contextlib
import datetime as dt
import signal
import sys
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Final

import anyio

from bench.results import OUTPUT_DIRECTORY
from bench.soak_accounts import BOUNDS, add_accounts, check_keys
from bench.soak_checks import HistoryChecker, Rules
from bench.soak_costly import CostlyClient
from bench.soak_nodes import RunContext, SoakNode, count_peers
from bench.soak_notices import check_notices
from bench.soak_outages import Outage, check_departures
from bench.soak_plan import GRACE, Action, Event, SoakPlan, make_config
from bench.soak_records import Finding, History, KeyChange
from bench.soak_traffic import (
    PipeliningClient,
    RecordingServer,
    SlowClient,
    SoakClient,
)
from bluebellslip._internal.kernel.clock import SystemClock
from lib.simulated_platform import SimulatedStore

CLIENTS_PER_NODE: Final = 4
_POLL_INTERVAL_S: Final = 0.1
# Time for a node that has started again to hear of all others; the deployments
# allow 3 s for nodes to appear in the store.
_DISCOVERY_S: Final = 5.0


# Changes of a server's start from one life to the next, in milliseconds. They
# differ, so that no two lives name the same start.
_BORN_STEPS: Final = (-60_007, -2011, 1, 5003, 60_013)


class Soak:
    """One run.

    Parameters
    ----------
    plan
        The choices of the run.
    directory
        Directory of settings files and logs.
    kill_after
        Time from SIGTERM to SIGKILL.
    """

    def __init__(
        self,
        plan: SoakPlan,
        directory: Path,
        kill_after: dt.timedelta = GRACE,
    ) -> None:
        self.history = History(SystemClock())
        self._plan = plan
        self._random = Random(f'run-{plan.seed}')
        self._context = RunContext(
            plan.seed,
            self.history,
            directory,
            self._random,
            kill_after,
            BOUNDS if plan.has_accounts else None,
        )
        # Of its own, so that it changes no other choice of a seed.
        self._account_random = Random(f'accounts-run-{plan.seed}')
        # Of its own, so that it changes no other choice of a seed.
        self._born_random = Random(f'born-{plan.seed}')
        self._outage_random = Random(f'outage-{plan.seed}')
        self._store = SimulatedStore()
        self._version = 0
        self._servers = [
            RecordingServer(node.name, self.history) for node in plan.nodes
        ]
        self._nodes = [
            SoakNode(node, self._context, self._store, server.handle)
            for node, server in zip(plan.nodes, self._servers, strict=True)
        ]

    async def run(self) -> None:
        """Run nodes, callers and faults, then stop everything."""
        self._context.directory.mkdir(parents=True, exist_ok=True)
        self._configure()
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._store.serving())
            for node in self._nodes:
                await stack.enter_async_context(node.running())
            for starting in self._nodes:
                await starting.wait_ready()
            await self._run_traffic()
            await self._check_peers()
            async with anyio.create_task_group() as group:
                for stopping in self._nodes:
                    group.start_soon(stopping.stop)
            await self._wait_for_servers()
            # Ends the store's reads that still wait for a change.
            self._configure()
            await anyio.sleep(_POLL_INTERVAL_S)

    def summarize(self, findings: Sequence[Finding]) -> str:
        """Return a line with the counts of the run."""
        ends = collections.Counter(
            request.outcome for request in self.history.requests
        )
        counts = ', '.join(f'{ends[end]} {end}' for end in sorted(ends))
        return (
            f'seed {self._plan.seed}: {ends.total()} requests: {counts}; '
            f'{self._plan.costly_clients} costly clients a node; '
            f'{"with" if self._plan.has_accounts else "without"} accounts; '
            f'{len(self.history.stops)} stops; '
            f'{len(self.history.notices)} notices; '
            f'{len(self.history.departures)} departures in outages; '
            f'{len(findings)} findings'
        )

    async def _run_traffic(self) -> None:
        clients = [
            SoakClient(
                f'{self._plan.seed}-{node.name}-{number}',
                node.name,
                node.address,
                self.history,
                has_account=self._plan.has_accounts,
            )
            for node in self._nodes
            for number in range(CLIENTS_PER_NODE)
        ]
        clients += [
            PipeliningClient(
                f'{self._plan.seed}-{node.name}-pipelining',
                node.name,
                node.address,
                self.history,
                has_account=self._plan.has_accounts,
            )
            for node in self._nodes
        ]
        clients += [
            SlowClient(
                f'{self._plan.seed}-{node.name}-slow',
                node.name,
                node.address,
                self.history,
                has_account=self._plan.has_accounts,
            )
            for node in self._nodes
        ]
        costly_clients = [
            CostlyClient(
                f'{self._plan.seed}-{node.name}-{number}', node.address
            )
            for node in self._nodes
            for number in range(self._plan.costly_clients)
        ]
        everyone: list[SoakClient | CostlyClient] = [*clients, *costly_clients]
        async with anyio.create_task_group() as group:
            for client in everyone:
                group.start_soon(client.run)
            await self._run_events()
            for stopping in everyone:
                stopping.stop()

    async def _check_peers(self) -> None:
        """Report nodes that don't hear all others, whatever their clocks."""
        for node in self._nodes:
            await node.wait_ready()
            heard = 0
            with anyio.move_on_after(_DISCOVERY_S):
                while heard != len(self._nodes) - 1:
                    heard = await count_peers(node)
                    await anyio.sleep(_POLL_INTERVAL_S)
            if heard != len(self._nodes) - 1:
                self.history.report(
                    node.name,
                    f'hears {heard} of {len(self._nodes) - 1} nodes',
                )

    async def _wait_for_servers(self) -> None:
        """Wait until no server is at work."""
        while any(run.ended > self.history.now for run in self.history.runs):
            await anyio.sleep(_POLL_INTERVAL_S)

    async def _run_events(self) -> None:
        begun = anyio.current_time()
        async with anyio.create_task_group() as group:
            for event in self._plan.events:
                await anyio.sleep_until(begun + event.at_s)
                group.start_soon(self._apply, event)
            await anyio.sleep_until(begun + self._plan.seconds)

    async def _apply(self, event: Event) -> None:
        node = self._nodes[event.node]
        if event.action is Action.STOP:
            await node.restart(event.pause_s)
        elif event.action is Action.RELOAD:
            await node.reload()
        elif event.action is Action.OUTAGE:
            await self._lose_all(event)
        elif event.action in {Action.LIMIT, Action.LEAVE}:
            await self._give_notice(event)
        else:
            self._configure()

    async def _lose_all(self, event: Event) -> None:
        node = self._nodes[event.node]
        born = node.server_born + self._born_random.choice(_BORN_STEPS)
        outage = Outage(
            self._nodes, self._store, self.history, self._outage_random
        )
        server = self._servers[event.node]
        await outage.run(node, server, event.pause_s, born)

    async def _give_notice(self, event: Event) -> None:
        """Let a server name a limit, or say that it leaves and be replaced.

        Its heartbeats say that it is ready all the while.
        """
        server = self._servers[event.node]
        is_leaving = event.action is Action.LEAVE
        notice = server.begin_notice(None if is_leaving else event.rate)
        await anyio.sleep(event.pause_s)
        server.end_notice(notice)
        if is_leaving:
            self._nodes[event.node].server_born += self._born_random.choice(
                _BORN_STEPS
            )

    def _configure(self) -> None:
        self._version += self._random.randint(1, 5)
        config = make_config(self._random, self._version)
        has_key = self._plan.has_accounts and add_accounts(
            config, self._account_random
        )
        self._store.put('op', 'config', config)
        self.history.key_changes.append(KeyChange(self.history.now, has_key))


def run_seed(seed: int, node_count: int, seconds: float, logs: Path) -> int:
    """Run one seed, print its findings and return their number."""
    plan = SoakPlan.from_seed(seed, node_count, seconds)
    soak = Soak(plan, logs / f'seed-{seed}')
    anyio.run(soak.run)
    findings = HistoryChecker(soak.history, Rules()).check()
    findings += check_notices(soak.history)
    findings += check_departures(soak.history)
    findings += check_keys(soak.history)
    for finding in findings:
        print(finding.format(seed))
    print(soak.summarize(findings), flush=True)
    return len(findings)


def parse_seeds(text: str) -> range:
    """Return the seeds of ``N`` or ``FIRST-LAST``."""
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def main() -> None:
    """Run the seeds of the command line; exit with 1 after any finding."""
    parser = argparse.ArgumentParser(prog='python -m bench.soak')
    parser.add_argument(
        '--seed',
        '--seeds',
        type=parse_seeds,
        required=True,
        dest='seeds',
        metavar='N or FIRST-LAST',
    )
    parser.add_argument('--nodes', type=int, choices=range(4, 65), default=6)
    parser.add_argument('--seconds', type=float, default=30)
    parser.add_argument('--logs', type=Path, default=OUTPUT_DIRECTORY / 'soak')
    options = parser.parse_args()
    # The processes are ended on SIGTERM too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    found = sum(
        run_seed(seed, options.nodes, options.seconds, options.logs)
        for seed in options.seeds
    )
    sys.exit(int(found > 0))


if __name__ == '__main__':
    main()
