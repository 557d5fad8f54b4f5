"""A bad version of a service with little traffic is rolled out."""

import asyncio
import contextlib
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    Message,
    Record,
    Server,
    make_config,
    make_route,
    run_case,
    send,
)

REQUESTS_PER_S = 8
DURATION_S = 16
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
CANARY_SHARE, CANARY_SLACK = 0.1, 50
CALM_S = 2
MAX_WAIT_S = 30
ROLLOUT = 'rollout/desk'


class BadServer(Server):
    """A server of a version that fails every second request."""

    def __init__(self, *args: object, **options: object) -> None:
        super().__init__(*args, **options)  # type: ignore[arg-type]
        self.work = self._work
        self.failed_at: list[float] = []

    async def _work(
        self, server: Server, request: Message, writer: asyncio.StreamWriter
    ) -> bool:
        if len(self.runs) % 2:
            return False
        await asyncio.sleep(self.work_s)
        request_id = request.headers['x-request-id']
        self.failed_at.append(self._record.now)
        self.respond(writer, request_id, 500, {'X-Server-Signature': 's.2'})
        return True


class Traffic:
    """Requests of clients at one node, at a steady rate."""

    def __init__(self, port: int, record: Record) -> None:
        self.sent_at: dict[str, float] = {}
        self.statuses: dict[str, int] = {}
        self._port = port
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._call(f'request-{number}'))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _call(self, name: str) -> None:
        self.sent_at[name] = self._record.now
        fields = {'X-Request-Id': name, 'X-Deadline-Ms': '2500'}
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            response = await send(self._port, 'GET', '/lookup/1', fields)
            self.statuses[name] = response.status
            self._record.write(f'{name} is answered {response.status}')


def find_state(deployment: Deployment) -> str:
    status = deployment.store.read('status', ROLLOUT) or {}
    return str(status.get('state', ''))


async def roll_out(deployment: Deployment, first_new: int) -> float:
    """Order version v2, start its servers, and return the time of the order."""
    deployment.store.put(
        ROLLOUT, {'service': 'desk', 'target': 'v2', 'duration_s': DURATION_S}
    )
    ordered = deployment.record.now
    deployment.record.write('version v2 is ordered')
    await deployment.start(first_new)
    return ordered


async def stop_old(deployment: Deployment, numbers: range) -> None:
    """Stop the old servers without draining, and remove their machines."""
    for number in numbers:
        deployment.stop_server(number)
        deployment.nodes[number].signal(signal.SIGTERM)
    deployment.record.write('the old servers are stopped')


async def case(
    record: Record, directory: pathlib.Path, has_trouble: bool
) -> int:
    deployment = Deployment(
        ['front', 'desk', 'desk', 'desk', 'desk'], record, directory
    )
    old, new = range(1, 3), range(3, 5)
    for number in new:
        kind = BadServer if has_trouble else Server
        deployment.replace_server(number, kind, 'v2')
    traffic = Traffic(deployment.nodes[0].ports['callers'], record)
    try:
        await deployment.open(
            make_config(3, [make_route('lookup', '/lookup/', 'desk')]), new[0]
        )
        load = asyncio.create_task(traffic.run())
        await asyncio.sleep(CALM_S)
        ordered = await roll_out(deployment, new[0])
        while find_state(deployment) in {'', 'running'}:
            if record.now > ordered + DURATION_S + 5:
                break
            await asyncio.sleep(0.05)
        state = find_state(deployment)
        record.write(f'state {state!r}, {record.now - ordered:.1f} s later')
        if state == 'completed':
            await stop_old(deployment, old)
        elif state == 'rolled_back':
            await asyncio.sleep(3)
            for number in new:
                deployment.servers[number].state = 'draining'
        failed = [
            server.failed_at
            for server in deployment.servers
            if isinstance(server, BadServer)
        ]
        limit = record.now + MAX_WAIT_S
        while record.now < limit:
            bad = sorted(at for times in failed for at in times)
            if len(bad) >= BAD_ANSWERS:
                limit = min(limit, bad[BAD_ANSWERS - 1] + ROLLBACK_S + 3)
            if not has_trouble:
                limit = min(limit, ordered + DURATION_S + 5)
            await asyncio.sleep(0.1)
        load.cancel()
        served = list(traffic.statuses.values()).count(200)
        record.write(f'{served} of {len(traffic.sent_at)} got a 200')
        if not has_trouble:
            return HELD if state == 'completed' else NOT_RUN
        return judge(deployment, traffic, ordered, new)
    finally:
        await deployment.close()


def judge(
    deployment: Deployment, traffic: Traffic, ordered: float, new: range
) -> int:
    """Check what the bad version got against both limits of the rule."""
    record = deployment.record
    runs = [run for number in new for run in deployment.servers[number].runs]
    bad = sorted(
        at
        for number in new
        for at in deployment.servers[number].failed_at  # type: ignore[attr-defined]
    )
    in_time = [run for run in runs if run.at <= ordered + DURATION_S]
    total = sum(
        ordered <= at <= ordered + DURATION_S for at in traffic.sent_at.values()
    )
    allowed = CANARY_SHARE * total + CANARY_SLACK
    record.write(
        f'v2 got {len(in_time)} of {total} requests in the time of its '
        f'roll-out, allowed {allowed:.0f}; {len(bad)} bad answers'
    )
    late = []
    if len(bad) >= BAD_ANSWERS:
        latest = bad[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [run for run in runs if traffic.sent_at[run.request_id] > latest]
    record.write(
        f'{len(late)} requests reached it that were sent later than '
        f'{ROLLBACK_S} s after its {BAD_ANSWERS}th bad answer'
    )
    return BROKEN if late or len(in_time) > allowed else HELD


if __name__ == '__main__':
    run_case(case, str(pathlib.Path(__file__).parent))
