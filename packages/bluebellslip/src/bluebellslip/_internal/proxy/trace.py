"""Traces of the decisions made for a request, for the log."""

import dataclasses
import datetime as dt
import logging
import zlib
from typing import Final

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.request import InboundRequest
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.proxy.retry_budget import BudgetState

logger = logging.getLogger(__name__)

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
# One in this many requests is logged even if it was served at the first
# attempt.
SAMPLE_EVERY: Final = 64
# Longest text of a caller that is logged or sent back. Log lines and responses
# would otherwise be as long as callers like.
MAX_QUOTED_CHARS: Final = 256


def is_sampled(request_id: str) -> bool:
    """Return whether to log a request; all nodes sample the same ones."""
    return zlib.crc32(request_id.encode('latin-1')) % SAMPLE_EVERY == 0


def abbreviate(text: str) -> str:
    """Return a caller's text, or its beginning if it is long."""
    if len(text) <= MAX_QUOTED_CHARS:
        return text
    return f'{text[:MAX_QUOTED_CHARS]}... ({len(text)} characters)'


def to_ms(duration: dt.timedelta) -> float:
    """Return a duration in milliseconds, rounded for the log."""
    return round(duration / _MILLISECOND, 1)


@dataclasses.dataclass(slots=True)
class AttemptTrace:
    """One attempt at a server, with the facts that its choice was based on.

    Parameters
    ----------
    node
        The node beside the server.
    server
        The server's id.
    version
        Version of its software.
    load
        Requests running and queued at it according to the newest report.
    load_age_ms
        Age of that report in milliseconds.
    patience_ms
        Longest wait in the server's queue in milliseconds.
    started
        Time on this node's clock at which the attempt started.
    outcome
        Outcome of the attempt; ``open`` while it is running.
    spent_ms
        Duration of the attempt in milliseconds.
    decision
        Whether the request was retried after it failed, or why not; empty if
        it did not fail.
    """

    node: str
    server: str
    version: str
    load: int
    load_age_ms: float
    patience_ms: float
    started: dt.timedelta
    outcome: str = 'open'
    spent_ms: float = 0
    decision: str = ''

    @classmethod
    def from_endpoint(
        cls, endpoint: Endpoint, max_wait: dt.timedelta, now: dt.timedelta
    ) -> 'AttemptTrace':
        """Start the trace of an attempt."""
        load = endpoint.load
        return cls(
            node=endpoint.node,
            server=endpoint.lifetime.server,
            version=endpoint.version,
            load=load.in_use + load.waiting,
            load_age_ms=to_ms(now - load.received_at),
            patience_ms=to_ms(max_wait),
            started=now,
        )

    def describe(self, since: dt.timedelta) -> dict[str, object]:
        """Return the fields for the log line of the request.

        Parameters
        ----------
        since
            Time on this node's clock that the start is counted from.
        """
        return {
            'node': self.node,
            'server': self.server,
            'version': self.version,
            'load': self.load,
            'load_age_ms': self.load_age_ms,
            'patience_ms': self.patience_ms,
            'begun_ms': to_ms(self.started - since),
            'outcome': self.outcome,
            'spent_ms': self.spent_ms,
            'decision': self.decision,
        }

    def end(self, outcome: str, now: dt.timedelta) -> None:
        """Record the outcome and the duration of the attempt."""
        self.outcome = outcome
        self.spent_ms = to_ms(now - self.started)


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """Trace of one request of a caller.

    Parameters
    ----------
    request_id
        Id that the caller sent.
    started
        Time on the node's clock when its head was read.
    route
        The matching route; empty if there is none.
    service
        The service that it was routed to.
    revision
        Revision of the configuration that routed it.
    time_left_ms
        Time from its arrival to its deadline in milliseconds.
    attempts
        The attempts at servers.
    from_retry
        Whether it is a call of a server that runs a retried request.
    account
        The client account that sent it; empty if none.
    budget
        The retry budget that refused the last retry, if one did.
    """

    request_id: str
    started: dt.timedelta
    route: str = ''
    service: str = ''
    revision: int = 0
    time_left_ms: float = 0
    attempts: list[AttemptTrace] = dataclasses.field(default_factory=list)
    from_retry: bool = False
    account: str = ''
    budget: BudgetState | None = None

    @property
    def has_failed_attempt(self) -> bool:
        """Whether a server failed, or another one was tried."""
        return len(self.attempts) > 1 or any(
            attempt.decision for attempt in self.attempts
        )

    def describe(self, outcome: str, spent: dt.timedelta) -> dict[str, object]:
        """Return the fields of the request's log line."""
        return {
            'request': abbreviate(self.request_id),
            'route': self.route,
            'service': self.service,
            'account': self.account,
            'revision': self.revision,
            'outcome': outcome,
            'spent_ms': to_ms(spent),
            'time_left_ms': self.time_left_ms,
            'from_retry': self.from_retry,
            'budget': self.budget and dataclasses.asdict(self.budget),
            'attempts': [
                attempt.describe(self.started) for attempt in self.attempts
            ],
        }


class UnansweredRequestRecorder:
    """Records the requests of callers that get no response.

    Requests that are being served are left out; they have an outcome.

    Parameters
    ----------
    metadata_headers
        Names of the headers that callers use.
    counters
        Counts the requests.
    """

    def __init__(
        self, metadata_headers: MetadataHeaders, counters: Counters
    ) -> None:
        self._metadata_headers = metadata_headers
        self._counters = counters

    def __call__(self, request: InboundRequest, outcome: str) -> None:
        """Record a request and why it gets no response."""
        self._counters.add('requests_unanswered', outcome=outcome)
        request_id = request.fields.get(self._metadata_headers.request_id, b'')
        logger.info(
            'request_unanswered',
            extra={
                'request': abbreviate(request_id.decode('latin-1')),
                'target': abbreviate(request.target.decode('latin-1')),
                'outcome': outcome,
            },
        )
