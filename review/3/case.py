"""A server that has left gets requests again after its node was killed."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Clients,
    call,
    main,
    make_config,
    make_route,
)

SERVICE = 'orders'
PER_S = 20
# How late the last heartbeat before the departure arrives; "seconds late".
LATE_S = 2.5
# How long the server goes on after its departure; drain_s and "a little
# longer (at times many seconds)".
STAY_S = 12


async def scenario(case):
    record, store = case.record, case.store
    await store.start()
    store.put(
        'op',
        'config',
        make_config(
            1,
            make_route('front', '/front/', 'storefront'),
            make_route('orders', '/orders/', SERVICE),
        ),
    )
    fronts = [
        case.add('side-a-1', 'storefront', 'a'),
        case.add('side-b-1', 'storefront', 'b'),
    ]
    stays = case.add('side-a-2', SERVICE, 'a')
    leaves = case.add('side-b-2', SERVICE, 'b')
    machines = (*fronts, stays, leaves)
    await case.start(*machines)
    await asyncio.gather(*(each.wait_ready() for each in machines))
    clients = Clients(record)
    traffic = asyncio.ensure_future(clients.run(fronts, PER_S, '/orders/'))
    await asyncio.sleep(5)

    server = leaves.server
    # The last heartbeat before the departure; it is late if there is trouble.
    server.stop_heartbeats()
    body = server.make_heartbeat()
    late = asyncio.ensure_future(
        deliver(record, server, body, LATE_S if case.trouble else 0)
    )
    await asyncio.sleep(0.3)
    if not await server.depart():
        raise CannotRunError('the departure was not acknowledged')
    left_at = record.now
    if case.trouble:
        await asyncio.sleep(0.3)
        leaves.kill()
        await asyncio.sleep(0.3)
        leaves.start()
        await leaves.wait_ready()
    await late
    await asyncio.sleep(left_at + STAY_S - record.now)
    server.stop()
    leaves.terminate()
    ended_at = record.now
    await asyncio.sleep(1)
    traffic.cancel()
    await clients.settle()
    return check(case, clients, leaves, left_at, ended_at)


async def deliver(record, server, body, delay):
    await asyncio.sleep(delay)
    status, _, _ = await call(
        server.control,
        'PUT',
        server.path,
        {'Content-Type': 'application/json'},
        body,
    )
    record.write('last-heartbeat-arrived', after=delay, status=status)


def check(case, clients, leaves, left_at, ended_at):
    """Count requests that arrived late, sent on by machines in touch."""
    counted_from = left_at + BOUNDS['drain_s']
    if case.trouble:
        counted_from = max(
            counted_from, leaves.started_at + BOUNDS['contact_s']
        )
    late = [
        run
        for run in leaves.server.runs
        if counted_from < run.at <= ended_at
        and clients.sent[run.request].at > counted_from
    ]
    case.record.write(
        'late-requests',
        count=len(late),
        counted_from=f'{counted_from:.3f}',
        departure_acked=f'{left_at:.3f}',
    )
    if not late:
        return []
    return [
        f'{len(late)} requests reached the server up to '
        f'{late[-1].at - left_at:.1f} s after its departure was acknowledged'
    ]


if __name__ == '__main__':
    main(FOLDER, scenario)
