"""A new roll-out takes over the end of the one that it replaced."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    Clients,
    main,
    make_config,
    make_route,
)

SERVICE = 'orders'
PER_S = 20
DURATION_S = 16
# The store does the lost write this long after it was sent; the pages say
# "1 to 6 s later".
LATE_S = 1.0
# Length and largest share of the disruption, as in the site file.
LOSS_S = 4.5
MAX_LOST_SHARE = 0.35


class Loss:
    """Loses the answer of one write of a status, and does the write late.

    All other writes of the disruption are answered.
    """

    def __init__(self, record):
        self.starts_at = None
        self.lost_at = None
        self.writes = 0
        self._record = record

    @property
    def ends_at(self):
        return self.starts_at + LOSS_S

    def __call__(self, transaction):
        now = self._record.now
        if self.starts_at is None or not self.starts_at <= now <= self.ends_at:
            return None
        self.writes += 1
        tables = {row['table'] for row in transaction['upserts']}
        if self.lost_at is not None or 'status' not in tables:
            return None
        self.lost_at = now
        return LATE_S


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
    old = [
        case.add('side-a-2', SERVICE, 'a', version='v1'),
        case.add('side-b-2', SERVICE, 'b', version='v1'),
    ]
    await case.start(*fronts, *old)
    await asyncio.gather(*(each.wait_ready() for each in (*fronts, *old)))
    clients = Clients(record)
    traffic = asyncio.ensure_future(
        clients.run(fronts, PER_S, '/orders/')
    )
    await asyncio.sleep(2)

    loss = Loss(record)
    store.lose_late = loss
    second = case.add('side-c-2', SERVICE, 'c', version='v2')
    await case.start(second)
    first_order_at = record.now
    order(store, 'v2')
    if case.trouble:
        loss.starts_at = first_order_at + DURATION_S * 0.9
    await asyncio.sleep(first_order_at + DURATION_S - record.now)
    status = store.read('status', f'rollout/{SERVICE}')
    record.write('time-limit-of-first', status=status)
    if case.trouble and (loss.lost_at is None or status['state'] != 'running'):
        raise CannotRunError(f'no write was lost in time: {status}')
    if status['state'] == 'completed':
        # The old servers are stopped at once, and then their nodes.
        for machine in old:
            machine.server.stop()
            machine.terminate()
    # The servers of the new version are started with the order.
    third = case.add(
        'side-c-3',
        SERVICE,
        'c',
        version='v3',
        fails=lambda number, target: number % 2 == 0,
    )
    second_order_at = record.now
    order(store, 'v3')
    await case.start(third)
    await asyncio.sleep(DURATION_S)
    traffic.cancel()
    await clients.settle()
    record.write(
        'time-limit-of-second',
        status=store.read('status', f'rollout/{SERVICE}'),
    )
    trouble_ended = second_order_at
    if case.trouble:
        trouble_ended = loss.ends_at
        record.write('loss', writes=loss.writes, lost=1)
        if 1 > MAX_LOST_SHARE * loss.writes:
            raise CannotRunError(f'1 of {loss.writes} writes was lost')
    return check(case, clients, third, second_order_at, trouble_ended)


def order(store, target):
    store.put(
        'op',
        f'rollout/{SERVICE}',
        {'service': SERVICE, 'target': target, 'duration_s': DURATION_S},
    )


def check(case, clients, third, ordered_at, trouble_ended):
    """Count only requests that machines in touch got and sent on."""
    in_touch_from = (
        max(trouble_ended, third.started_at) + BOUNDS['contact_s']
    )
    reached = [
        run
        for server in case.servers
        if server.service == SERVICE
        for run in server.runs
        if ordered_at <= run.at <= ordered_at + DURATION_S
    ]
    bad = [
        run
        for run in third.server.runs
        if run.at <= ordered_at + DURATION_S
        and clients.sent[run.request].at >= in_touch_from
    ]
    allowed = BOUNDS['canary_share'] * len(reached) + BOUNDS['canary_slack']
    case.record.write(
        'exposure',
        bad_version=len(bad),
        of=len(reached),
        allowed=allowed,
        counted_from=f'{in_touch_from:.3f}',
    )
    broken = []
    if len(bad) > allowed:
        broken.append(
            f'the bad version got {len(bad)} of {len(reached)} requests, '
            f'allowed are {allowed:.0f}'
        )
    failures = [run for run in bad if run.status == 500]
    if len(failures) >= 50:
        latest = failures[49].at + BOUNDS['rollback_s']
        late = sum(clients.sent[run.request].at > latest for run in bad)
        if late:
            broken.append(
                f'{late} requests were sent to the bad version later than '
                f'{BOUNDS["rollback_s"]} s after its 50th bad answer'
            )
    return broken


if __name__ == '__main__':
    main(FOLDER, scenario)
