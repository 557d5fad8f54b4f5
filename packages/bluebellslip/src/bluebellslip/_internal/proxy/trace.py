"""What was decided for one request, for the log."""

import dataclasses
import datetime as dt
import zlib
from typing import Final

from bluebellslip._internal.fleet.peer_table import Endpoint

_MILLISECOND: Final = dt.timedelta(milliseconds=1)
# One request in this many is told of although nothing was special about it.
SAMPLE_EVERY: Final = 64


def is_sampled(request_id: str) -> bool:
    """Tell whether a request is told of; all nodes choose the same ones."""
    return zlib.crc32(request_id.encode('latin-1')) % SAMPLE_EVERY == 0


def to_ms(duration: dt.timedelta) -> float:
    """Return a time in milliseconds, rounded for the log."""
    return round(duration / _MILLISECOND, 1)


@dataclasses.dataclass(slots=True)
class AttemptTrace:
    """One server that was asked, and why it.

    Parameters
    ----------
    node
        The node beside the server.
    server
        The server's id.
    version
        Version of its software.
    load
        Requests at it and in its queue by the newest report.
    load_age_ms
        Age of that report.
    patience_ms
        Longest wait that was asked for.
    begun
        Time on the node's clock.
    outcome
        What came of it.
    spent_ms
        How long it took.
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

    @classmethod
    def from_endpoint(
        cls, endpoint: Endpoint, max_wait: dt.timedelta, now: dt.timedelta
    ) -> 'AttemptTrace':
        """Begin the trace of an attempt."""
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
        """Return the fields of a log line."""
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
        }

    def end(self, outcome: str, now: dt.timedelta) -> None:
        """Note what came of the attempt."""
        self.outcome = outcome
        self.spent_ms = to_ms(now - self.started)


@dataclasses.dataclass(slots=True)
class RequestTrace:
    """One request of a caller.

    Parameters
    ----------
    request_id
        What the caller named it.
    begun
        Time on the node's clock when its head was read.
    route
        The route; empty if none was found.
    service
        The service that it was dealt to.
    revision
        Revision of the configuration that decided.
    time_left_ms
        Time that it had at its arrival.
    attempts
        The servers that were asked.
    """

    request_id: str
    started: dt.timedelta
    route: str = ''
    service: str = ''
    revision: int = 0
    time_left_ms: float = 0
    attempts: list[AttemptTrace] = dataclasses.field(default_factory=list)

    def describe(self, outcome: str, spent: dt.timedelta) -> dict[str, object]:
        """Return the fields of a log line."""
        return {
            'request': self.request_id,
            'route': self.route,
            'service': self.service,
            'revision': self.revision,
            'outcome': outcome,
            'spent_ms': to_ms(spent),
            'time_left_ms': self.time_left_ms,
            'attempts': [
                attempt.describe(self.started) for attempt in self.attempts
            ],
        }
