"""Cost of a configuration revision by the number of services.

Run as ``python -m bench.snapshot``. Each service has two routes; in the
two present deployments, a service has one to four. Times are the minimum of
several repetitions.
"""

import tracemalloc
from typing import Final

from bench.results import ResultRow, fit_line, print_rows, write_results
from bench.timing import measure_min_time
from bluebellslip._internal.models.config import (
    ClassSpec,
    ConfigDocument,
    ExecutionSemantics,
    Preference,
    RouteSpec,
    ServiceSpec,
    SnapshotRecord,
    TargetSpec,
)
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.utils.digests import (
    compute_digest,
    decode_snapshot,
    encode_record,
)

_SERVICE_COUNTS: Final = (30, 90, 180, 270, 540)
_REPETITIONS: Final = 15
_MATCHES_PER_REPETITION: Final = 2000


def build_record(services: int) -> SnapshotRecord:
    """Return the record of a revision with a number of services."""
    target = TargetSpec(latency='250ms')
    names = [f'service-{index:04d}' for index in range(services)]
    routes = [_build_routes(name) for name in names]
    return SnapshotRecord(
        revision=1,
        previous='0' * 32,
        document=ConfigDocument(
            mesh='capacity',
            preference=Preference.SAFETY,
            classes=(
                ClassSpec(name='reads', target=target, timeout='2s'),
                ClassSpec(
                    name='payments',
                    target=target,
                    timeout='5s',
                    runs=ExecutionSemantics.ONCE,
                ),
            ),
            services=tuple(
                ServiceSpec(name=name, team=f'team-{index % 40}')
                for index, name in enumerate(names)
            ),
            routes=tuple(route for pair in routes for route in pair),
        ),
    )


def measure_size(services: int) -> ResultRow:
    """Measure size, memory, decoding time and the time to match a request."""
    record = build_record(services)
    body = encode_record(record)
    digest = compute_digest(body)
    build_s = measure_min_time(
        lambda: decode_snapshot(body, digest), _REPETITIONS
    )
    tracemalloc.start()
    snapshot = decode_snapshot(body, digest)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    service = ServiceName(f'service-{services - 1:04d}')
    match_s = measure_min_time(
        lambda: [
            snapshot.match(service, 'GET', '/v1/things/7')
            for _ in range(_MATCHES_PER_REPETITION)
        ],
        _REPETITIONS,
    )
    return {
        'services': services,
        'body_bytes': len(body),
        'build_ms': build_s * 1e3,
        'held_kb': held_bytes / 1024,
        'match_us': match_s / _MATCHES_PER_REPETITION * 1e6,
    }


def main() -> None:
    """Measure every size, print the table and write the results."""
    rows = [measure_size(services) for services in _SERVICE_COUNTS]
    print_rows(rows)
    slopes = {
        f'{key}_per_service': fit_line([
            (float(row['services'] or 0), float(row[key] or 0)) for row in rows
        ])[0]
        for key in ('body_bytes', 'build_ms', 'held_kb')
    }
    print(slopes)
    write_results('snapshot', rows, **slopes)


def _build_routes(service: str) -> tuple[RouteSpec, RouteSpec]:
    return (
        RouteSpec(
            name=f'{service}-read',
            service=service,
            path='/v1/things',
            work='reads',
            method='GET',
        ),
        RouteSpec(
            name=f'{service}-pay',
            service=service,
            path='/v1/payments',
            work='payments',
            method='POST',
        ),
    )


if __name__ == '__main__':
    main()
