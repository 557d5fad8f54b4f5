"""Guards against a thundering herd on servers with outdated load reports.

All nodes read the same reports of the same servers. If each chose the best
server, all would send to the same one until the next report. The simulation
runs a service at high load: each node selects servers by reports whose interval
is longer than most requests take, and by the responses and refusals that it
receives itself.
"""

import dataclasses
import datetime as dt
import heapq
from random import Random
from typing import Final

import pytest

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.proxy import (
    server_selection as server_selection_module,
)
from bluebellslip._internal.proxy.attempts import MIN_REFUSAL_LIMIT
from bluebellslip._internal.proxy.server_selection import (
    Requirements,
    ServerSelector,
)
from lib.fleet import LOCAL_LOCALITY, MS, ROUTE, make_endpoint

_SERVERS: Final = 12
_SLOTS: Final = 9  # of each server
_NODES: Final = 18
_REPORT_INTERVAL: Final = 800 * MS
_REQUIREMENTS: Final = Requirements(ROUTE, 2, 1273 * MS, 3184 * MS)
# Speeds of the servers; at 0.5, a request takes twice as long as at 1.0.
_SPEEDS: Final = (0.5, 1.0, 1.0, 1.5)
_BASE_HOLD_TIME: Final = 430 * MS


@dataclasses.dataclass
class RequestCounts:
    """Counts of the requests of a simulation by outcome.

    ``refused`` counts the requests that no tried server accepted,
    ``first_refusals`` those that the first one refused.
    """

    served: int = 0
    refused: int = 0
    first_refusals: int = 0


class ServiceSimulation:
    """Simulates the servers of a service and the nodes of its callers."""

    def __init__(self, seed: int) -> None:
        self.clock = ManualClock()
        self.random = Random(seed)
        self.busy = [0 for _ in range(_SERVERS)]
        self.completions: list[tuple[dt.timedelta, int, Endpoint]] = []
        self.endpoints_by_node = [
            [self._make_endpoint(number) for number in range(_SERVERS)]
            for _ in range(_NODES)
        ]
        self.selectors = [
            ServerSelector(self.clock, Random(node), LOCAL_LOCALITY, 0.05)
            for node in range(_NODES)
        ]

    def run(self, load: float, seconds: float) -> RequestCounts:
        counts = RequestCounts()
        total_speed = sum(self._get_speed(number) for number in range(_SERVERS))
        rate = load * _SLOTS * total_speed / _BASE_HOLD_TIME.total_seconds()
        end = dt.timedelta(seconds=seconds)
        last_report = dt.timedelta()
        while self.clock.elapsed() < end:
            gap = dt.timedelta(seconds=self.random.expovariate(rate))
            self.clock.advance(gap)
            self._finish_requests()
            if self.clock.elapsed() - last_report >= _REPORT_INTERVAL:
                last_report = self.clock.elapsed()
                self._update_reports()
            self._send(counts)
        return counts

    def _get_speed(self, number: int) -> float:
        return _SPEEDS[number % len(_SPEEDS)]

    def _make_endpoint(self, number: int) -> Endpoint:
        hold_time = _BASE_HOLD_TIME / self._get_speed(number)
        return make_endpoint(f'{number}', hold_time=hold_time, slots=_SLOTS)

    def _send(self, counts: RequestCounts) -> None:
        node = self.random.randrange(_NODES)
        remaining = list(self.endpoints_by_node[node])
        for attempt in range(MIN_REFUSAL_LIMIT):
            chosen = self.selectors[node].choose(remaining, _REQUIREMENTS)
            assert chosen is not None
            if self._admit(chosen.endpoint):
                counts.served += 1
                return
            counts.first_refusals += attempt == 0
            remaining.remove(chosen.endpoint)
        counts.refused += 1

    def _admit(self, endpoint: Endpoint) -> bool:
        number = int(endpoint.node)
        endpoint.load.own_in_flight = endpoint.in_flight
        endpoint.load.received_at = self.clock.elapsed()
        if self.busy[number] >= _SLOTS:
            endpoint.load.in_use = _SLOTS
            return False
        self.busy[number] += 1
        endpoint.in_flight += 1
        factor = 0.7 + 0.6 * self.random.random()
        until = self.clock.elapsed() + endpoint.load.hold_time * factor
        heapq.heappush(
            self.completions, (until, len(self.completions), endpoint)
        )
        return True

    def _finish_requests(self) -> None:
        while (
            self.completions and self.completions[0][0] <= self.clock.elapsed()
        ):
            _, _, endpoint = heapq.heappop(self.completions)
            number = int(endpoint.node)
            self.busy[number] -= 1
            endpoint.in_flight -= 1
            endpoint.load.in_use = self.busy[number]
            endpoint.load.own_in_flight = endpoint.in_flight
            endpoint.load.received_at = self.clock.elapsed()

    def _update_reports(self) -> None:
        for endpoints in self.endpoints_by_node:
            for endpoint in endpoints:
                endpoint.load.in_use = self.busy[int(endpoint.node)]
                endpoint.load.own_in_flight = endpoint.in_flight
                endpoint.load.received_at = self.clock.elapsed()


@pytest.mark.parametrize('seed', range(3))
def test_nodes_with_outdated_reports_spread_their_requests(
    seed: int,
) -> None:
    counts = ServiceSimulation(seed).run(load=0.75, seconds=20)
    # With a quarter of the slots free, at most one request in a hundred may
    # be refused by four servers in a row.
    assert counts.refused * 100 <= counts.served


def test_weighted_choice_is_refused_less_than_choosing_the_best(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A negative ``SPREAD_LIMIT`` disables the draw by free slots."""
    weighted = ServiceSimulation(7).run(load=0.75, seconds=20)
    monkeypatch.setattr(server_selection_module, 'SPREAD_LIMIT', -1)
    best_only = ServiceSimulation(7).run(load=0.75, seconds=20)
    assert weighted.first_refusals * 2 < best_only.first_refusals
