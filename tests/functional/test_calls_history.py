"""Tests of concurrent calls under random faults of servers and the table.

The history of calls is checked against what the servers ran. This check guards
against callers that get the response to another call, at-most-once calls that
run twice, and calls that ran although their response promised the opposite.
"""

import asyncio
import contextlib
from random import Random

import anyio
import pytest

from lib.call_history import CallHistory
from lib.calls import CallsNode, FakeServer, ReceivedRequest, encode_response
from lib.tables import FakeTable

_CALLERS = 12
_CALLS_PER_CALLER = 12


def make_faulty_server(random_source: Random) -> FakeServer:
    """Return a server that echoes the idempotency key, or else the path.

    Responses are delayed at random. About a tenth of the requests get no
    response, and another tenth get a truncated response.
    """

    async def handler(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        key = request.headers.get('idempotency-key', '')
        response = encode_response(
            (key or request.request_line.split()[1]).encode()
        )
        await asyncio.sleep(random_source.choice([0, 0, 0.01, 0.03]))
        fault = random_source.randrange(10)
        if fault == 0:
            writer.close()
        elif fault == 1:
            writer.write(response[:-1])
            writer.close()
        else:
            writer.write(response)

    return FakeServer(handler)


async def inject_table_faults(table: FakeTable, random_source: Random) -> None:
    while True:
        table.down = random_source.randrange(5) == 0
        table.responses_to_lose = random_source.choice([0, 1])
        table.requests_to_lose = random_source.choice([0, 0, 1])
        table.delay_s = random_source.choice([0, 0.005, 0.02])
        await asyncio.sleep(0.03)


async def send_calls(
    history: CallHistory,
    fronts: list[CallsNode],
    number: int,
    random_source: Random,
) -> None:
    for call in range(_CALLS_PER_CALLER):
        front = random_source.choice(fronts)
        if random_source.randrange(2):
            await history.call(front.egress, f'/samples/{number}-{call}')
        else:
            key = f'k{random_source.randrange(_CALLERS * 2)}'
            await history.call(front.egress, '/deposits', key)


@pytest.mark.anyio
@pytest.mark.parametrize('seed', range(3))
async def test_call_history_is_consistent_under_faults(seed: int) -> None:
    random_source, table, history = Random(seed), FakeTable(), CallHistory()
    servers = [make_faulty_server(random_source) for _ in range(4)]
    async with contextlib.AsyncExitStack() as stack:
        backs, fronts = [], []
        for number, server in enumerate(servers):
            await stack.enter_async_context(server.serving())
            back = CallsNode(f'back{number}', table=table)
            service = 'orders' if number < 2 else 'storefront'
            back.set_backend(service, server.address, slots=3)
            backs.append(back)
        for name in ('front0', 'front1'):
            fronts.append(CallsNode(name, table=table))
            fronts[-1].add_members(*backs)
        for node in (*backs, *fronts):
            await stack.enter_async_context(node.running())
        async with anyio.create_task_group() as group:
            group.start_soon(inject_table_faults, table, random_source)
            async with anyio.create_task_group() as calls:
                for number in range(_CALLERS):
                    calls.start_soon(
                        send_calls, history, fronts, number, random_source
                    )
            group.cancel_scope.cancel()
    assert len(history.calls) == _CALLERS * _CALLS_PER_CALLER
    assert not history.find_violations(servers)
