"""What the local server reports of its load, and what this node doesn't know.

Handles slots that are taken although no request of this node holds them: by
requests that an earlier process of this node has sent, by requests that were
cut off here and still run there, and by connections that hold a slot for about
a millisecond. Such a server rejects requests for which this node counts a free
slot. Only what exceeds the node's own count is used: a report that was written
before the latest requests arrived counts too few of them.
"""

import dataclasses
import datetime as dt
import logging
import re
from typing import Final

from bluebellslip._internal.calls.metadata_headers import MetadataHeaders
from bluebellslip._internal.calls.response_reader import ResponseHead
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.servers import Lifetime
from bluebellslip._internal.proxy.server_slowness import ServerSlowness

logger = logging.getLogger(__name__)

# Running and waiting requests, slots, and possibly the slowness in percent.
_LOAD_PATTERN: Final = re.compile(
    rb'(\d{1,6}),(\d{1,6}),(\d{1,6})(?:,(\d{1,6}))?'
)
# Requests that this node doesn't know are assumed to end one after another
# within the mean hold time, and within these bounds. The next report replaces
# the assumption, so a bound matters only while none comes. A node that has just
# started has no measured hold time: with a lower bound of 20 ms, it sent as
# many requests to a full server as without reports (6 and 7 rejected).
MIN_UNKNOWN_TIME: Final = dt.timedelta(milliseconds=100)
MAX_UNKNOWN_TIME: Final = dt.timedelta(milliseconds=500)
# Least time between two log lines: the load changes many times a second.
_LOG_INTERVAL: Final = dt.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The load of a server as it reports it itself.

    Parameters
    ----------
    running
        Number of requests that it runs.
    waiting
        Number of requests that wait at the server.
    slots
        Number of requests that it runs at once.
    slowness
        Time that it takes, in percent of the usual time; none if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: int | None = None

    def count_unknown(self, in_use: int, slots: int) -> int:
        """Return the number of slots taken by requests of nobody known.

        Parameters
        ----------
        in_use
            Number of slots that requests of this node hold.
        slots
            Number of the server's slots as this node knows it.
        """
        free = min(self.slots, slots) - self.running - self.waiting
        return max(0, slots - max(0, free) - in_use)


def parse_load(text: bytes) -> ReportedLoad | None:
    """Return a reported load, or none if it is invalid.

    A server without slots, or one that runs more requests than it has slots, is
    no valid report.
    """
    match = _LOAD_PATTERN.fullmatch(text.strip())
    if match is None:
        return None
    running, waiting, slots = (int(digits) for digits in match.groups()[:3])
    if not slots or running > slots:
        return None
    slowness = match[4]
    return ReportedLoad(
        running, waiting, slots, None if slowness is None else int(slowness)
    )


def choose_unknown_time(hold_time: dt.timedelta) -> dt.timedelta:
    """Return how long requests that this node doesn't know may still run.

    Parameters
    ----------
    hold_time
        Mean time that a request holds its slot.
    """
    return min(MAX_UNKNOWN_TIME, max(MIN_UNKNOWN_TIME, hold_time))


class ServerLoadReports:
    """The reports of the local server's load in its responses.

    ``latest`` is the latest valid one of its present lifetime, none before;
    ``slowness`` is how slow it says that it is.

    Parameters
    ----------
    clock
        The node's clock.
    names
        Names of the headers.
    """

    def __init__(self, clock: Clock, names: MetadataHeaders) -> None:
        self._clock = clock
        self._names = names
        self._logged_at = -_LOG_INTERVAL
        self.latest: ReportedLoad | None = None
        self.slowness = ServerSlowness(clock)

    def begin_lifetime(self) -> None:
        """Forget what an earlier lifetime has reported."""
        self.latest = None
        self.slowness.begin_lifetime()

    def count_unknown(
        self, lifetime: Lifetime, head: ResponseHead, in_use: int, slots: int
    ) -> int | None:
        """Return the number of slots taken by requests of nobody known.

        None if the response has no valid report.

        Parameters
        ----------
        lifetime
            The server's lifetime.
        head
            Head of a response of the server.
        in_use
            Number of slots that requests of this node hold, with that of the
            response.
        slots
            Number of the server's slots as this node knows it.
        """
        fields = head.fields
        was_refused = self._names.not_run in fields
        if not was_refused and self._names.signature not in fields:
            return None
        report = parse_load(fields.get(self._names.load, b''))
        if report is None:
            return None
        self.latest = report
        self.slowness.record(report.slowness)
        unknown = report.count_unknown(in_use - was_refused, slots)
        if unknown:
            self._log(lifetime, report, in_use)
        return unknown

    def _log(
        self, lifetime: Lifetime, report: ReportedLoad, in_use: int
    ) -> None:
        now = self._clock.elapsed()
        if now - self._logged_at < _LOG_INTERVAL:
            return
        self._logged_at = now
        logger.info(
            'server_load_differs',
            extra={
                'server': lifetime.server,
                'running': report.running,
                'waiting': report.waiting,
                'slots': report.slots,
                'in_use': in_use,
            },
        )
