"""Transactions that claims take, by the rate of at-most-once calls of a node.

Run as ``python -m bench.claims``.
"""

import asyncio
import time
from pathlib import Path
from typing import Final

import msgspec
from expression import Ok, Result

from bench.mesh import NodeSpec, make_context, make_document
from bluebellslip._internal.claims.commit import GroupCommit
from bluebellslip._internal.claims.rows import Claim, StoredResponse
from bluebellslip._internal.claims.store import ClaimStore
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    Committed,
    Refused,
    Row,
    Transaction,
)
from bluebellslip._internal.utils.durations import parse_duration

RESULT_FILE: Final = Path('build/bench/claims.json')
RATES: Final = (10, 100, 500, 2000)  # calls a second
MEASUREMENT_S: Final = 3
TABLE_DELAY_S: Final = 0.01
_RESPONSE: Final = StoredResponse(200, (), b'paid')
_UNUSED_ADDRESS: Final = '127.0.0.9:1'


class SlowTable:
    """A table that delays every transaction and accepts it."""

    def __init__(self) -> None:
        self.transactions = 0

    async def read(self, key: str) -> Row | None:
        """Return an empty row."""
        return Row(key, 1, b'')

    async def scan(self, prefix: str, limit: int) -> tuple[Row, ...]:
        """Return no rows."""
        return ()

    async def transact(
        self, transaction: Transaction
    ) -> Result[Committed, Refused]:
        """Accept a transaction after the table's delay."""
        self.transactions += 1
        await asyncio.sleep(TABLE_DELAY_S)
        return Ok(Committed((1,) * len(transaction.writes)))


async def claim_and_store(
    store: ClaimStore, number: int, times: list[float]
) -> None:
    """Claim a call and store its response.

    The duration of the claim in seconds is appended to ``times``.
    """
    start = time.perf_counter()
    claim = await store.claim(f'claim/orders/{number}', b'', _TIMEOUT)
    times.append(time.perf_counter() - start)
    if isinstance(claim, Claim):
        await store.store_response(claim, _RESPONSE)


async def measure(rate: int) -> dict[str, float]:
    """Make claims at a rate in calls per second.

    Returns
    -------
    dict[str, float]
        The rate, the transactions a second, and the 99th percentile of the
        time of a claim in milliseconds.
    """
    table = SlowTable()
    commit = GroupCommit(table, InMemoryCounters())
    spec = NodeSpec('n1', _UNUSED_ADDRESS, _UNUSED_ADDRESS)
    context = make_context(spec, make_document('5s', ('orders',)))
    store = ClaimStore(context, table, commit)
    worker = asyncio.create_task(commit.run())
    times: list[float] = []
    loop = asyncio.get_running_loop()
    next_call_at = loop.time()
    async with asyncio.TaskGroup() as group:
        for number in range(rate * MEASUREMENT_S):
            next_call_at += 1 / rate
            await asyncio.sleep(max(0, next_call_at - loop.time()))
            group.create_task(claim_and_store(store, number, times))
    worker.cancel()
    times.sort()
    return {
        'calls_a_second': rate,
        'transactions_a_second': table.transactions / MEASUREMENT_S,
        'claim_p99_ms': times[int(len(times) * 0.99)] * 1000,
    }


async def measure_all() -> list[dict[str, float]]:
    """Measure every rate."""
    return [await measure(rate) for rate in RATES]


_TIMEOUT: Final = parse_duration('5s')


def main() -> None:
    """Measure every rate, print the rows and write them as JSON."""
    rows = asyncio.run(measure_all())
    print(f'claims on one node; a transaction takes {TABLE_DELAY_S} s')
    for row in rows:
        print(*(f'{name} {figure:8.1f}' for name, figure in row.items()))
    RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULT_FILE.write_bytes(msgspec.json.format(msgspec.json.encode(rows)))


if __name__ == '__main__':
    main()
