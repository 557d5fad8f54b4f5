"""Probes that are made on behalf of others."""

import dataclasses
import datetime as dt

from bluebellslip._internal.membership.times import FORWARD_LIMIT
from bluebellslip._internal.models.identity import Address


@dataclasses.dataclass(frozen=True, slots=True)
class Requester:
    """Who wants to know, and under which number."""

    address: Address
    number: int
    since: dt.timedelta


class Forwards:
    """Open probes on behalf of others; at the cap, new ones are refused.

    Parameters
    ----------
    period
        Time after which an answer is of no use any more.
    """

    def __init__(self, period: dt.timedelta) -> None:
        self._period = period
        self._open: dict[int, Requester] = {}

    def begin(
        self, number: int, address: Address, theirs: int, now: dt.timedelta
    ) -> bool:
        """Enter a probe; false at the cap."""
        self._expire(now)
        if len(self._open) >= FORWARD_LIMIT:
            return False
        self._open[number] = Requester(address, theirs, now)
        return True

    def finish(self, number: int) -> Requester | None:
        """Return who asked for a probe, once."""
        return self._open.pop(number, None)

    def _expire(self, now: dt.timedelta) -> None:
        self._open = {
            number: requester
            for number, requester in self._open.items()
            if now - requester.since < self._period
        }
