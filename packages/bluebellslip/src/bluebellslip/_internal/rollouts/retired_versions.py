"""Versions whose order was replaced or withdrawn.

Handles the time in which their servers still run: they drain only seconds after
a roll-back. What was found about a version holds on for that time, although its
order is gone: a version that was found bad or rolled back gets no request, and
one that was still on trial only those that no other version can take.
"""

import dataclasses
import datetime as dt
import enum
from collections.abc import Iterable, Sequence
from typing import Final

from bluebellslip._internal.fleet.beacons import RetiredVersionBeacon
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import ServiceName, VersionName

# Much longer than a server takes to drain.
RETENTION: Final = dt.timedelta(minutes=10)
# Versions reported in a beacon, those of the latest orders.
MAX_REPORTED: Final = 8
_SECOND: Final = dt.timedelta(seconds=1)


@enum.unique
class RolloutEnd(enum.IntEnum):
    """What was known of a version when its order was replaced or withdrawn.

    The higher value counts if nodes differ: a completed version serves alone,
    even if a node found it bad too late to have it rolled back.
    """

    UNDECIDED = 0
    ROLLED_BACK = 1
    COMPLETED = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RetiredVersion:
    """A version whose order was replaced or withdrawn.

    Parameters
    ----------
    service
        The service.
    version
        The version that the order named.
    revision
        Revision of the order.
    end
        What was known of the version.
    """

    service: ServiceName
    version: VersionName
    revision: int
    end: RolloutEnd


@dataclasses.dataclass(frozen=True, slots=True)
class _Record:
    """A retired version, and when that was, on the node's clock."""

    retired: RetiredVersion
    retired_at: dt.timedelta


class RetiredVersions:
    """Remembers versions whose order was replaced or withdrawn.

    Parameters
    ----------
    clock
        The node's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._records: dict[ServiceName, dict[VersionName, _Record]] = {}

    def add(self, retired: RetiredVersion, age: dt.timedelta) -> None:
        """Add a version, or what else became known of it.

        Parameters
        ----------
        retired
            The version.
        age
            How long ago its order was replaced or withdrawn.
        """
        found = _Record(retired, self._clock.elapsed() - age)
        records = self._records.setdefault(retired.service, {})
        known = records.get(retired.version)
        if known is not None:
            found = _merge(known, found)
        records[retired.version] = found

    def forget(
        self, service: ServiceName, version: VersionName, revision: int
    ) -> None:
        """Forget the orders of a version from before a revision."""
        record = self._records.get(service, {}).get(version)
        if record is not None and record.retired.revision < revision:
            self._remove(service, version)

    def is_rolled_back(
        self, service: ServiceName, version: VersionName
    ) -> bool:
        """Return whether a version was found bad or rolled back."""
        return self._find_end(service, version) is RolloutEnd.ROLLED_BACK

    def select(
        self, service: ServiceName, endpoints: Sequence[Endpoint]
    ) -> Sequence[Endpoint]:
        """Return the servers of versions that may be used.

        Versions that were still on trial are among them only if there are no
        others.
        """
        if service not in self._records:
            return endpoints
        ends = [
            self._find_end(service, endpoint.version) for endpoint in endpoints
        ]
        best = max(ends, default=RolloutEnd.UNDECIDED)
        if best is RolloutEnd.ROLLED_BACK:
            best = RolloutEnd.UNDECIDED
        return [
            endpoint
            for endpoint, end in zip(endpoints, ends, strict=True)
            if end is best
        ]

    def expire(self) -> None:
        """Forget versions after ``RETENTION``."""
        oldest = self._clock.elapsed() - RETENTION
        for service, records in tuple(self._records.items()):
            for version, record in tuple(records.items()):
                if record.retired_at <= oldest:
                    self._remove(service, version)

    def make_reports(self) -> tuple[RetiredVersionBeacon, ...]:
        """Return what to report in beacons."""
        now = self._clock.elapsed()
        reports = [
            RetiredVersionBeacon(
                service=record.retired.service,
                version=record.retired.version,
                revision=record.retired.revision,
                is_completed=record.retired.end is RolloutEnd.COMPLETED,
                age_s=(now - record.retired_at) // _SECOND,
            )
            for records in self._records.values()
            for record in records.values()
            if record.retired.end is not RolloutEnd.UNDECIDED
        ]
        reports.sort(key=lambda report: report.revision, reverse=True)
        return tuple(reports[:MAX_REPORTED])

    def merge(self, reports: Iterable[RetiredVersionBeacon]) -> None:
        """Add what a peer reports."""
        for report in reports:
            age = report.age_s * _SECOND
            if age >= RETENTION:
                continue
            end = (
                RolloutEnd.COMPLETED
                if report.is_completed
                else RolloutEnd.ROLLED_BACK
            )
            self.add(
                RetiredVersion(
                    ServiceName(report.service),
                    VersionName(report.version),
                    report.revision,
                    end,
                ),
                age,
            )

    def _find_end(
        self, service: ServiceName, version: VersionName
    ) -> RolloutEnd:
        """Return how a version ended; one never on trial is as good as done."""
        record = self._records.get(service, {}).get(version)
        return RolloutEnd.COMPLETED if record is None else record.retired.end

    def _remove(self, service: ServiceName, version: VersionName) -> None:
        del self._records[service][version]
        if not self._records[service]:
            del self._records[service]


def _merge(known: _Record, found: _Record) -> _Record:
    """Return the record of the later order, or both if it is the same."""
    if known.retired.revision != found.retired.revision:
        return max(known, found, key=lambda record: record.retired.revision)
    return _Record(
        max(known.retired, found.retired, key=lambda retired: retired.end),
        min(known.retired_at, found.retired_at),
    )
