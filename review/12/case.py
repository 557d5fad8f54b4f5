"""A client's request carries a header that nodes use among themselves."""

import pathlib
import sys
import zlib

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from standins_3 import (
    BROKEN,
    HELD,
    NOT_RUN,
    Deployment,
    Message,
    Record,
    make_config,
    make_route,
    run_case,
    send,
)

KEY, OTHER_KEY = 'f75rjvz48wuakn2ftima', 'j3nr26tta828m82thhkm'
TENANTS = [
    {'name': name, 'api_keys': [key], 'rate_per_s': 50, 'burst': 50}
    for name, key in (('first', KEY), ('second', OTHER_KEY))
]
ROUTES = [
    make_route('lookup', '/lookup/', 'desk'),
    make_route('book', '/book/', 'desk', kind='non_idempotent'),
]
HEADER = 'Bluebell-Ask'


def read_text(response: Message) -> str:
    body = response.body
    if response.headers.get('content-encoding') == 'deflate':
        body = zlib.decompress(body)
    return body.decode()


async def case(
    record: Record, directory: pathlib.Path, has_trouble: bool
) -> int:
    deployment = Deployment(['front', 'desk', 'desk'], record, directory)
    requests = [
        ('GET', '/lookup/1', b'', 'config'),
        ('POST', '/book/1', b'[]', 'withdraw'),
    ]
    unsigned = 0
    try:
        await deployment.open(make_config(3, ROUTES, tenants=TENANTS))
        for index in range(10):
            method, path, body, value = requests[index % len(requests)]
            name = f'request-{index}'
            fields = {
                'X-Request-Id': name,
                'X-Deadline-Ms': '2500',
                'Api-Key': KEY,
            }
            if has_trouble:
                fields[HEADER] = value
            response = await send(
                deployment.nodes[0].ports['callers'],
                method,
                path,
                fields,
                body,
            )
            signature = response.headers.get('x-server-signature')
            ran = any(run.request_id == name for run in deployment.runs)
            record.write(
                f'{name} {method} {path} is answered {response.status}, '
                f'signature {signature}, ran: {ran}, body: '
                f'{read_text(response)[:1000]!r}'
            )
            if response.status == 200 and signature is None:
                unsigned += 1
            elif response.status != 200:
                return NOT_RUN
        record.write(f'{unsigned} successes without a signature')
        return BROKEN if unsigned else HELD
    finally:
        await deployment.close()


if __name__ == '__main__':
    run_case(case, str(pathlib.Path(__file__).parent))
