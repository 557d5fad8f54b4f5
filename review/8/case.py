"""A departure is acknowledged while the store is down, and then forgotten."""

import asyncio
import contextlib
import itertools
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins_2 as lab  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
# From the start of the store's outage, or of the same steps without one.
LAST_BEAT_S = 1.5
LEAVE_S = 1.7
KILL_S = 2.1
RESTART_S = 3.3
STORE_BACK_S = 3.5
LATE_BEAT_S = 4.0
END_S = 13.7
PERIOD_S = 0.05
_numbers = itertools.count(1)


class Steps:
    """Waits for times after the start of the steps."""

    def __init__(self, record: lab.Record) -> None:
        self._record = record
        self.started = record.now

    async def until(self, seconds: float, what: str) -> None:
        """Wait until a time, and write what happens then."""
        left = self.started + seconds - self._record.now
        await asyncio.sleep(max(0, left))
        self._record.write(what)


async def play(record: lab.Record, directory: Path, has_trouble: bool) -> bool:
    """Let a server leave around an outage of the store and a kill."""
    store = lab.Store(f'127.0.0.1:{lab.find_ports("127.0.0.1", 1)[0]}')
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(store.serving())
        route = lab.make_route('catalogue', '/catalogue/', 'alpha')
        store.put('op', 'config', lab.make_config(3, ['alpha', 'beta'], route))
        tasks = await stack.enter_async_context(asyncio.TaskGroup())
        machines = [
            lab.Machine(
                f'sidecar-{zone}-1', service, zone, store.address, directory
            )
            for zone, service in (('a', 'beta'), ('b', 'alpha'), ('c', 'alpha'))
        ]
        servers = [lab.Server(machine, record) for machine in machines]
        beats = []
        for server, machine in zip(servers, machines, strict=True):
            await server.start()
            stack.callback(machine.kill)
            machine.start()
            beats.append(tasks.create_task(lab.beat_forever(server)))
        try:
            for machine in machines:
                if not await lab.wait_until(machine.is_ready):
                    record.write(f'{machine.name} is not ready')
                    return False
            await asyncio.sleep(6)
            leaving = servers[1]
            beats[1].cancel()
            sending = tasks.create_task(send_requests(record, machines[0]))
            acked = await let_leave(
                record, store, machines, leaving, has_trouble
            )
            sending.cancel()
        finally:
            for beat in beats:
                beat.cancel()
            for server in servers:
                server.stop()
    if acked is not None:
        judge(record, leaving, acked, has_trouble)
    return acked is not None


async def let_leave(
    record: lab.Record,
    store: lab.Store,
    machines: list[lab.Machine],
    leaving: lab.Server,
    has_trouble: bool,
) -> float | None:
    """Return when the departure was acknowledged; none if it wasn't."""
    await leaving.beat()
    steps = Steps(record)
    store.is_down = has_trouble
    await steps.until(LAST_BEAT_S, 'the server sends its last heartbeat')
    beat = leaving.make_beat()
    if not has_trouble:
        await leaving.send_beat(beat)
    await steps.until(LEAVE_S, 'the server leaves')
    status = await leaving.leave()
    acked = record.now
    record.write(f'its departure is answered with {status}')
    if has_trouble:
        await steps.until(KILL_S, 'all processes are killed')
        for machine in machines:
            machine.kill()
        await steps.until(RESTART_S, 'all processes start')
        for machine in machines:
            machine.start()
        await steps.until(STORE_BACK_S, 'the store is back')
        store.is_down = False
        await steps.until(LATE_BEAT_S, 'the last heartbeat arrives late')
        while await leaving.send_beat(beat) is None:
            await asyncio.sleep(0.05)
    await steps.until(END_S, 'the server ends')
    leaving.stop()
    return acked if status == 200 else None


def judge(
    record: lab.Record, leaving: lab.Server, acked: float, has_trouble: bool
) -> None:
    """Apply the rule to what reached the server after its departure."""
    # All machines are in touch again contact_s after the store is back.
    calm_for = STORE_BACK_S - LEAVE_S + CONTACT_S if has_trouble else 0
    earliest = acked + max(DRAIN_S, calm_for)
    late = [
        (at, request_id)
        for at, request_id, request in leaving.runs
        if at > earliest and float(request.headers['x-sent-at']) > earliest
    ]
    record.write(f'{len(late)} requests reached the server after its departure')
    if late:
        record.report(
            f'DRAIN: {len(late)} requests from machines in touch reached the '
            f'server up to {late[-1][0] - acked:.1f} s after its departure was '
            'acknowledged'
        )


async def send_requests(record: lab.Record, machine: lab.Machine) -> None:
    """Send requests one after the other."""
    while True:
        request_id = f'{next(_numbers):08x}'
        sent = record.now
        try:
            response = await lab.call(
                machine.outbound,
                'GET /catalogue/1',
                {
                    'Host': 'shop.example',
                    'X-Request-Id': request_id,
                    'X-Deadline-Ms': '1500',
                    'X-Sent-At': f'{sent:.3f}',
                },
            )
            found = f'{response.status} {response.body.decode()[:40]}'
        except (OSError, asyncio.IncompleteReadError) as error:
            found = repr(error)
        record.write(f'request {request_id}: {found}')
        await asyncio.sleep(PERIOD_S)


if __name__ == '__main__':
    trouble = os.environ.get('TROUBLE', '1') != '0'
    sys.exit(lab.run_case(FOLDER, play, has_trouble=trouble))
