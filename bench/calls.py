"""Latency and processor time that a hop adds to a call.

All paths are measured alternately in one run, so that their ratios stay valid
on a busy machine. Run as ``python -m bench.calls``, which also measures
overload and retry amplification.
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
    RESPONSE_BODY,
    ForwarderSpec,
    NodeSpec,
    ServerSpec,
    Spec,
    make_member,
)
from bench.overload import measure_overload
from bench.processes import (
    HOST,
    make_address,
    read_cpu_seconds,
    running_processes,
    wait_listening,
)
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)

RESULT_FILE: Final = Path('build/bench/calls.json')
ROUNDS: Final = 20
CALLS_PER_ROUND: Final = 300
RATES: Final = (20, 100, 200)  # calls a second
PACED_DURATION_S: Final = 4
MAX_ADDED_LATENCY_MS: Final = 0.64
_REQUEST: Final = b'GET /x HTTP/1.1\r\nhost: orders\r\n\r\n'
_MS_PER_S: Final = 1000


@dataclasses.dataclass(frozen=True)
class CallPath:
    """A path from the client to the server.

    ``processes`` are the forwarding processes whose processor time is counted.
    """

    name: str
    port: int
    processes: tuple[str, ...] = ()


CALL_PATHS: Final = (
    CallPath('direct', 23500),
    CallPath('one hop', 23502, ('back',)),
    CallPath('two hops', 23503, ('back', 'front')),
    CallPath('uvicorn+pool, one', 23510, ('uvicorn1',)),
    CallPath('uvicorn+pool, two', 23511, ('uvicorn1', 'uvicorn2')),
    CallPath('uvicorn+httpcore, one', 23520, ('core1',)),
    CallPath('uvicorn+httpcore, two', 23521, ('core1', 'core2')),
)


class SerialClient:
    """Sends one call at a time over one connection."""

    def __init__(self, port: int) -> None:
        self._socket = socket.create_connection((HOST, port))
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> float:
        """Make one call and return its latency in seconds."""
        start = time.perf_counter()
        self._socket.sendall(_REQUEST)
        received = b''
        while not received.endswith(RESPONSE_BODY):
            received += self._socket.recv(65536)
        return time.perf_counter() - start


def make_specs() -> dict[str, Spec]:
    """Return the specifications of the processes by name."""
    backend = Backend(
        ServiceName('orders'),
        VersionName('v1'),
        Address(HOST, 23500),
        slots=12,
        connections=120,
    )
    member = make_member('back', Address(HOST, 23502), backend)
    return {
        'server': ServerSpec(make_address(23500)),
        'back': NodeSpec(
            'back', make_address(23501), make_address(23502), backend
        ),
        'front': NodeSpec(
            'front', make_address(23503), make_address(23504), peers=(member,)
        ),
        'uvicorn1': ForwarderSpec(
            make_address(23510), make_address(23500), 'pool'
        ),
        'uvicorn2': ForwarderSpec(
            make_address(23511), make_address(23510), 'pool'
        ),
        'core1': ForwarderSpec(
            make_address(23520), make_address(23500), 'httpcore'
        ),
        'core2': ForwarderSpec(
            make_address(23521), make_address(23520), 'httpcore'
        ),
    }


def compute_quantile_ms(latencies_s: list[float], fraction: float) -> float:
    """Return the quantile at a fraction from 0 to 1, in milliseconds."""
    ordered = sorted(latencies_s)
    return (
        ordered[min(len(ordered) - 1, int(len(ordered) * fraction))] * _MS_PER_S
    )


def measure_serial(pids: dict[str, int]) -> dict[str, dict[str, float]]:
    """Call each path in turn, sending the next call after each response.

    Returns
    -------
    dict[str, dict[str, float]]
        For each path, the latency quantiles in milliseconds and ``cpu_us``,
        the processor time per call of its forwarding processes in
        microseconds.
    """
    clients = {path.name: SerialClient(path.port) for path in CALL_PATHS}
    latencies_s: dict[str, list[float]] = {path.name: [] for path in CALL_PATHS}
    cpu_seconds: dict[str, float] = dict.fromkeys(latencies_s, 0)
    for warmed_client in clients.values():
        for _ in range(CALLS_PER_ROUND):
            warmed_client.call()
    for _ in range(ROUNDS):
        for path in CALL_PATHS:
            client = clients[path.name]
            before = sum(
                read_cpu_seconds(pids[name]) for name in path.processes
            )
            latencies_s[path.name].extend(
                client.call() for _ in range(CALLS_PER_ROUND)
            )
            after = sum(read_cpu_seconds(pids[name]) for name in path.processes)
            cpu_seconds[path.name] += after - before
    figures = {
        name: compute_quantiles(values) for name, values in latencies_s.items()
    }
    for name, seconds in cpu_seconds.items():
        calls = ROUNDS * CALLS_PER_ROUND
        figures[name]['cpu_us'] = seconds / calls * 1e6
    return figures


def measure_paced(rate: int) -> dict[str, dict[str, float]]:
    """Call the direct, one-hop and two-hop paths in turn, one call each.

    Parameters
    ----------
    rate
        Calls per second on each path.

    Returns
    -------
    dict[str, dict[str, float]]
        For each path, the latency quantiles in milliseconds.
    """
    paths = CALL_PATHS[:3]
    clients = [SerialClient(path.port) for path in paths]
    latencies_s: dict[str, list[float]] = {path.name: [] for path in paths}
    next_call_at = time.perf_counter()
    for _ in range(rate * PACED_DURATION_S):
        for path, client in zip(paths, clients, strict=True):
            next_call_at += 1 / (rate * len(paths))
            time.sleep(max(0, next_call_at - time.perf_counter()))
            latencies_s[path.name].append(client.call())
    return {
        name: compute_quantiles(values) for name, values in latencies_s.items()
    }


def compute_quantiles(latencies_s: list[float]) -> dict[str, float]:
    """Return the latency quantiles in milliseconds."""
    return {
        'p50': compute_quantile_ms(latencies_s, 0.5),
        'p99': compute_quantile_ms(latencies_s, 0.99),
        'p99.9': compute_quantile_ms(latencies_s, 0.999),
    }


def print_table(title: str, figures: dict[str, dict[str, float]]) -> None:
    """Print the quantiles and their differences from direct calls."""
    print(
        f'\n{title} '
        '(ms; added: difference from the same quantile of direct calls)'
    )
    direct = figures['direct']
    for name, row in figures.items():
        cells = [f'{row[key]:7.3f}' for key in ('p50', 'p99', 'p99.9')]
        added = [
            f'{row[key] - direct[key]:7.3f}' for key in ('p50', 'p99', 'p99.9')
        ]
        cpu = f'{row["cpu_us"]:7.0f} us' if 'cpu_us' in row else ''
        print(f'{name:24}', *cells, '  added', *added, cpu)


def measure_latency() -> dict[str, dict[str, dict[str, float]]]:
    """Measure the latency that hops add, serially and at fixed rates."""
    with running_processes(make_specs()) as pids:
        for path in CALL_PATHS:
            wait_listening(path.port)
        report = {'serial': measure_serial(pids)}
        for rate in RATES:
            report[f'{rate} calls/s'] = measure_paced(rate)
    for title, figures in report.items():
        print_table(title, figures)
    serial = report['serial']
    added = serial['two hops']['p99'] - serial['direct']['p99']
    print(
        f'\nlatency added at p99 by two hops: {added:.3f} ms, '
        f'limit {MAX_ADDED_LATENCY_MS} ms'
    )
    return report


def main() -> None:
    """Run the call benchmarks and write their results."""
    report = {
        'load_average': os.getloadavg(),
        'latency': measure_latency(),
        'overload': measure_overload(),
        'amplification': measure_amplification(),
    }
    RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULT_FILE.write_bytes(msgspec.json.format(msgspec.json.encode(report)))


if __name__ == '__main__':
    main()
