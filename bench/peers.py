"""Convergence time and resource use of real node processes on loopback.

Run as ``python -m bench.peers [--sizes 10,20,40]``. For each mesh size,
changes are submitted to random nodes, half of the nodes are killed and
restarted together, and costs are measured without and with changes. As a
baseline, one poller for each node then reads the head from the same platform.
"""

import argparse
import datetime as dt
import json
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random
from typing import Any, Final

import anyio
import msgspec

from bench.peer_baseline import HeadPollers
from bench.peer_usage import Usage, read_usage
from bench.results import ResultRow, fit_line, print_rows, write_results
from bench.snapshot import build_record
from bluebellslip._internal.models.config import ConfigDocument
from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.child_processes import ChildProcesses
from bluebellslip_lab.mesh import (
    OPERATOR_TOKEN,
    Instance,
    Mesh,
    wait_responding,
)

_NODE_COUNTS: Final = (10, 20, 40, 54)
_BASE_PORT: Final = 21000
_FAILURE_DOMAIN_COUNT: Final = 3
_SERVICE_COUNT: Final = 270
_IDLE_DURATION_S: Final = 12.0
_CHANGE_COUNT: Final = 20
_BASELINE_CHANGE_COUNT: Final = 6
_CHANGE_INTERVAL_S: Final = 0.7
_READY_TIMEOUT: Final = dt.timedelta(seconds=60)
_SETTLE_S: Final = 4.0
_SETTLE_S_PER_NODE: Final = 0.8  # until member records have spread
_APPLIED_MESSAGE: Final = 'configuration applied'
_MS_PER_S: Final = 1000


class Fleet:
    """The nodes of one run.

    Parameters
    ----------
    mesh
        Starts the processes and knows their addresses.
    client
        Sends requests to the administration API of the nodes.
    count
        Number of nodes.
    """

    def __init__(self, mesh: Mesh, client: AdminClient, count: int) -> None:
        self.mesh = mesh
        self.client = client
        self.instances = [
            Instance(
                index=index,
                service=f'service-{index % 5}',
                version='v1',
                failure_domain=f'domain-{index % _FAILURE_DOMAIN_COUNT}',
            )
            for index in range(count)
        ]
        self.revision = 0
        self._random = Random(count)

    async def start(self) -> None:
        """Start the platform and all nodes; wait until every node knows all."""
        self.mesh.start_platform()
        await wait_responding(
            self.client, f'{self.mesh.platform_url}/counts', _READY_TIMEOUT
        )
        for instance in self.instances:
            self.mesh.start_node(instance)
        for started in self.instances:
            await wait_responding(
                self.client, self.mesh.admin_url(started), _READY_TIMEOUT
            )
        await self.wait_all_known()

    async def wait_all_known(self) -> None:
        """Wait until every node knows all others."""
        with anyio.fail_after(_READY_TIMEOUT.total_seconds()):
            for instance in self.instances:
                while await self._count_members(instance) < len(self.instances):
                    await anyio.sleep(0.2)

    async def submit_change(self, number: int) -> None:
        """Ask a random node to change the path of one route."""
        instance = self._random.choice(self.instances)
        body = {
            'change': f'bench-change-{len(self.instances)}-{number}',
            'document': msgspec.to_builtins(build_document(number)),
        }
        url = f'{self.mesh.admin_url(instance)}/v1/config'
        response = await self.client.send('PUT', url, body)
        if response.status != 200:
            raise RuntimeError(f'{response.status} {response.body!r}')
        self.revision = response.json_body['revision']

    def pick_half(self) -> list[Instance]:
        """Return a random half of the nodes."""
        return self._random.sample(self.instances, len(self.instances) // 2)

    async def read_sent_bytes(self) -> float:
        """Return the total bytes of control traffic that all nodes sent."""
        total: float = 0
        for instance in self.instances:
            url = f'{self.mesh.admin_url(instance)}/v1/metrics'
            response = await self.client.send('GET', url)
            total += sum_metric(response.json_body, 'peer_bytes_sent')
        return total

    def read_usages(self) -> list[Usage]:
        """Return processor time and memory of every node."""
        return [
            read_usage(self.mesh.processes.get_pid(instance.node_process))
            for instance in self.instances
        ]

    def read_applied(self) -> dict[int, dict[str, float]]:
        """Return when revisions were applied, by revision and then by node.

        The times are Unix times in seconds.
        """
        applied: dict[int, dict[str, float]] = {}
        for instance in self.instances:
            for line in self.mesh.processes.read_log(
                instance.node_process
            ).splitlines():
                if _APPLIED_MESSAGE in line:
                    log_event = json.loads(line)
                    applied_at = dt.datetime.fromisoformat(log_event['time'])
                    by_node = applied.setdefault(log_event['revision'], {})
                    by_node[instance.node_process] = applied_at.timestamp()
        return applied

    async def _count_members(self, instance: Instance) -> int:
        url = f'{self.mesh.admin_url(instance)}/v1/nodes'
        response = await self.client.send('GET', url)
        nodes: list[dict[str, Any]] = response.json_body.get('nodes', [])
        return sum(1 for node in nodes if node['status'] == 'alive')


def build_document(number: int) -> ConfigDocument:
    """Return a large document with a number in the path of one route."""
    document = build_record(_SERVICE_COUNT).document
    changed = msgspec.structs.replace(
        document.routes[0], path=f'/v1/things-{number}'
    )
    return msgspec.structs.replace(
        document, routes=(changed, *document.routes[1:])
    )


def sum_metric(metrics_data: dict[str, Any], name: str) -> float:
    """Return the sum of a counter over all its labels."""
    metrics = [
        metric
        for resource in metrics_data.get('resource_metrics', ())
        for metric in resource['scope_metrics'][0]['metrics']
    ]
    points = [
        point['value']
        for metric in metrics
        if metric['name'] == name
        for point in metric['data']['data_points']
    ]
    return float(sum(points))


def compute_delay_quantiles(delays: Sequence[float], prefix: str) -> ResultRow:
    """Return the median, 99th percentile and maximum in milliseconds.

    The delays are in seconds.
    """
    ordered = sorted(delays)
    last = len(ordered) - 1
    return {
        f'{prefix}_p50_ms': statistics.median(ordered) * _MS_PER_S,
        f'{prefix}_p99_ms': ordered[round(last * 0.99)] * _MS_PER_S,
        f'{prefix}_max_ms': ordered[-1] * _MS_PER_S,
    }


async def measure_idle(fleet: Fleet) -> ResultRow:
    """Measure the cost of the nodes while nothing changes."""
    await anyio.sleep(_SETTLE_S + _SETTLE_S_PER_NODE * len(fleet.instances))
    start = time.monotonic()
    counts_before = await fleet.client.read_request_counts(
        fleet.mesh.platform_url
    )
    sent_before = await fleet.read_sent_bytes()
    before = fleet.read_usages()
    await anyio.sleep(_IDLE_DURATION_S)
    after = fleet.read_usages()
    seconds = time.monotonic() - start
    sent_after = await fleet.read_sent_bytes()
    counts_after = await fleet.client.read_request_counts(
        fleet.mesh.platform_url
    )
    nodes = len(fleet.instances)
    cpu = sum(
        late.cpu_seconds - early.cpu_seconds
        for late, early in zip(after, before, strict=True)
    )
    return {
        'sent_bytes_s': (sent_after - sent_before) / seconds / nodes,
        'cpu_percent': cpu / _IDLE_DURATION_S / nodes * 100,
        'private_mb': max(usage.private_mb for usage in after),
        'source_reads_s': (counts_after.reads - counts_before.reads) / seconds,
    }


async def measure_changes(fleet: Fleet) -> ResultRow:
    """Measure the time from the acceptance of a change until it is applied.

    A revision counts as accepted when the first node applies it. ``skipped``
    counts the pairs of a revision and a node that did not apply the revision.
    """
    first = fleet.revision + 1
    sent_before = await fleet.read_sent_bytes()
    for number in range(_CHANGE_COUNT):
        await fleet.submit_change(number)
        await anyio.sleep(_CHANGE_INTERVAL_S)
    await anyio.sleep(_SETTLE_S)
    sent_after = await fleet.read_sent_bytes()
    applied = fleet.read_applied()
    delays: list[float] = []
    missing = 0
    for revision in range(first, fleet.revision + 1):
        times = applied.get(revision, {})
        missing += len(fleet.instances) - len(times)
        accepted = min(times.values())
        delays.extend(applied_at - accepted for applied_at in times.values())
    return {
        **compute_delay_quantiles(delays, 'force'),
        'skipped': missing,
        'bytes_change': (sent_after - sent_before)
        / _CHANGE_COUNT
        / len(fleet.instances),
    }


async def measure_mass_restart(fleet: Fleet) -> ResultRow:
    """Kill half of the nodes, restart them together and time the recovery.

    ``herd_s`` ends when all of them have applied the configuration,
    ``herd_members_s`` when all nodes know each other.
    """
    half = fleet.pick_half()
    names = {instance.node_process for instance in half}
    for instance in half:
        fleet.mesh.processes.kill(instance.node_process)
    await anyio.sleep(_SETTLE_S)
    start = time.time()
    for restarted in half:
        fleet.mesh.start_node(restarted)
    with anyio.fail_after(_READY_TIMEOUT.total_seconds()):
        times = await _wait_applied(fleet, names, start)
    await fleet.wait_all_known()
    return {
        'herd_s': max(times) - start,
        'herd_members_s': time.time() - start,
    }


async def measure_baseline(fleet: Fleet) -> ResultRow:
    """Measure the baseline, with one poller of the head for each node."""
    pollers = HeadPollers(fleet.mesh.platform_url, len(fleet.instances))
    async with anyio.create_task_group() as group:
        group.start_soon(pollers.run)
        await anyio.sleep(_SETTLE_S)
        counts_before = await fleet.client.read_request_counts(
            fleet.mesh.platform_url
        )
        start = time.monotonic()
        first = fleet.revision + 1
        for number in range(_BASELINE_CHANGE_COUNT):
            await fleet.submit_change(_CHANGE_COUNT + number)
            await anyio.sleep(2)
        counts_after = await fleet.client.read_request_counts(
            fleet.mesh.platform_url
        )
        seconds = time.monotonic() - start
        group.cancel_scope.cancel()
    applied = fleet.read_applied()
    delays = [
        applied_at - min(applied[revision].values())
        for revision, times in pollers.fetch_times.items()
        if revision >= first
        for applied_at in times
    ]
    return {
        **compute_delay_quantiles(delays, 'polling'),
        'polling_reads_s': (counts_after.reads - counts_before.reads) / seconds,
    }


async def measure_fleet(count: int) -> ResultRow:
    """Run all measurements at one size of mesh."""
    with (
        tempfile.TemporaryDirectory() as directory,
        ChildProcesses(Path(directory)) as processes,
    ):
        mesh = Mesh(processes, Path(directory), _BASE_PORT, 'capacity')
        client = AdminClient(OPERATOR_TOKEN)
        row = await _measure(Fleet(mesh, client, count))
        await client.aclose()
    return row


async def _measure(fleet: Fleet) -> ResultRow:
    await fleet.start()
    await fleet.submit_change(_CHANGE_COUNT * 2)
    return {
        'nodes': len(fleet.instances),
        **await measure_idle(fleet),
        **await measure_changes(fleet),
        **await measure_mass_restart(fleet),
        **await measure_baseline(fleet),
    }


async def _wait_applied(
    fleet: Fleet, names: set[str], start: float
) -> list[float]:
    while True:
        applied = fleet.read_applied().get(fleet.revision, {})
        times = [
            applied_at
            for node, applied_at in applied.items()
            if node in names and applied_at > start
        ]
        if len(times) == len(names):
            return times
        await anyio.sleep(0.2)


def main() -> None:
    """Measure all sizes, print the tables and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default=','.join(map(str, _NODE_COUNTS)))
    sizes = [int(size) for size in parser.parse_args().sizes.split(',')]
    rows = []
    for size in sizes:
        rows.append(anyio.run(measure_fleet, size))
        print_rows([
            {'measure': key, 'value': value} for key, value in rows[-1].items()
        ])
    slopes = {}
    if len(sizes) > 1:
        slopes = {
            f'{key}_per_node': fit_line([
                (float(row['nodes'] or 0), float(row[key] or 0)) for row in rows
            ])[0]
            for key in rows[0]
            if key != 'nodes'
        }
        print_rows([
            {'slope': key, 'value': value} for key, value in slopes.items()
        ])
    write_results('peers', rows, **slopes)


if __name__ == '__main__':
    main()
