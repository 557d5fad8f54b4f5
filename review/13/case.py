"""A tenant's limit is lifted by the version that takes a key away."""

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
ROUTE = make_route('lookup', '/lookup/', 'desk')
NEW_ROUTE = make_route('new', '/new/', 'desk')
KEPT_KEY, TAKEN_KEY = 'f75rjvz48wuakn2ftima', 'j3nr26tta828m82thhkm'
LIMITED = {'rate_per_s': 50, 'burst': 50}
LIFTED = {'rate_per_s': 0, 'burst': 50}


def make_tenants(
    keys: list[str], limit: dict[str, int]
) -> list[dict[str, object]]:
    return [
        {'name': 'first', 'api_keys': keys, 'rate_per_s': 50, 'burst': 50},
        {'name': 'second', 'api_keys': ['key-of-second'], **limit},
    ]


async def call(
    node: Node, record: Record, name: str, path: str, key: str
) -> int:
    response = await send(
        node.ports['callers'],
        'GET',
        path,
        {'X-Request-Id': name, 'X-Deadline-Ms': '2500', 'Api-Key': key},
    )
    record.write(f'{name} {path} at {node.name}: {response.status}')
    return response.status


async def case(
    record: Record, directory: pathlib.Path, has_trouble: bool
) -> int:
    deployment = Deployment(
        ['desk', 'desk', 'desk'], record, directory, bounds=BOUNDS
    )
    try:
        await deployment.open(
            make_config(
                3, [ROUTE], tenants=make_tenants([KEPT_KEY, TAKEN_KEY], LIMITED)
            )
        )
        for index, node in enumerate(deployment.nodes):
            name = f'before-{index}'
            if await call(node, record, name, '/lookup/1', TAKEN_KEY) != 200:
                return NOT_RUN
        limit = LIFTED if has_trouble else LIMITED
        deployment.store.put(
            'config',
            make_config(
                5,
                [ROUTE, NEW_ROUTE],
                tenants=make_tenants([KEPT_KEY], limit),
            ),
        )
        acked = record.now
        record.write(
            f'version 5 acknowledged, without {TAKEN_KEY}; second has {limit}'
        )
        await asyncio.sleep(REVOKE_S + 0.5)
        missing = 0
        for count in range(3):
            for index, node in enumerate(deployment.nodes):
                name = f'{count}-{index}'
                await call(
                    node, record, f'after-{name}', '/lookup/1', TAKEN_KEY
                )
                status = await call(
                    node, record, f'new-{name}', '/new/1', KEPT_KEY
                )
                missing += status == 404
        late = [
            run
            for run in deployment.runs
            if run.request_id.startswith('after-')
        ]
        for run in late:
            record.write(
                f'{run.request_id} ran {run.at - acked:.1f} s after the ack'
            )
        record.write(f'{missing} requests to the added route got 404')
        return BROKEN if late or missing else HELD
    finally:
        await deployment.close()


if __name__ == '__main__':
    run_case(case, str(pathlib.Path(__file__).parent))
