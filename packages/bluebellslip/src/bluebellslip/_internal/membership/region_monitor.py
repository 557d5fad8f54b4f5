"""Detection of partitioned regions."""

import datetime as dt
from typing import Final

from bluebellslip._internal.membership.times import MembershipTimes

_MIN_FAILED_PROBES: Final = 3  # in a row, for a region to be partitioned


class RegionMonitor:
    """Tracks which regions are partitioned from this node.

    A region counts as partitioned when ``_MIN_FAILED_PROBES`` probes in a row
    have failed and no message from it has arrived for ``region_timeout``. Its
    members are neither suspected nor, until ``lost_region_timeout``, declared
    dead, since most likely they are alive and only the link has failed.

    Parameters
    ----------
    times
        Intervals and timeouts of membership.
    """

    def __init__(self, times: MembershipTimes) -> None:
        self._times = times
        self._last_contact: dict[str, dt.timedelta] = {}
        self._first_failed: dict[str, dt.timedelta] = {}
        self._failed_probes: dict[str, int] = {}

    def record_contact(self, region: str, now: dt.timedelta) -> None:
        """Record a message from a region."""
        self._last_contact[region] = now
        self._first_failed.pop(region, None)
        self._failed_probes.pop(region, None)

    def record_failed_probe(self, region: str, now: dt.timedelta) -> None:
        """Record a failed probe of a member of a region."""
        self._first_failed.setdefault(region, now)
        self._failed_probes[region] = self._failed_probes.get(region, 0) + 1

    def reset(self, now: dt.timedelta) -> None:
        """Restart the timeouts of all regions after this node was paused."""
        self._last_contact = dict.fromkeys(self._last_contact, now)
        self._first_failed.clear()
        self._failed_probes.clear()

    def has_contact_since(self, region: str, since: dt.timedelta) -> bool:
        """Return whether a region sent a message after the given time."""
        return self._last_contact.get(region, dt.timedelta(-1)) > since

    def is_partitioned(self, region: str, now: dt.timedelta) -> bool:
        """Return whether a region is partitioned from this node."""
        if self._failed_probes.get(region, 0) < _MIN_FAILED_PROBES:
            return False
        return self._measure_silence(region, now) > self._times.region_timeout

    def list_lost(self, now: dt.timedelta) -> tuple[str, ...]:
        """Return regions without contact for ``lost_region_timeout``."""
        return tuple(
            region
            for region in self._failed_probes
            if self._measure_silence(region, now)
            > self._times.lost_region_timeout
        )

    def _measure_silence(self, region: str, now: dt.timedelta) -> dt.timedelta:
        return now - self._last_contact.get(region, self._first_failed[region])
