"""What a hop adds to a call: latency and processor time.

All ways are measured in one run, in turns, so that ratios hold on a busy
machine. Run as ``python -m bench.calls``.
"""

import dataclasses
import os
import socket
import time
from pathlib import Path
from typing import Final

import msgspec

from bench.amplification import measure_amplification
from bench.mesh import (
    ANSWER,
    ForwarderSpec,
    NodeSpec,
    ServerSpec,
    Spec,
    make_member,
)
from bench.overload import measure_overload
from bench.processes import HOST, at, read_cpu, running, wait_for
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)

RESULTS: Final = Path('build/bench/calls.json')
ROUNDS: Final = 20
CALLS_A_ROUND: Final = 300
RATES: Final = (20, 100, 200)
PACED_SECONDS: Final = 4
LIMIT_MS: Final = 0.64
_REQUEST: Final = b'GET /x HTTP/1.1\r\nhost: orders\r\n\r\n'
_MS: Final = 1000


@dataclasses.dataclass(frozen=True)
class Way:
    """A path from the client to the server, and its processes."""

    name: str
    port: int
    processes: tuple[str, ...] = ()


WAYS: Final = (
    Way('direct', 23500),
    Way('one hop', 23502, ('back',)),
    Way('two hops', 23503, ('back', 'front')),
    Way('uvicorn+pool, one', 23510, ('uvicorn1',)),
    Way('uvicorn+pool, two', 23511, ('uvicorn1', 'uvicorn2')),
    Way('uvicorn+httpcore, one', 23520, ('core1',)),
    Way('uvicorn+httpcore, two', 23521, ('core1', 'core2')),
)


class Client:
    """A serial caller with one connection."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection((HOST, port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> float:
        """Return the seconds that one call took."""
        begun = time.perf_counter()
        self._socket.sendall(_REQUEST)
        got = b''
        while not got.endswith(ANSWER):
            got += self._socket.recv(65536)
        return time.perf_counter() - begun


def make_specs() -> dict[str, Spec]:
    """Return the processes by name."""
    backend = Backend(
        ServiceName('orders'),
        VersionName('v1'),
        Address(HOST, 23500),
        slots=12,
        connections=120,
    )
    member = make_member('back', Address(HOST, 23502), backend)
    return {
        'server': ServerSpec(at(23500)),
        'back': NodeSpec('back', at(23501), at(23502), backend),
        'front': NodeSpec('front', at(23503), at(23504), peers=(member,)),
        'uvicorn1': ForwarderSpec(at(23510), at(23500), 'pool'),
        'uvicorn2': ForwarderSpec(at(23511), at(23510), 'pool'),
        'core1': ForwarderSpec(at(23520), at(23500), 'httpcore'),
        'core2': ForwarderSpec(at(23521), at(23520), 'httpcore'),
    }


def find_quantile(times: list[float], share: float) -> float:
    """Return a quantile in milliseconds."""
    ordered = sorted(times)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))] * _MS


def measure_serial(pids: dict[str, int]) -> dict[str, dict[str, float]]:
    """Call as fast as answers come, the ways in turn."""
    clients = {way.name: Client(way.port) for way in WAYS}
    times: dict[str, list[float]] = {way.name: [] for way in WAYS}
    spent: dict[str, float] = dict.fromkeys(times, 0)
    for warmed in clients.values():
        for _ in range(CALLS_A_ROUND):
            warmed.call()
    for _ in range(ROUNDS):
        for way in WAYS:
            client = clients[way.name]
            before = sum(read_cpu(pids[name]) for name in way.processes)
            times[way.name].extend(client.call() for _ in range(CALLS_A_ROUND))
            after = sum(read_cpu(pids[name]) for name in way.processes)
            spent[way.name] += after - before
    figures = {name: summarise(found) for name, found in times.items()}
    for name, seconds in spent.items():
        calls = ROUNDS * CALLS_A_ROUND
        figures[name]['cpu_us'] = seconds / calls * 1e6
    return figures


def measure_paced(rate: int) -> dict[str, dict[str, float]]:
    """Call at a rate, the ways in turn call by call."""
    ways = WAYS[:3]
    clients = [Client(way.port) for way in ways]
    times: dict[str, list[float]] = {way.name: [] for way in ways}
    due = time.perf_counter()
    for _ in range(rate * PACED_SECONDS):
        for way, client in zip(ways, clients, strict=True):
            due += 1 / (rate * len(ways))
            time.sleep(max(0, due - time.perf_counter()))
            times[way.name].append(client.call())
    return {name: summarise(found) for name, found in times.items()}


def summarise(times: list[float]) -> dict[str, float]:
    """Return the quantiles of times, in milliseconds."""
    return {
        'p50': find_quantile(times, 0.5),
        'p99': find_quantile(times, 0.99),
        'p99.9': find_quantile(times, 0.999),
    }


def print_table(title: str, figures: dict[str, dict[str, float]]) -> None:
    """Print quantiles, and what was added to the direct call's."""
    print(f'\n{title} (ms; added = minus the same quantile of direct)')
    direct = figures['direct']
    for name, found in figures.items():
        cells = [f'{found[key]:7.3f}' for key in ('p50', 'p99', 'p99.9')]
        added = [
            f'{found[key] - direct[key]:7.3f}'
            for key in ('p50', 'p99', 'p99.9')
        ]
        cpu = f'{found["cpu_us"]:7.0f} us' if 'cpu_us' in found else ''
        print(f'{name:24}', *cells, '  added', *added, cpu)


def measure_latency() -> dict[str, dict[str, dict[str, float]]]:
    """Measure what hops add, serially and at rates."""
    with running(make_specs()) as pids:
        for way in WAYS:
            wait_for(way.port)
        report = {'serial': measure_serial(pids)}
        for rate in RATES:
            report[f'{rate} calls/s'] = measure_paced(rate)
    for title, figures in report.items():
        print_table(title, figures)
    serial = report['serial']
    added = serial['two hops']['p99'] - serial['direct']['p99']
    print(f'\nadded at p99 over two hops: {added:.3f} ms, limit {LIMIT_MS}')
    return report


def main() -> None:
    """Measure and report."""
    report = {
        'load_average': os.getloadavg(),
        'latency': measure_latency(),
        'overload': measure_overload(),
        'amplification': measure_amplification(),
    }
    RESULTS.parent.mkdir(parents=True, exist_ok=True)
    RESULTS.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


if __name__ == '__main__':
    main()
