"""Configuration documents and snapshots for tests."""

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
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.digests import (
    compute_digest,
    decode_snapshot,
    encode_record,
)


def make_document() -> ConfigDocument:
    """Return a small mesh with reads and at-most-once payments."""
    target = TargetSpec(latency='250ms')
    return ConfigDocument(
        mesh='thistle-quill',
        preference=Preference.SAFETY,
        classes=(
            ClassSpec(name='reads', target=target, timeout='2s'),
            ClassSpec(
                name='payments',
                target=target,
                timeout='5s',
                runs=ExecutionSemantics.ONCE,
                priority=1,
            ),
        ),
        services=(
            ServiceSpec(name='storefront', team='shop'),
            ServiceSpec(name='orders', team='print'),
        ),
        routes=(
            RouteSpec(
                name='samples',
                service='storefront',
                path='/samples',
                work='reads',
                method='GET',
            ),
            RouteSpec(
                name='deposits',
                service='orders',
                path='/deposits',
                work='payments',
                method='POST',
            ),
        ),
    )


def make_record(revision: int, previous: str = '') -> SnapshotRecord:
    """Return the record of a revision with the document of ``make_document``.

    ``previous`` is the digest of the previous revision.
    """
    return SnapshotRecord(
        revision=revision, previous=previous, document=make_document()
    )


def make_snapshot(revision: int) -> Snapshot:
    """Return a validated snapshot with the document of ``make_document``."""
    body = encode_record(make_record(revision))
    return decode_snapshot(body, compute_digest(body))
