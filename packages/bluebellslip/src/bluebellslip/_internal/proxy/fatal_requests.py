"""Remembers requests under which servers ended, to send them to no more.

Handles a request that ends every server that runs it and comes again at any
node. Servers also end for other reasons, and take all requests with them that
they run. What tells the cause from those beside it is that it never completes:
a request is fatal once several lives of servers have ended while they ran it,
and none has completed it.

Each node records what ended beside it, and beacons carry it to all others.
What nodes know is merged by union, so late and repeated beacons do no harm.
"""

import datetime as dt
import logging
from collections.abc import Callable, Collection, Iterable
from typing import Final

from bluebellslip._internal.fleet.beacons import FatalRequestBeacon
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.counters import Counters
from bluebellslip._internal.proxy.suspicions import (
    BEACONS_PER_CHANGE,
    CLEARED_TIME,
    QUARANTINE_TIME,
    CompletedRequests,
    RequestFingerprint,
    Suspicion,
    SuspicionTable,
)

logger = logging.getLogger(__name__)

# Reports in a beacon, and how many of them repeat fatal requests, so that nodes
# that start learn of them.
MAX_REPORTS_PER_BEACON: Final = 12
MAX_REPEATED_REPORTS: Final = 4
# Suspects that a log line names.
MAX_LOGGED_SUSPECTS: Final = 32
_SECOND: Final = dt.timedelta(seconds=1)


class FatalRequests:
    """The requests under which servers have ended.

    Parameters
    ----------
    clock
        The node's clock.
    counters
        Counts suspicions that are dropped for space.
    """

    def __init__(self, clock: Clock, counters: Counters) -> None:
        self._clock = clock
        self._suspicions = SuspicionTable(clock, counters)
        self._completed = CompletedRequests()
        self._listeners: list[Callable[[], None]] = []
        self._repeated = 0

    @property
    def count(self) -> int:
        """Number of requests that are refused."""
        return sum(suspicion.is_fatal for _, suspicion in self._suspicions)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call a listener when the other nodes have to be told of a change."""
        self._listeners.append(listener)

    def knows_head(self, head: int) -> bool:
        """Return whether a server has ended under a request with this head."""
        return self._suspicions.knows_head(head)

    def is_fatal(self, request: RequestFingerprint) -> bool:
        """Return whether a request is fatal; its quarantine then goes on."""
        suspicion = self._suspicions.find(request.whole)
        if suspicion is None or not suspicion.is_fatal:
            return False
        suspicion.updated_at = self._clock.elapsed()
        return True

    def is_suspected(self, request: RequestFingerprint) -> bool:
        """Return whether a server has ended under a request."""
        suspicion = self._suspicions.find(request.whole)
        return suspicion is not None and bool(suspicion.lives)

    def record_completion(self, request: RequestFingerprint) -> None:
        """Record that the local server has completed a request."""
        self._completed.add(request.whole)
        suspicion = self._suspicions.find(request.whole)
        if suspicion is not None and not suspicion.is_cleared:
            self._clear(request.whole, suspicion)
            self._notify()

    def record_end(
        self, life: int, running: Collection[RequestFingerprint]
    ) -> None:
        """Record that a life of the local server ended.

        Parameters
        ----------
        life
            Identifies the life among those of all servers.
        running
            The requests that the server was running.
        """
        suspects = [
            suspect
            for suspect in running
            if suspect.whole not in self._completed
        ]
        self._completed.clear()
        logger.warning(
            'server_ended_running',
            extra={
                'suspects': len(suspects),
                'fingerprints': [
                    f'{suspect.whole:016x}'
                    for suspect in suspects[:MAX_LOGGED_SUSPECTS]
                ],
            },
        )
        for request in suspects:
            suspicion = self._suspicions.find_or_add(
                request.head, request.whole
            )
            suspicion.beacons_due = BEACONS_PER_CHANGE
            self._add_lives(request.whole, suspicion, (life,))
        self._notify()

    def merge(self, reports: Iterable[FatalRequestBeacon]) -> None:
        """Add what another node reports."""
        changes = [self._merge_report(report) for report in reports]
        if any(changes):
            self._notify()

    def make_reports(self) -> tuple[FatalRequestBeacon, ...]:
        """Return what a beacon tells other nodes, what matters most first."""
        self._suspicions.expire()
        new = []
        repeated = []
        for whole, suspicion in self._suspicions:
            if suspicion.beacons_due:
                new.append((whole, suspicion))
            elif suspicion.is_fatal:
                repeated.append((whole, suspicion))
        new.sort(key=_rank_new)
        if repeated:
            self._repeated = (self._repeated + 1) % len(repeated)
            repeated = repeated[self._repeated :] + repeated[: self._repeated]
        reported = new + repeated[:MAX_REPEATED_REPORTS]
        now = self._clock.elapsed()
        return tuple(
            entry[1].make_report(entry[0], now)
            for entry in reported[:MAX_REPORTS_PER_BEACON]
        )

    def _merge_report(self, report: FatalRequestBeacon) -> bool:
        """Merge one report; return whether other nodes have to be told."""
        age = report.age_s * _SECOND
        limit = CLEARED_TIME if report.is_cleared else QUARANTINE_TIME
        if not dt.timedelta() <= age < limit:
            return False
        seen_at = self._clock.elapsed() - age
        suspicion = self._suspicions.find_or_add(report.head, report.whole)
        suspicion.updated_at = max(suspicion.updated_at, seen_at)
        if report.is_cleared:
            suspicion.clear(seen_at)
            return False
        if suspicion.is_cleared:
            return False
        if report.whole in self._completed:
            self._clear(report.whole, suspicion)
            return True
        return self._add_lives(report.whole, suspicion, report.lives)

    def _add_lives(
        self, whole: int, suspicion: Suspicion, lives: Iterable[int]
    ) -> bool:
        """Add lives; return whether the request has become fatal."""
        if not suspicion.add_lives(lives, self._clock.elapsed()):
            return False
        suspicion.beacons_due = BEACONS_PER_CHANGE
        logger.warning(
            'fatal_request_found', extra={'fingerprint': f'{whole:016x}'}
        )
        return True

    def _clear(self, whole: int, suspicion: Suspicion) -> None:
        suspicion.clear(self._clock.elapsed())
        suspicion.beacons_due = BEACONS_PER_CHANGE
        logger.info(
            'fatal_request_cleared', extra={'fingerprint': f'{whole:016x}'}
        )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()


def _rank_new(reported: tuple[int, Suspicion]) -> tuple[int, int]:
    """Order by the number of lives, then by how seldom it was reported."""
    suspicion = reported[1]
    return -len(suspicion.lives), -suspicion.beacons_due
