"""The last tenant is removed: its key must not be accepted any more."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    Node,
    Record,
    make_config,
    make_route,
    run_case,
    send,
)

REVOKE_S = 5.0
BOUNDS = {
    'config_apply': 2.5,
    'strict_revoke': True,
    'revoke': REVOKE_S,
    'quota_window': 5,
    'quota_overage': 0.1,
    'quota_slack': 20,
}
ROUTES = [
    make_route('lookup', '/lookup/', 'desk'),
    make_route('book', '/book/', 'desk', kind='non_idempotent'),
]
KEY = 'f75rjvz48wuakn2ftima'


def make_tenant(name: str, *keys: str) -> dict[str, object]:
    return {
        'name': name,
        'api_keys': list(keys),
        'priority': 1,
        'rate_per_s': 50,
        'burst': 50,
    }


async def call(node: Node, record: Record, name: str, key: str) -> int:
    response = await send(
        node.ports['callers'],
        'POST',
        '/book/1',
        {'X-Request-Id': name, 'X-Deadline-Ms': '2500', 'Api-Key': key},
    )
    record.write(f'{name} at {node.name} with key {key}: {response.status}')
    return response.status


async def case(
    record: Record, directory: pathlib.Path, has_trouble: bool
) -> int:
    deployment = Deployment(
        ['desk', 'desk', 'desk'], record, directory, bounds=BOUNDS
    )
    first, second = make_tenant('first', KEY), make_tenant('second', 'other')
    try:
        await deployment.open(make_config(3, ROUTES, tenants=[first, second]))
        for index, node in enumerate(deployment.nodes):
            allowed = await call(node, record, f'before-{index}', KEY)
            unknown = await call(node, record, f'unknown-{index}', 'no-key')
            if (allowed, unknown) != (200, 401):
                return NOT_RUN
        # Without the disruption another tenant stays.
        left = [] if has_trouble else [second]
        deployment.store.put('config', make_config(5, ROUTES, tenants=left))
        acked = record.now
        record.write(f'version 5 acknowledged, without {KEY}; tenants: {left}')
        await asyncio.sleep(REVOKE_S + 0.5)
        for count in range(3):
            for index, node in enumerate(deployment.nodes):
                await call(node, record, f'after-{count}-{index}', KEY)
                await call(node, record, f'none-{count}-{index}', 'no-key')
        late = [
            run
            for run in deployment.runs
            if run.request_id.startswith(('after-', 'none-'))
        ]
        for run in late:
            record.write(
                f'{run.request_id} ran {run.at - acked:.1f} s after the ack; '
                f'the server got Api-Key: {run.headers.get("api-key")}'
            )
        return BROKEN if late else HELD
    finally:
        await deployment.close()


if __name__ == '__main__':
    run_case(case, str(pathlib.Path(__file__).parent))
