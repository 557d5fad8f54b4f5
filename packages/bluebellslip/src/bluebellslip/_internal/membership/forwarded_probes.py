"""Probes that are made on behalf of others."""

import dataclasses
import datetime as dt

from bluebellslip._internal.membership.times import MAX_FORWARDED_PROBES
from bluebellslip._internal.models.identity import Address


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequester:
    """Who wants to know, and under which number."""

    address: Address
    number: int
    started_at: dt.timedelta


class ForwardedProbes:
    """Open probes on behalf of others; at the cap, new ones are refused.

    Parameters
    ----------
    timeout
        Time after which an answer is of no use any more.
    """

    def __init__(self, timeout: dt.timedelta) -> None:
        self._timeout = timeout
        self._open: dict[int, ProbeRequester] = {}

    def add(
        self,
        number: int,
        address: Address,
        requester_number: int,
        now: dt.timedelta,
    ) -> bool:
        """Enter a probe; false at the cap."""
        self._expire(now)
        if len(self._open) >= MAX_FORWARDED_PROBES:
            return False
        self._open[number] = ProbeRequester(address, requester_number, now)
        return True

    def pop(self, number: int) -> ProbeRequester | None:
        """Return who asked for a probe, once."""
        return self._open.pop(number, None)

    def _expire(self, now: dt.timedelta) -> None:
        self._open = {
            number: requester
            for number, requester in self._open.items()
            if now - requester.started_at < self._timeout
        }
