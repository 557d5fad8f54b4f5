"""Decides which share of a service's requests leaves the failure domain.

Handles demand that exceeds the servers of one domain while others have free
slots: waves of demand that are out of phase, and the loss of servers. The cost
of each server, by which the selection goes, counts what a request itself loses
by waiting. It leaves out that a request which joins a queue also delays those
behind it, and that all nodes of a domain read the same reports, so that they
would all leave at once and come back at once. Here the nodes of a domain move a
share of the requests, which follows the queues slowly enough for reports that
are as old as a beacon.

A domain takes no more than its free slots, divided among the domains that need
them in proportion to their queues, and a domain with a queue of its own takes
nothing.
"""

import dataclasses
import datetime as dt
from collections.abc import Callable, Sequence
from typing import Final

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import ServiceName

# Utilization up to which a domain accepts requests of others. The rest is kept
# for its own callers, whose demand may rise before the next report.
ACCEPTED_UTILIZATION: Final = 0.85
# How often the share is adjusted; reports come every 0.5 to 0.8 s.
UPDATE_INTERVAL: Final = dt.timedelta(milliseconds=200)
# Age of the reports, and of the effect of a decision in them.
REPORT_AGE: Final = dt.timedelta(milliseconds=800)
# The share for a wait as long as REPORT_AGE. A queue sums up the excess demand,
# so a share in proportion to it is stable if the product of this and the delay,
# in units of REPORT_AGE, is well below a quarter of a turn.
SHARE_PER_WAIT: Final = 0.6
# Time in which the share falls to a half once the queue is shorter; longer than
# REPORT_AGE, so that the share doesn't follow each short queue.
HALF_LIFE: Final = dt.timedelta(seconds=1)
# Most of a domain's requests that may leave it.
MAX_SHARE: Final = 0.5
# Weight of the time that a request waits: its own, and as much again for the
# requests that wait behind it.
WAIT_WEIGHT: Final = 2
_MIN_SHARE: Final = 0.005
_ZERO: Final = dt.timedelta()


@dataclasses.dataclass(frozen=True, slots=True)
class DomainLoad:
    """Load of a service's servers in one failure domain.

    Parameters
    ----------
    slots
        Requests that they process concurrently.
    demand
        Requests that they process or that wait there.
    hold_time
        Mean time that a request holds a slot.
    """

    slots: float = 0
    demand: float = 0
    hold_time: dt.timedelta = dt.timedelta()

    @property
    def queue(self) -> float:
        """Requests that have no slot."""
        return max(0, self.demand - self.slots)

    @property
    def wait(self) -> dt.timedelta:
        """Time that a request at the end of the queue waits."""
        return (
            self.hold_time * (self.queue / self.slots) if self.slots else _ZERO
        )

    @property
    def room(self) -> float:
        """Requests that it accepts from other domains."""
        return max(0, self.slots * ACCEPTED_UTILIZATION - self.demand)


def measure_domains(endpoints: Sequence[Endpoint]) -> dict[str, DomainLoad]:
    """Return the load of each failure domain by the servers' last reports."""
    loads: dict[str, DomainLoad] = {}
    for endpoint in endpoints:
        domain = endpoint.locality.failure_domain
        known = loads.get(domain, DomainLoad())
        load = endpoint.load
        slots = known.slots + load.slots
        added = load.hold_time or known.hold_time
        loads[domain] = DomainLoad(
            slots,
            known.demand + load.in_use + load.waiting,
            known.hold_time + (added - known.hold_time) * (load.slots / slots),
        )
    return loads


class SpillShare:
    """The share of one service's requests that leaves the domain.

    Parameters
    ----------
    domain
        The failure domain of this node.
    """

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._credit: float = 0
        self.value: float = 0
        self.wait = _ZERO
        self.targets: frozenset[str] = frozenset()

    def update(
        self, loads: dict[str, DomainLoad], elapsed: dt.timedelta
    ) -> None:
        """Adjust the share to new reports.

        Parameters
        ----------
        loads
            Load of each domain.
        elapsed
            Time since the last update.
        """
        own = loads.get(self._domain, DomainLoad())
        self.targets = frozenset(
            domain
            for domain, load in loads.items()
            if domain != self._domain and load.room >= 1
        )
        self.wait = own.wait
        wanted = min(
            MAX_SHARE,
            SHARE_PER_WAIT * (own.wait / REPORT_AGE),
            self.value + self._find_offer(loads, own),
        )
        kept = self.value * 0.5 ** (elapsed / HALF_LIFE)
        self.value = max(wanted, kept if kept >= _MIN_SHARE else 0)

    def draw(self) -> bool:
        """Return whether the next request leaves the domain."""
        if not self.value or not self.targets:
            return False
        self._credit += self.value
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def _find_offer(
        self, loads: dict[str, DomainLoad], own: DomainLoad
    ) -> float:
        """Return this domain's part of the room in all, per slot of its own."""
        room = sum(load.room for load in loads.values())
        queues = sum(load.queue for load in loads.values())
        return room * own.queue / queues / own.slots if queues else 0


class DomainSpill:
    """Sends a share of the requests of overloaded services to other domains.

    Parameters
    ----------
    clock
        The node's clock.
    domain
        The failure domain of this node.
    """

    def __init__(self, clock: Clock, domain: str) -> None:
        self._clock = clock
        self._domain = domain
        self._shares: dict[ServiceName, SpillShare] = {}
        self._updated_at: dict[ServiceName, dt.timedelta] = {}

    def read_shares(self) -> dict[ServiceName, float]:
        """Return the share of each service that leaves now."""
        return {
            service: share.value
            for service, share in self._shares.items()
            if share.value
        }

    def select(
        self,
        endpoints: Sequence[Endpoint],
        pays: Callable[[dt.timedelta], bool],
    ) -> Sequence[Endpoint]:
        """Return the servers among which one is selected for a request.

        Parameters
        ----------
        endpoints
            The servers that the request may be sent to.
        pays
            Returns whether leaving the domain is worth more to the request than
            it costs; the argument is the wait in the domain.

        Returns
        -------
        Sequence[Endpoint]
            Servers of other domains if the request leaves this one, otherwise
            all.
        """
        if not endpoints:
            return endpoints
        share = self._find_share(endpoints)
        if not share.draw() or not pays(share.wait * WAIT_WEIGHT):
            return endpoints
        chosen = [
            endpoint
            for endpoint in endpoints
            if endpoint.locality.failure_domain in share.targets
        ]
        return chosen or endpoints

    def _find_share(self, endpoints: Sequence[Endpoint]) -> SpillShare:
        service = endpoints[0].service
        now = self._clock.elapsed()
        share = self._shares.get(service)
        if share is None:
            share = SpillShare(self._domain)
            self._shares[service] = share
            self._updated_at[service] = now
        elapsed = now - self._updated_at[service]
        if elapsed >= UPDATE_INTERVAL:
            self._updated_at[service] = now
            share.update(measure_domains(endpoints), elapsed)
        return share
