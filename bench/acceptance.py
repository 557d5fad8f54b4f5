"""Cost of a configuration change for its acceptor and for the platform.

Run as ``python -m bench.acceptance``; prints a table and writes its rows as
JSON. The platform is in memory, so the times include no network or disk
access.
"""

import json
import statistics
import time
from pathlib import Path
from random import Random

import anyio
import msgspec

from bluebellslip._internal.acceptance.acceptor import TableAcceptor
from bluebellslip._internal.acceptance.audit import TableAuditTrail
from bluebellslip._internal.kernel.clock import SystemClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.services import ChangeRequest
from bluebellslip._internal.models.config import (
    ClassSpec,
    ConfigDocument,
    Preference,
    RouteSpec,
    ServiceSpec,
    TargetSpec,
)
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.digests import decode_snapshot
from bluebellslip_lab.memory_platform import MemoryPlatform

RESULT_FILE = Path('build/bench/acceptance.json')
_SERVICE_COUNTS = (10, 90, 270, 540)
_ROUTES_PER_SERVICE = 4
_REPETITIONS = 20


class _SnapshotBuilder:
    """Builds the snapshot of every accepted change, as a node does."""

    def __init__(self) -> None:
        self.body_bytes = 0
        self.newest_document = make_document(1)

    def offer(self, body: bytes, digest: str) -> Snapshot:
        """Check a body and build its snapshot."""
        self.body_bytes = len(body)
        snapshot = decode_snapshot(body, digest)
        self.newest_document = snapshot.record.document
        return snapshot


def make_document(services: int) -> ConfigDocument:
    """Return a document with the given count of services, four routes each."""
    return ConfigDocument(
        mesh='bench',
        preference=Preference.SAFETY,
        classes=(
            ClassSpec(
                name='reads',
                target=TargetSpec(latency='250ms'),
                timeout='2s',
            ),
        ),
        services=tuple(
            ServiceSpec(name=f'service-{number}', team=f'team-{number % 30}')
            for number in range(services)
        ),
        routes=tuple(
            RouteSpec(
                name=f'route-{number}-{route_index}',
                service=f'service-{number}',
                path=f'/part-{route_index}',
                work='reads',
            )
            for number in range(services)
            for route_index in range(_ROUTES_PER_SERVICE)
        ),
    )


class AcceptorBench:
    """An acceptor on an in-memory platform, and its documents by revision."""

    def __init__(self, services: int) -> None:
        counters = InMemoryCounters()
        self.platform = MemoryPlatform()
        self.snapshot_builder = _SnapshotBuilder()
        self.documents = [make_document(services)]
        self._acceptor = TableAcceptor(
            self.platform,
            self.platform,
            TableAuditTrail(self.platform, Random(0), counters),
            self.snapshot_builder,
            SystemClock(),
            Random(0),
            counters,
        )

    async def submit_change(self, revisions_behind: int) -> float:
        """Submit a change of one service to the newest or an older document.

        Parameters
        ----------
        revisions_behind
            Age of the base document in revisions; 0 for the newest. A change
            that is based on an older document is merged with the newest one.

        Returns
        -------
        float
            Duration of the submission in seconds.
        """
        revision = len(self.documents)
        document = self.documents[revision - 1 - revisions_behind]
        service_index = revision % len(document.services)
        services = list(document.services)
        services[service_index] = msgspec.structs.replace(
            services[service_index], team=f'changed-{revision}'
        )
        request = ChangeRequest(
            change=f'change-{revision}',
            who='bench',
            document=msgspec.structs.replace(
                document, services=tuple(services)
            ),
            base=revision - 1 - revisions_behind,
        )
        start = time.perf_counter()
        outcome = await self._acceptor.submit(request)
        elapsed = time.perf_counter() - start
        if outcome.is_error():
            raise outcome.error
        self.documents.append(self.snapshot_builder.newest_document)
        return elapsed


async def measure(services: int) -> dict[str, float]:
    """Return the time and the platform requests of a change.

    Times are medians in milliseconds, requests are means per change. Both are
    measured for changes that are based on the newest document (``alone``) and
    on the one before it (``merged``).
    """
    bench = AcceptorBench(services)
    await bench.submit_change(0)
    row: dict[str, float] = {
        'services': services,
        'body_bytes': bench.snapshot_builder.body_bytes,
    }
    for name, revisions_behind in (('alone', 0), ('merged', 1)):
        counts = msgspec.structs.replace(bench.platform.counts)
        times = [
            await bench.submit_change(revisions_behind)
            for _ in range(_REPETITIONS)
        ]
        after = bench.platform.counts
        row[f'{name}_ms'] = round(statistics.median(times) * 1000, 3)
        row[f'{name}_reads'] = (after.reads - counts.reads) / _REPETITIONS
        row[f'{name}_writes'] = (after.writes - counts.writes) / _REPETITIONS
    return row


def main() -> None:
    """Measure documents of all sizes, print the table and write the rows."""
    rows = [anyio.run(measure, services) for services in _SERVICE_COUNTS]
    print(*rows[0], sep='\t')
    for row in rows:
        print(*row.values(), sep='\t')
    RESULT_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULT_FILE.write_text(json.dumps(rows, indent=2), encoding='utf-8')


if __name__ == '__main__':
    main()
