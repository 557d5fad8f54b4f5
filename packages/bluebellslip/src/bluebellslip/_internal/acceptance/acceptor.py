"""Acceptance of changes: body first, then one conditional transaction."""

import datetime as dt
from random import Random
from typing import Final

import anyio
from expression import Error, Ok, Result

from bluebellslip._internal.acceptance.documents import load_pair
from bluebellslip._internal.acceptance.ledger import (
    APPLY,
    build_transaction,
    read_change,
    read_head,
)
from bluebellslip._internal.acceptance.merge import merge_documents
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
_BASE_PAUSE: Final = dt.timedelta(milliseconds=50)
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
        The platform.
    audit
        Receives refused changes; accepted ones carry their row themselves.
    distribution
        Spreads accepted changes.
    clock
        Dates the audit rows.
    random_source
        Source of the jitter between attempts.
    counters
        Receives ``changes`` by outcome.
    base_pause
        Bound of the first pause between attempts; it doubles each time.
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
        base_pause: dt.timedelta = _BASE_PAUSE,
    ) -> None:
        self._table = table
        self._objects = objects
        self._audit = audit
        self._distribution = distribution
        self._clock = clock
        self._random = random_source
        self._counters = counters
        self._base_pause = base_pause

    async def submit(
        self, request: ChangeRequest
    ) -> Result[Accepted, BluebellError]:
        """Accept a change as a whole, or say why not; audited either way."""
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
            await self._pause(attempt)
            accepted = await self._try(submission)
            if accepted is not None:
                return accepted
            if submission.is_hopeless:
                break
        raise submission.explain()

    async def _try(self, submission: Submission) -> Accepted | None:
        submission.failure = None
        try:
            return await self._attempt(submission)
        except _PLATFORM_FAILURES as error:
            submission.failure = error
            return None

    async def _pause(self, attempt: int) -> None:
        if attempt:
            bound = self._base_pause.total_seconds() * (1 << attempt)
            await anyio.sleep(bound * self._random.random())

    async def _attempt(self, submission: Submission) -> Accepted | None:
        # The head is read first: a transaction of ours that depends on an
        # older head is dead by then, so an absent change row is final.
        head = await read_head(self._table)
        known = await read_change(self._table, submission.request.change)
        if known is not None:
            submission.check_known(known)
            return await self._replay(known)
        submission.meet_head(head)
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
        base, theirs = await load_pair(self._objects, head.row, base_revision)
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
        await self._put(digest, body)
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
            submission.unsettled = head.version
            raise
        if outcome.is_error():
            return None
        self._distribution.offer(body, digest)
        return accepted

    async def _put(self, digest: str, body: bytes) -> None:
        try:
            await self._objects.put(digest, body)
        except (PlatformOutcomeUnknownError, PlatformGarbledError):
            if await self._objects.get(digest) != body:
                raise

    async def _replay(self, known: ChangeRow) -> Accepted:
        """Answer for a change of before, and spread it once more.

        The node that accepted it may have died before it told the others.
        """
        try:
            body = await self._objects.get(known.digest)
        except _PLATFORM_FAILURES:
            body = None
        if body is not None:
            self._offer_again(body, known.digest)
        return Accepted(known.revision, known.digest, replayed=True)

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
                action=APPLY,
                subject=request.change,
                outcome=AuditOutcome.REFUSED,
                detail=str(error),
            )
        )


def _build_conflict(
    submission: Submission, head: Head, found: str
) -> ConflictError:
    return ConflictError(
        'Another change came first and touches the same.',
        context={
            'base': str(submission.base),
            'revision': str(head.row.revision),
            'change': head.row.change,
            'found': found,
        },
        hint='Read the newest configuration and make the change again.',
    )
