"""Rate-limited audit rows for refused actions.

Accepted actions are audited by the ports that carry them out, in the same
transaction.
"""

import dataclasses
import datetime as dt
from typing import Final

from bluebellslip._internal.exceptions import BluebellError, NotFoundError
from bluebellslip._internal.kernel.context import Context
from bluebellslip._internal.kernel.services import AuditTrail
from bluebellslip._internal.models.rows import AuditOutcome, AuditRow

_MAX_BURST_ROWS: Final = 5
_REFILL_TIME_PER_ROW: Final = dt.timedelta(seconds=10)
_MAX_DETAIL_CHARS: Final = 500


@dataclasses.dataclass(slots=True)
class _RefusalBucket:
    """The audit rows still allowed for a token holder's refused calls.

    ``suppressed`` counts the rows left out since the last admitted one;
    ``refilled_at`` is a reading of ``Clock.elapsed``.
    """

    available: float
    refilled_at: dt.timedelta
    suppressed: int = 0


class RefusalRateLimiter:
    """Limits the rate of audit rows for refused calls, per token holder.

    Each holder has a token bucket, and all unauthenticated callers share one.
    The platform's table accepts only a few hundred writes per second for the
    whole mesh, and refused calls must not use them up.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _RefusalBucket] = {}

    def admit(self, who: str, now: dt.timedelta) -> int | None:
        """Return how many rows were suppressed since the last admitted one.

        None means that this row exceeds the rate and must be suppressed.
        """
        bucket = self._buckets.setdefault(
            who, _RefusalBucket(_MAX_BURST_ROWS, now)
        )
        bucket.available = min(
            _MAX_BURST_ROWS,
            bucket.available
            + (now - bucket.refilled_at) / _REFILL_TIME_PER_ROW,
        )
        bucket.refilled_at = now
        if bucket.available < 1:
            bucket.suppressed += 1
            return None
        bucket.available -= 1
        suppressed = bucket.suppressed
        bucket.suppressed = 0
        return suppressed


class Auditor:
    """Writes audit rows for refused calls.

    Parameters
    ----------
    context
        The node's shared state. Without an audit trail, rows are only counted
        as lost.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._rate_limiter = RefusalRateLimiter()

    async def record_refusal(
        self, who: str, action: str, subject: str, error: BluebellError
    ) -> None:
        """Record a refused action, unless the holder's rate is exceeded."""
        suppressed = self._rate_limiter.admit(
            who, self._context.clock.elapsed()
        )
        if suppressed is None:
            self._context.counters.add('admin_audit_suppressed')
            return
        detail = f'{error.kind}: {error}'
        if suppressed:
            detail = f'{suppressed} more refused before; {detail}'
        await self._record(who, action, subject, detail)

    async def _record(
        self, who: str, action: str, subject: str, detail: str
    ) -> None:
        row = AuditRow(
            at=self._context.clock.now(),
            who=who,
            action=action,
            subject=subject,
            outcome=AuditOutcome.REFUSED,
            revision=self._context.applied.revision,
            detail=detail[:_MAX_DETAIL_CHARS],
        )
        try:
            trail = self._context.ports.get(AuditTrail)
        except NotFoundError:
            self._context.counters.add('admin_audit_lost')
            return
        if not await trail.record(row):
            self._context.counters.add('admin_audit_lost')
