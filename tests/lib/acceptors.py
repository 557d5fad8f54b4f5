"""Acceptors on a simulated platform, and change requests for them."""

import datetime as dt
from random import Random

import msgspec
from expression import Result

from bluebellslip._internal.acceptance.acceptor import TableAcceptor
from bluebellslip._internal.acceptance.audit import TableAuditTrail
from bluebellslip._internal.exceptions import (
    BluebellError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.kernel.counters import InMemoryCounters
from bluebellslip._internal.kernel.ports import (
    Committed,
    ObjectStore,
    Refused,
    TableService,
    Transaction,
)
from bluebellslip._internal.kernel.services import Accepted, ChangeRequest
from bluebellslip._internal.models.config import (
    ConfigDocument,
    RouteSpec,
    ServiceSpec,
)
from bluebellslip._internal.models.rows import HEAD_KEY, HeadRow
from bluebellslip._internal.models.snapshot import Snapshot
from bluebellslip._internal.utils.digests import decode_snapshot
from bluebellslip_lab.history import ChangeRecord, CommitRecord, ReportedOutcome
from bluebellslip_lab.store import PlatformStore
from lib.snapshots import make_document


class RecordingDistribution:
    """Records the snapshots offered to it."""

    def __init__(self) -> None:
        self.offered: list[Snapshot] = []

    def offer(self, body: bytes, digest: str) -> Snapshot:
        snapshot = decode_snapshot(body, digest)
        self.offered.append(snapshot)
        return snapshot


class RecordingStore(PlatformStore):
    """Platform store that records every head row written to it."""

    def __init__(self) -> None:
        super().__init__()
        self.heads: list[HeadRow] = []

    def transact(self, transaction: Transaction) -> Result[Committed, Refused]:
        outcome = super().transact(transaction)
        if outcome.is_ok():
            self.heads.extend(
                msgspec.msgpack.decode(write.body, type=HeadRow)
                for write in transaction.writes
                if write.key == HEAD_KEY and write.body is not None
            )
        return outcome

    def list_commits(self) -> list[CommitRecord]:
        """Return a record of each head row written, oldest first."""
        return [
            CommitRecord(
                head.revision,
                head.change,
                head.digest,
                self.load_snapshot(head).record.previous,
            )
            for head in self.heads
        ]

    def load_snapshot(self, head: HeadRow) -> Snapshot:
        body = self.get(head.digest)
        assert body is not None
        return decode_snapshot(body, head.digest)


def make_acceptor(
    table: TableService,
    objects: ObjectStore,
    distribution: RecordingDistribution | None = None,
    seed: int = 0,
) -> TableAcceptor:
    """Return an acceptor that retries without delay."""
    counters, random_source = InMemoryCounters(), Random(seed)
    return TableAcceptor(
        table,
        objects,
        TableAuditTrail(table, random_source, counters),
        distribution or RecordingDistribution(),
        ManualClock(),
        random_source,
        counters,
        base_retry_delay=dt.timedelta(),
    )


def add_service(document: ConfigDocument, name: str) -> ConfigDocument:
    """Return a copy of a document with a service and its route added."""
    route = RouteSpec(name=name, service=name, path=f'/{name}', work='reads')
    return msgspec.structs.replace(
        document,
        services=(*document.services, ServiceSpec(name=name, team=name)),
        routes=(*document.routes, route),
    )


def make_change_request(
    change: str, document: ConfigDocument | None = None, base: int | None = None
) -> ChangeRequest:
    """Return a change request of an operator."""
    return ChangeRequest(
        change=change,
        who='ana',
        document=document or make_document(),
        base=base,
    )


def make_change_record(
    request: ChangeRequest,
    outcome: Result[Accepted, BluebellError],
    started_at: float,
    ended_at: float,
) -> ChangeRecord:
    """Return the record of a submission as its operator saw it."""
    if outcome.is_ok():
        reported, revision = ReportedOutcome.DONE, outcome.ok.revision
    elif isinstance(outcome.error, PlatformOutcomeUnknownError):
        reported, revision = ReportedOutcome.UNKNOWN, 0
    else:
        reported, revision = ReportedOutcome.NOT_DONE, 0
    return ChangeRecord(
        request.change, reported, started_at, ended_at, revision
    )
