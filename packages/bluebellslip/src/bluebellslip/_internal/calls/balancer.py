"""Load balancing by calls in flight, reported load and recent failures."""

import dataclasses
import datetime as dt
from collections.abc import Sequence
from random import Random
from typing import Final

from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.kernel.directory import Endpoint
from bluebellslip._internal.models.identity import Locality, NodeId

SLOW_START_DURATION: Final = dt.timedelta(seconds=10)
MIN_SLOW_START_WEIGHT: Final = 0.1
FAILURES_TO_EJECT: Final = 5
MIN_EJECTION_DURATION: Final = dt.timedelta(seconds=1)
MAX_EJECTION_DURATION: Final = dt.timedelta(seconds=30)
MAX_EJECTED_SHARE: Final = 0.5
SPILLOVER_LOAD: Final = 0.8
MIN_RESTART_STEP: Final = 1000  # increments of the incarnation
LOAD_HINT_LIFETIME: Final = dt.timedelta(seconds=1)
_SUSPECT_COST_FACTOR: Final = 2.0
_MAX_EJECTION_DOUBLINGS: Final = 5


@dataclasses.dataclass(slots=True)
class _EndpointRecord:
    """State that this node keeps for an endpoint.

    ``failures`` counts consecutive failures since the latest ejection,
    ``ejections`` counts ejections since the latest success. ``hint`` is the
    latest reported load, a share of the slots. Times are on the node's clock.
    """

    incarnation: int
    first_seen: dt.timedelta
    in_flight: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: dt.timedelta = dt.timedelta()
    hint: float = 0
    hint_at: dt.timedelta = dt.timedelta()

    def predates_restart(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint has restarted since the record was made.

        A node that refutes a suspicion raises its incarnation only by one,
        so only a step above ``MIN_RESTART_STEP`` counts as a restart.
        """
        return endpoint.incarnation > self.incarnation + MIN_RESTART_STEP


class Balancer:
    """Chooses an endpoint by power of two choices and ejects failing ones.

    Parameters
    ----------
    clock
        The node's clock.
    random_source
        Random source for the two choices.
    locality
        The node's own locality.
    """

    def __init__(
        self, clock: Clock, random_source: Random, locality: Locality
    ) -> None:
        self._clock = clock
        self._random = random_source
        self._locality = locality
        self._records: dict[NodeId, _EndpointRecord] = {}

    def pick(self, candidates: Sequence[Endpoint]) -> Endpoint | None:
        """Choose a server, or return None if there is no candidate.

        Prefers servers in the node's own failure domain, then other servers
        in the node's region. If the server picked from each group has a load
        of at least ``SPILLOVER_LOAD``, locality is ignored.
        """
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        now = self._clock.elapsed()
        healthy = self._exclude_ejected(candidates, now)
        best: Endpoint | None = None
        for tier in self._group_by_locality(healthy):
            best = self._pick_of_two(tier, now)
            if self._occupancy(best, now) < SPILLOVER_LOAD:
                return best
        return self._pick_of_two(healthy, now)

    def begin(self, endpoint: Endpoint) -> None:
        """Count a call that is sent to a server."""
        self._find_or_create(endpoint).in_flight += 1

    def end(self, endpoint: Endpoint, *, failed: bool | None) -> None:
        """Count the end of a call, and eject a server that keeps failing.

        ``failed`` is None if the outcome says nothing about the server.
        """
        record = self._find_or_create(endpoint)
        record.in_flight -= 1
        if failed is None:
            return
        if not failed:
            record.failures = 0
            record.ejections = 0
            return
        record.failures += 1
        if record.failures >= FAILURES_TO_EJECT:
            self._eject(record)

    def record_load(self, endpoint: Endpoint, load: float) -> None:
        """Record a reported load, as a share of the server's slots."""
        record = self._find_or_create(endpoint)
        record.hint = min(1, max(0, load))
        record.hint_at = self._clock.elapsed()

    def is_ejected(self, endpoint: Endpoint) -> bool:
        """Return whether a server is ejected because of failures."""
        record = self._find_or_create(endpoint)
        return self._clock.elapsed() < record.ejected_until

    def forget(self, node: NodeId) -> None:
        """Drop the record of a removed server unless it has calls in flight."""
        record = self._records.get(node)
        if record is not None and record.in_flight == 0:
            del self._records[node]

    def _find_or_create(self, endpoint: Endpoint) -> _EndpointRecord:
        record = self._records.get(endpoint.node)
        if record is None or record.predates_restart(endpoint):
            record = _EndpointRecord(
                endpoint.incarnation, self._clock.elapsed()
            )
            self._records[endpoint.node] = record
        return record

    def _eject(self, record: _EndpointRecord) -> None:
        doublings = min(record.ejections, _MAX_EJECTION_DOUBLINGS)
        duration = min(
            MAX_EJECTION_DURATION, MIN_EJECTION_DURATION * 2**doublings
        )
        record.ejected_until = self._clock.elapsed() + duration
        record.ejections += 1
        record.failures = 0

    def _exclude_ejected(
        self, candidates: Sequence[Endpoint], now: dt.timedelta
    ) -> Sequence[Endpoint]:
        """Return the servers not ejected, or all if too many are ejected."""
        healthy = [
            candidate
            for candidate in candidates
            if now >= self._find_or_create(candidate).ejected_until
        ]
        ejected = len(candidates) - len(healthy)
        if ejected > len(candidates) * MAX_EJECTED_SHARE:
            return candidates
        return healthy

    def _group_by_locality(
        self, candidates: Sequence[Endpoint]
    ) -> list[list[Endpoint]]:
        same_domain: list[Endpoint] = []
        same_region: list[Endpoint] = []
        for candidate in candidates:
            if candidate.locality == self._locality:
                same_domain.append(candidate)
            elif candidate.locality.region == self._locality.region:
                same_region.append(candidate)
        return [tier for tier in (same_domain, same_region) if tier]

    def _pick_of_two(
        self, candidates: Sequence[Endpoint], now: dt.timedelta
    ) -> Endpoint:
        if len(candidates) == 1:
            return candidates[0]
        first = self._random.randrange(len(candidates))
        step = 1 + self._random.randrange(len(candidates) - 1)
        first_choice = candidates[first]
        second_choice = candidates[(first + step) % len(candidates)]
        if self._cost(second_choice, now) < self._cost(first_choice, now):
            return second_choice
        return first_choice

    def _occupancy(self, endpoint: Endpoint, now: dt.timedelta) -> float:
        record = self._find_or_create(endpoint)
        freshness = max(0, 1 - (now - record.hint_at) / LOAD_HINT_LIFETIME)
        return (
            record.in_flight / endpoint.backend.slots + record.hint * freshness
        )

    def _cost(self, endpoint: Endpoint, now: dt.timedelta) -> float:
        slow_start_progress = (
            now - self._find_or_create(endpoint).first_seen
        ) / SLOW_START_DURATION
        weight = min(1.0, max(MIN_SLOW_START_WEIGHT, slow_start_progress))
        new_call = 1 / endpoint.backend.slots
        cost = (self._occupancy(endpoint, now) + new_call) / weight
        return cost * _SUSPECT_COST_FACTOR if endpoint.suspect else cost
