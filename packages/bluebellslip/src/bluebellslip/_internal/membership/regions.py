"""Signs of life from other regions."""

import datetime as dt
from typing import Final

from bluebellslip._internal.membership.times import MembershipTimes

_MISSES: Final = 3  # failed probes in a row


class RegionWatch:
    """Which regions are silent as a whole.

    A region that is silent is marked as cut. Its members are neither
    suspected nor forgotten, since most likely they are well and only the
    link is not.

    Parameters
    ----------
    times
        Periods of membership.
    """

    def __init__(self, times: MembershipTimes) -> None:
        self._times = times
        self._heard: dict[str, dt.timedelta] = {}
        self._first_missed: dict[str, dt.timedelta] = {}
        self._misses: dict[str, int] = {}

    def hear(self, region: str, now: dt.timedelta) -> None:
        """Note a message from a region."""
        self._heard[region] = now
        self._first_missed.pop(region, None)
        self._misses.pop(region, None)

    def miss(self, region: str, now: dt.timedelta) -> None:
        """Note a failed probe into a region."""
        self._first_missed.setdefault(region, now)
        self._misses[region] = self._misses.get(region, 0) + 1

    def shift(self, now: dt.timedelta) -> None:
        """Forget all silence, since the node itself was paused."""
        self._heard = dict.fromkeys(self._heard, now)
        self._first_missed.clear()
        self._misses.clear()

    def heard_since(self, region: str, moment: dt.timedelta) -> bool:
        """Tell whether a region gave a sign after a moment."""
        return self._heard.get(region, dt.timedelta(-1)) > moment

    def is_cut(self, region: str, now: dt.timedelta) -> bool:
        """Tell whether a region is silent as a whole."""
        if self._misses.get(region, 0) < _MISSES:
            return False
        return self._silence(region, now) > self._times.region_silence

    def lost(self, now: dt.timedelta) -> tuple[str, ...]:
        """Return regions that were silent too long to be remembered."""
        return tuple(
            region
            for region in self._misses
            if self._silence(region, now) > self._times.region_memory
        )

    def _silence(self, region: str, now: dt.timedelta) -> dt.timedelta:
        return now - self._heard.get(region, self._first_missed[region])
