"""Probes that are made on behalf of other members."""

import dataclasses
import datetime as dt

from bluebellslip._internal.membership.times import MAX_FORWARDED_PROBES
from bluebellslip._internal.models.identity import Address


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequester:
    """The member that requested a probe.

    ``number`` is the requester's own number of the probe.
    """

    address: Address
    number: int
    started_at: dt.timedelta


class ForwardedProbes:
    """Outstanding probes on behalf of other members, bounded in number.

    Parameters
    ----------
    timeout
        Time after which the requester no longer uses an acknowledgement.
    """

    def __init__(self, timeout: dt.timedelta) -> None:
        self._timeout = timeout
        self._outstanding: dict[int, ProbeRequester] = {}

    def add(
        self,
        number: int,
        address: Address,
        requester_number: int,
        now: dt.timedelta,
    ) -> bool:
        """Add a probe; return false when too many are outstanding."""
        self._expire(now)
        if len(self._outstanding) >= MAX_FORWARDED_PROBES:
            return False
        self._outstanding[number] = ProbeRequester(
            address, requester_number, now
        )
        return True

    def pop(self, number: int) -> ProbeRequester | None:
        """Remove a probe; return its requester, or None if there is none."""
        return self._outstanding.pop(number, None)

    def _expire(self, now: dt.timedelta) -> None:
        self._outstanding = {
            number: requester
            for number, requester in self._outstanding.items()
            if now - requester.started_at < self._timeout
        }
