"""The exchange of one node with one owner: a report at a time, and answers.

A report that gets no answer is repeated unchanged, and the owner repeats its
answer, so that loss costs time but no permissions.
"""

import dataclasses
from typing import Final

from bluebellslip._internal.accounts.quotas.messages import (
    QuotaGrant,
    QuotaReport,
)

# A few round trips between failure domains, and shorter than a request waits.
_FIRST_REPEAT: Final = 0.012
_REPEAT_FACTOR: Final = 1.5
# An owner that hasn't answered for as long gets no requests for permission.
ANSWER_TIMEOUT: Final = 0.15
# An owner that hasn't answered for as long is replaced, and tried again later.
REPLACEMENT_TIMEOUT: Final = 0.8
REPLACEMENT_TIME: Final = 3.0


@dataclasses.dataclass(slots=True)
class Exchange:
    """A report that has not been answered yet; times in seconds."""

    report: QuotaReport
    sent_at: float
    repeat_at: float
    repeat_interval: float


class OwnerLink:
    """What a node knows of an owner of a shard.

    Parameters
    ----------
    owner
        The owner's name.
    """

    def __init__(self, owner: str) -> None:
        self.owner = owner
        self.life = 0
        self.revision = 0
        self.stamp_ms = 0
        self.stamp_received_at: float = 0
        self.avoid_until: float = 0
        self._exchange: Exchange | None = None
        self._unanswered_since: float | None = None

    @property
    def is_open(self) -> bool:
        """Whether a report has not been answered yet."""
        return self._exchange is not None

    def is_responsive(self, now: float) -> bool:
        """Return whether the owner answers, as far as is known."""
        return (
            self._unanswered_since is None
            or now - self._unanswered_since < ANSWER_TIMEOUT
        )

    def start(self, report: QuotaReport, now: float) -> None:
        """Note that a report is sent now; an earlier one is given up."""
        self._exchange = Exchange(
            report, now, now + _FIRST_REPEAT, _FIRST_REPEAT
        )
        if self._unanswered_since is None:
            self._unanswered_since = now

    def repeat(self, now: float) -> QuotaReport | None:
        """Return the report if it is to be sent again now."""
        exchange = self._exchange
        if exchange is None or now < exchange.repeat_at:
            return None
        exchange.repeat_interval *= _REPEAT_FACTOR
        exchange.repeat_at = now + exchange.repeat_interval
        return exchange.report

    def check(self, now: float) -> None:
        """Avoid the owner for a while if it hasn't answered for long."""
        since = self._unanswered_since
        if since is not None and now - since > REPLACEMENT_TIMEOUT:
            self.avoid_until = now + REPLACEMENT_TIME
            self._unanswered_since = None
            self._exchange = None

    def finish(self, grant: QuotaGrant, now: float) -> Exchange | None:
        """Apply an answer, and return what it answers.

        Returns
        -------
        Exchange | None
            The report and when it was first sent; none if the answer is
            outdated.
        """
        exchange = self._exchange
        if exchange is None or exchange.report.sequence != grant.sequence:
            return None
        self._exchange = None
        self._unanswered_since = None
        if grant.owner_life != self.life or grant.owner_ms > self.stamp_ms:
            self.stamp_ms = grant.owner_ms
            # The answer may be a repeated one, so its time counts from its
            # receipt, which is later than the owner's.
            self.stamp_received_at = now
        self.life = grant.owner_life
        self.revision = grant.revision
        return exchange
