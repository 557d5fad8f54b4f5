"""Goodput and latency of admitted calls, below and above capacity.

The mesh is compared with a forwarder that has no admission control and retries
immediately. Both have a server of the same size behind them. Run as
``python -m bench.overload``.
"""

import asyncio
import dataclasses
from random import Random
from typing import Final

from bench.mesh import ForwarderSpec, NodeSpec, ServerSpec, Spec, make_member
from bench.processes import (
    HOST,
    make_address,
    running_processes,
    wait_listening,
)
from bluebellslip._internal.calls.exchange import Exchange
from bluebellslip._internal.calls.pool import ConnectionPool
from bluebellslip._internal.exceptions import BluebellError
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.models.facts import Backend
from bluebellslip._internal.models.identity import (
    Address,
    ServiceName,
    VersionName,
)

SLOTS: Final = 6
SERVICE_TIME_MS: Final = 20
CAPACITY_CALLS_PER_S: Final = SLOTS * 1000 / SERVICE_TIME_MS
LOAD_FACTORS: Final = (0.5, 0.8, 1, 1.5, 2, 3)  # of the capacity
MEASUREMENT_S: Final = 3
DEADLINE_MS: Final = 250
ENTRY_PORTS: Final = {'mesh': 23603, 'plain': 23610}  # receive the calls
INNER_PORTS: Final = (23600, 23602, 23605)  # behind the entry ports
MIN_GOODPUT_SHARE: Final = 0.9  # of the peak, at 3 times the capacity
_SEED: Final = 7
_OK: Final = 200
_REQUEST: Final = (
    b'GET /x HTTP/1.1\r\nhost: orders\r\n'
    b'bluebell-timeout-ms: %d\r\n\r\n' % DEADLINE_MS
)


@dataclasses.dataclass
class CallOutcomeCounts:
    """Outcomes of the calls at one load.

    ``refused`` counts responses with a status other than 200. Calls without a
    response by the deadline count as offered only.
    """

    offered: int = 0
    good: int = 0
    refused: int = 0
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    def compute_rates(self) -> dict[str, float]:
        """Return rates per second, and the 99th latency percentile in ms."""
        ordered = sorted(self.latencies_s) or [0]
        return {
            'offered': self.offered / MEASUREMENT_S,
            'goodput': self.good / MEASUREMENT_S,
            'refused': self.refused / MEASUREMENT_S,
            'p99_ms': ordered[int(len(ordered) * 0.99)] * 1000,
        }


def make_specs() -> dict[str, Spec]:
    """Return the specifications of the processes by name."""
    backend = Backend(
        ServiceName('orders'),
        VersionName('v1'),
        Address(HOST, 23600),
        slots=SLOTS,
        connections=120,
    )
    member = make_member('back', Address(HOST, 23602), backend)
    return {
        'server': ServerSpec(make_address(23600), SLOTS, SERVICE_TIME_MS),
        'back': NodeSpec(
            'back', make_address(23601), make_address(23602), backend
        ),
        'front': NodeSpec(
            'front', make_address(23603), make_address(23604), peers=(member,)
        ),
        'plain server': ServerSpec(make_address(23605), SLOTS, SERVICE_TIME_MS),
        'plain': ForwarderSpec(
            make_address(23610),
            make_address(23605),
            'pool',
            attempts=3,
            try_timeout_s=DEADLINE_MS / 3000,
        ),
    }


async def make_call(
    pool: ConnectionPool, port: int, counts: CallOutcomeCounts
) -> None:
    """Make one call, abandon it at its deadline, and count its outcome."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    counts.offered += 1
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            status = await send_request(pool, port)
    except (TimeoutError, BluebellError):
        return
    if status == _OK:
        counts.good += 1
        counts.latencies_s.append(loop.time() - start)
    else:
        counts.refused += 1


async def send_request(pool: ConnectionPool, port: int) -> int:
    """Send one request and return the status of the response."""
    with Exchange(pool, Address(HOST, port)) as exchange:
        await exchange.open()
        exchange.connection.begin(_REQUEST, head_only=False, is_complete=True)
        head = await exchange.connection.response()
        await exchange.connection.body.read_all()
        return head.status


async def run_load(port: int, rate: float) -> dict[str, float]:
    """Start calls at a rate per second, whether or not earlier ones ended.

    The times between calls are exponentially distributed.
    """
    loop = asyncio.get_running_loop()
    random_source = Random(_SEED)
    pool = ConnectionPool(InMemoryCounters())
    counts = CallOutcomeCounts()
    next_call_at = loop.time()
    end = next_call_at + MEASUREMENT_S
    async with asyncio.TaskGroup() as group:
        while next_call_at < end:
            next_call_at += random_source.expovariate(rate)
            await asyncio.sleep(max(0, next_call_at - loop.time()))
            group.create_task(make_call(pool, port, counts))
    pool.close()
    return counts.compute_rates()


async def run_all_loads() -> dict[str, dict[str, dict[str, float]]]:
    """Measure the mesh and the forwarder alternately at every load."""
    results: dict[str, dict[str, dict[str, float]]] = {'mesh': {}, 'plain': {}}
    for load in LOAD_FACTORS:
        for name, port in ENTRY_PORTS.items():
            results[name][str(load)] = await run_load(
                port, load * CAPACITY_CALLS_PER_S
            )
            await asyncio.sleep(0.5)
    return results


def measure_overload() -> dict[str, dict[str, dict[str, float]]]:
    """Print and return the rates of the mesh and of the forwarder."""
    with running_processes(make_specs()):
        for port in (*INNER_PORTS, *ENTRY_PORTS.values()):
            wait_listening(port)
        results = asyncio.run(run_all_loads())
    print(
        f'\noverload; capacity {CAPACITY_CALLS_PER_S:.0f} calls/s, '
        'rates a second'
    )
    for name, loads in results.items():
        for load, figures in loads.items():
            cells = [f'{key} {value:7.1f}' for key, value in figures.items()]
            print(f'{name:6} {load:>4}x', *cells)
        peak = max(result['goodput'] for result in loads.values())
        goodput_share = loads['3']['goodput'] / peak
        print(
            f'{name:6} goodput at 3x: {goodput_share:.2f} of peak, '
            f'goal {MIN_GOODPUT_SHARE}'
        )
    return results


if __name__ == '__main__':
    measure_overload()
