"""Goodput and latency of admitted calls, under and over capacity.

Beside the mesh stands a forwarder without admission that retries plainly,
before a server of the same size. Run as ``python -m bench.overload``.
"""

import asyncio
import dataclasses
from random import Random
from typing import Final

from bench.mesh import ForwarderSpec, NodeSpec, ServerSpec, Spec, make_member
from bench.processes import HOST, at, running, wait_for
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
SERVICE_MS: Final = 20
CAPACITY: Final = SLOTS * 1000 / SERVICE_MS  # calls a second
LOADS: Final = (0.5, 0.8, 1, 1.5, 2, 3)
SECONDS: Final = 3
DEADLINE_MS: Final = 250
PORTS: Final = {'mesh': 23603, 'plain': 23610}
SERVER_PORTS: Final = (23600, 23602, 23605)
GOAL: Final = 0.9
_SEED: Final = 7
_OK: Final = 200
_REQUEST: Final = (
    b'GET /x HTTP/1.1\r\nhost: orders\r\n'
    b'bluebell-timeout-ms: %d\r\n\r\n' % DEADLINE_MS
)


@dataclasses.dataclass
class Tallies:
    """What became of the calls at one load."""

    offered: int = 0
    good: int = 0
    refused: int = 0
    times: list[float] = dataclasses.field(default_factory=list)

    def summarise(self) -> dict[str, float]:
        """Return rates a second, and the latency of good calls."""
        ordered = sorted(self.times) or [0]
        return {
            'offered': self.offered / SECONDS,
            'goodput': self.good / SECONDS,
            'refused': self.refused / SECONDS,
            'p99_ms': ordered[int(len(ordered) * 0.99)] * 1000,
        }


def make_specs() -> dict[str, Spec]:
    """Return the processes by name."""
    backend = Backend(
        ServiceName('orders'),
        VersionName('v1'),
        Address(HOST, 23600),
        slots=SLOTS,
        connections=120,
    )
    member = make_member('back', Address(HOST, 23602), backend)
    return {
        'server': ServerSpec(at(23600), SLOTS, SERVICE_MS),
        'back': NodeSpec('back', at(23601), at(23602), backend),
        'front': NodeSpec('front', at(23603), at(23604), peers=(member,)),
        'plain server': ServerSpec(at(23605), SLOTS, SERVICE_MS),
        'plain': ForwarderSpec(
            at(23610),
            at(23605),
            'pool',
            attempts=3,
            try_timeout_s=DEADLINE_MS / 3000,
        ),
    }


async def call(pool: ConnectionPool, port: int, tallies: Tallies) -> None:
    """Make one call, and give it up at its deadline."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    tallies.offered += 1
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            status = await exchange_once(pool, port)
    except (TimeoutError, BluebellError):
        return
    if status == _OK:
        tallies.good += 1
        tallies.times.append(loop.time() - begun)
    else:
        tallies.refused += 1


async def exchange_once(pool: ConnectionPool, port: int) -> int:
    """Make one call; return the answer's status."""
    with Exchange(pool, Address(HOST, port)) as exchange:
        await exchange.open()
        exchange.connection.begin(_REQUEST, head_only=False, is_complete=True)
        head = await exchange.connection.response()
        await exchange.connection.body.read_all()
        return head.status


async def offer(port: int, rate: float) -> dict[str, float]:
    """Call at a rate, with exponential gaps, whatever becomes of calls."""
    loop = asyncio.get_running_loop()
    source = Random(_SEED)
    pool = ConnectionPool(InMemoryCounters())
    tallies = Tallies()
    due = loop.time()
    end = due + SECONDS
    async with asyncio.TaskGroup() as group:
        while due < end:
            due += source.expovariate(rate)
            await asyncio.sleep(max(0, due - loop.time()))
            group.create_task(call(pool, port, tallies))
    pool.close()
    return tallies.summarise()


async def offer_all() -> dict[str, dict[str, dict[str, float]]]:
    """Measure both ways at every load, in turns."""
    found: dict[str, dict[str, dict[str, float]]] = {'mesh': {}, 'plain': {}}
    for load in LOADS:
        for name, port in PORTS.items():
            found[name][str(load)] = await offer(port, load * CAPACITY)
            await asyncio.sleep(0.5)
    return found


def measure_overload() -> dict[str, dict[str, dict[str, float]]]:
    """Measure and print."""
    with running(make_specs()):
        for port in (*SERVER_PORTS, *PORTS.values()):
            wait_for(port)
        found = asyncio.run(offer_all())
    print(f'\noverload; capacity {CAPACITY:.0f} calls/s, rates a second')
    for name, loads in found.items():
        for load, figures in loads.items():
            cells = [f'{key} {text:7.1f}' for key, text in figures.items()]
            print(f'{name:6} {load:>4}x', *cells)
        peak = max(one['goodput'] for one in loads.values())
        share = loads['3']['goodput'] / peak
        print(f'{name:6} goodput at 3x: {share:.2f} of peak, goal {GOAL}')
    return found


if __name__ == '__main__':
    measure_overload()
