"""Accepts changes: stores the new snapshot, then commits a transaction."""

import datetime as dt
from random import Random
from typing import Final

import anyio
from expression import Error, Ok, Result

from bluebellslip._internal.acceptance.change_store import (
    APPLY_ACTION,
    build_transaction,
    read_change,
    read_head,
)
from bluebellslip._internal.acceptance.merge import merge_documents
from bluebellslip._internal.acceptance.stored_records import (
    load_base_and_newest,
)
from bluebellslip._internal.acceptance.submission import Head, Submission
from bluebellslip._internal.exceptions import (
    BluebellError,
    ConflictError,
    InvalidConfigError,
    PlatformDownError,
    PlatformGarbledError,
    PlatformOutcomeUnknownError,
)
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.kernel.ports import (
    ObjectStore,
    TableService,
)
from bluebellslip._internal.kernel.services import (
    Accepted,
    AuditTrail,
    ChangeRequest,
    Distribution,
)
from bluebellslip._internal.models.config import ConfigDocument, SnapshotRecord
from bluebellslip._internal.models.rows import (
    AuditOutcome,
    AuditRow,
    ChangeRow,
)
from bluebellslip._internal.models.snapshot import check_document
from bluebellslip._internal.utils.digests import compute_digest, encode_record

_MAX_ATTEMPTS: Final = 8
_BASE_RETRY_DELAY: Final = dt.timedelta(milliseconds=50)
_PLATFORM_FAILURES: Final = (
    PlatformDownError,
    PlatformOutcomeUnknownError,
    PlatformGarbledError,
)


class TableAcceptor:
    """The write path of configuration; see ``Acceptor``.

    Parameters
    ----------
    table, objects
        Table and object store of the platform.
    audit
        Records refused changes. The audit row of an accepted change is part
        of the transaction that accepts the change.
    distribution
        Distributes accepted changes to other nodes.
    clock
        Source of the time in audit rows.
    random_source
        Source of randomness for the delays between attempts.
    counters
        Counts ``changes`` by outcome.
    base_retry_delay
        The delay after n attempts is random, from 0 to 2**n times this value.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        audit: AuditTrail,
        distribution: Distribution,
        clock: Clock,
        random_source: Random,
        counters: Counters,
        base_retry_delay: dt.timedelta = _BASE_RETRY_DELAY,
    ) -> None:
        self._table = table
        self._objects = objects
        self._audit = audit
        self._distribution = distribution
        self._clock = clock
        self._random = random_source
        self._counters = counters
        self._base_retry_delay = base_retry_delay

    async def submit(
        self, request: ChangeRequest
    ) -> Result[Accepted, BluebellError]:
        """Accept a change as a whole or return an error.

        Accepted and refused changes are audited; an error that leaves the
        outcome unknown is not.
        """
        try:
            accepted = await self._accept(Submission.from_request(request))
        except BluebellError as error:
            self._counters.add('changes', outcome=error.kind.value)
            await self._audit_refusal(request, error)
            return Error(error)
        outcome = 'replayed' if accepted.replayed else 'accepted'
        self._counters.add('changes', outcome=outcome)
        return Ok(accepted)

    async def _accept(self, submission: Submission) -> Accepted:
        for attempt in range(_MAX_ATTEMPTS):
            await self._wait_before_retry(attempt)
            accepted = await self._attempt(submission)
            if accepted is not None:
                return accepted
            if submission.should_give_up:
                break
        raise submission.build_error()

    async def _attempt(self, submission: Submission) -> Accepted | None:
        submission.last_failure = None
        try:
            return await self._accept_once(submission)
        except _PLATFORM_FAILURES as error:
            submission.last_failure = error
            return None

    async def _wait_before_retry(self, attempt: int) -> None:
        if attempt:
            bound = self._base_retry_delay.total_seconds() * (1 << attempt)
            await anyio.sleep(bound * self._random.random())

    async def _accept_once(self, submission: Submission) -> Accepted | None:
        # The head must be read before the change row. An earlier transaction
        # of this submission that requires an older head can then no longer
        # commit; if the change row is absent, that transaction had no effect.
        head = await read_head(self._table)
        existing = await read_change(self._table, submission.request.change)
        if existing is not None:
            submission.check_resubmission(existing)
            return await self._replay(existing)
        submission.observe_head(head)
        document = await self._rebase(submission, head)
        record = SnapshotRecord(
            revision=head.row.revision + 1,
            previous=head.row.digest,
            document=document,
        )
        return await self._commit(submission, head, record)

    async def _rebase(
        self, submission: Submission, head: Head
    ) -> ConfigDocument:
        ours = submission.request.document
        base_revision = submission.base or 0
        if base_revision == head.row.revision:
            return ours
        base, theirs = await load_base_and_newest(
            self._objects, head.row, base_revision
        )
        merged = merge_documents(base.document, theirs.document, ours)
        if merged.is_error():
            overlap = ', '.join(sorted(merged.error))
            raise _build_conflict(submission, head, overlap)
        try:
            check_document(merged.ok)
        except InvalidConfigError as error:
            raise _build_conflict(submission, head, str(error)) from error
        return merged.ok

    async def _commit(
        self, submission: Submission, head: Head, record: SnapshotRecord
    ) -> Accepted | None:
        body = encode_record(record)
        digest = compute_digest(body)
        await self._store_body(digest, body)
        accepted = Accepted(
            revision=record.revision,
            digest=digest,
            rebased=submission.base != head.row.revision,
        )
        transaction = build_transaction(
            submission, head, accepted, self._clock.now()
        )
        try:
            outcome = await self._table.transact(transaction)
        except (PlatformOutcomeUnknownError, PlatformGarbledError):
            submission.in_doubt_head_version = head.version
            raise
        if outcome.is_error():
            return None
        self._distribution.offer(body, digest)
        return accepted

    async def _store_body(self, digest: str, body: bytes) -> None:
        try:
            await self._objects.put(digest, body)
        except (PlatformOutcomeUnknownError, PlatformGarbledError):
            if await self._objects.get(digest) != body:
                raise

    async def _replay(self, existing: ChangeRow) -> Accepted:
        """Return the result of a change that was already accepted.

        Its snapshot is distributed again, because the node that accepted the
        change may have failed before it notified others.
        """
        try:
            body = await self._objects.get(existing.digest)
        except _PLATFORM_FAILURES:
            body = None
        if body is not None:
            self._offer_again(body, existing.digest)
        return Accepted(existing.revision, existing.digest, replayed=True)

    def _offer_again(self, body: bytes, digest: str) -> None:
        try:
            self._distribution.offer(body, digest)
        except InvalidConfigError:
            self._counters.add('changes_corrupt_bodies')

    async def _audit_refusal(
        self, request: ChangeRequest, error: BluebellError
    ) -> None:
        if isinstance(error, PlatformOutcomeUnknownError):
            return
        await self._audit.record(
            AuditRow(
                at=self._clock.now(),
                who=request.who,
                action=APPLY_ACTION,
                subject=request.change,
                outcome=AuditOutcome.REFUSED,
                detail=str(error),
            )
        )


def _build_conflict(
    submission: Submission, head: Head, detail: str
) -> ConflictError:
    return ConflictError(
        'The change conflicts with changes accepted since its base revision.',
        context={
            'base': str(submission.base),
            'revision': str(head.row.revision),
            'change': head.row.change,
            'found': detail,
        },
        hint='Read the newest configuration and make the change again.',
    )
