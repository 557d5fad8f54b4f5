"""Replays of the choice of a server: quality under trouble, and cost.

Run as ``PYTHONPATH=tests python -m bench.choices``. Requests of many nodes meet
the servers of one service in virtual time; reports reach the nodes at an
interval. Costs are printed as microseconds, and compared within one run only.
"""

import dataclasses
import datetime as dt
import functools
import heapq
import itertools
import math
import time
from collections import Counter, deque
from collections.abc import Callable
from random import Random
from typing import Final

from bench.choice_policies import POLICIES, ChoicePolicy, ServiceView
from bench.results import Scalar, print_rows, write_results
from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import ManualClock
from bluebellslip._internal.models.identity import Locality
from bluebellslip._internal.proxy.server_selection import Requirements
from lib.fleet import ROUTE, make_endpoint

SEEDS: Final = (1, 2)
REPORT_INTERVALS_S: Final = (0.5, 3.0)
COST_SIZES: Final = (5, 31, 100, 1000)
_COST_ROUNDS: Final = 200
_SERVERS: Final = 50
_CALLERS: Final = 15
_DOMAINS: Final = 'abcde'
_SLOTS: Final = 6
_HOLD: Final = dt.timedelta(milliseconds=300)
_OBJECTIVE: Final = dt.timedelta(seconds=1)
_DEADLINE: Final = dt.timedelta(seconds=4)
_MAX_VISITS: Final = 4
_SECONDS: Final = 16.0
_TROUBLE_S: Final = (4.0, 10.0)
# Time until the nodes stop using a server that is gone.
_SILENCE: Final = dt.timedelta(seconds=1.7)
_SECOND: Final = dt.timedelta(seconds=1)
_MS: Final = dt.timedelta(milliseconds=1)


@dataclasses.dataclass(slots=True)
class Server:
    """A server; ``slowness`` multiplies the time of its requests."""

    number: int
    in_use: int = 0
    queue: deque['Work'] = dataclasses.field(default_factory=deque)
    slowness: float = 1
    failure_rate: float = 0
    is_gone: bool = False
    served: int = 0


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """A request and its visits."""

    caller: int
    arrived: dt.timedelta
    tried: set[str] = dataclasses.field(default_factory=set)
    endpoint: Endpoint | None = None
    give_up_at: dt.timedelta = dt.timedelta()


Event = Callable[[], None]
Trouble = Callable[['ChoiceReplay', bool], None]
TROUBLES: Final[dict[str, Trouble]] = {}


def trouble(name: str) -> Callable[[Trouble], Trouble]:
    """Return a decorator that registers a trouble under a name.

    It is called at the begin and at the end of the trouble.
    """
    return functools.partial(_register, name)


def _register(name: str, function: Trouble) -> Trouble:
    TROUBLES[name] = function
    return function


@trouble('none')
def leave_calm(replay: 'ChoiceReplay', begins: bool) -> None:
    """Change nothing."""


@trouble('burst')
def burst(replay: 'ChoiceReplay', begins: bool) -> None:
    """Offer 1.6 times what the servers can do."""
    replay.load = 1.6 if begins else 0.75


@trouble('slow servers')
def slow_down(replay: 'ChoiceReplay', begins: bool) -> None:
    """Make a seventh of the servers four times slower."""
    for server in replay.servers[::7]:
        server.slowness = 4 if begins else 1


@trouble('grey servers')
def turn_grey(replay: 'ChoiceReplay', begins: bool) -> None:
    """Let a seventh of the servers fail half of their requests at once."""
    for server in replay.servers[::7]:
        server.failure_rate = 0.5 if begins else 0


@trouble('half gone')
def remove_half(replay: 'ChoiceReplay', begins: bool) -> None:
    """Remove half of the servers for good, at half of the load."""
    if begins:
        replay.load = 0.35
        for server in replay.servers[::2]:
            replay.remove(server)


class EventQueue:
    """Runs events in the order of their times, and advances the clock."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock
        self._events: list[tuple[dt.timedelta, int, Event]] = []
        self._order = itertools.count()

    def after(self, delay: dt.timedelta, event: Event) -> None:
        """Run an event after a delay."""
        at = self._clock.elapsed() + delay
        heapq.heappush(self._events, (at, next(self._order), event))

    def run(self, until: dt.timedelta) -> None:
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= until:
            at, _, event = heapq.heappop(self._events)
            self._clock.advance(at - self._clock.elapsed())
            event()


class ChoiceReplay:
    """Callers, servers and reports of one service, in virtual time.

    Parameters
    ----------
    policy_name
        The policy.
    trouble_name
        The trouble.
    report_interval_s
        Time between two reports of a server, in seconds.
    seed
        Seed of all random choices.
    """

    def __init__(
        self,
        policy_name: str,
        trouble_name: str,
        report_interval_s: float,
        seed: int,
    ) -> None:
        self.load = 0.75
        self.servers = [Server(number) for number in range(_SERVERS)]
        self._clock = ManualClock()
        self._random = Random(seed)
        self._trouble = TROUBLES[trouble_name]
        self._interval = report_interval_s * _SECOND
        self._events = EventQueue(self._clock)
        self._views = [_make_view(caller) for caller in range(_CALLERS)]
        self._by_node = [
            {int(endpoint.node): endpoint for endpoint in view.list_all()}
            for view in self._views
        ]
        self._policies: list[ChoicePolicy] = [
            POLICIES[policy_name](
                self._clock, Random(seed * _CALLERS + caller), _locate(caller)
            )
            for caller in range(_CALLERS)
        ]
        self._latencies: list[dt.timedelta] = []
        self._counts: Counter[str] = Counter()

    def run(self) -> dict[str, float]:
        """Run to the end and return the figures."""
        begin_s, end_s = _TROUBLE_S
        self._events.after(begin_s * _SECOND, lambda: self._trouble(self, True))
        self._events.after(end_s * _SECOND, lambda: self._trouble(self, False))
        for server in self.servers:
            delay = self._interval * self._random.random()
            self._events.after(delay, functools.partial(self._report, server))
        self._events.after(dt.timedelta(), self._arrive)
        self._events.run(_SECONDS * _SECOND)
        return self._summarize()

    def remove(self, server: Server) -> None:
        """Take a server away; callers notice it later."""
        server.is_gone = True
        server.queue.clear()
        self._events.after(_SILENCE, functools.partial(self._forget, server))

    def _forget(self, server: Server) -> None:
        for view, by_node in zip(self._views, self._by_node, strict=True):
            view.remove(by_node[server.number])

    def _arrive(self) -> None:
        capacity = _SERVERS * _SLOTS / _HOLD.total_seconds()
        pause = self._random.expovariate(self.load * capacity)
        self._events.after(pause * _SECOND, self._arrive)
        self._counts['offered'] += 1
        caller = self._random.randrange(_CALLERS)
        self._visit(Work(caller, self._clock.elapsed()))

    def _visit(self, work: Work) -> None:
        now = self._clock.elapsed()
        age = now - work.arrived
        requirements = Requirements(ROUTE, 2, _OBJECTIVE - age, _DEADLINE - age)
        choice = None
        if len(work.tried) < _MAX_VISITS and age < _DEADLINE:
            choice = self._policies[work.caller].choose(
                self._views[work.caller], work.tried, requirements
            )
        if choice is None:
            self._counts['refused'] += 1
            return
        self._counts['visits'] += 1
        endpoint = choice.endpoint
        work.tried.add(endpoint.node)
        work.endpoint = endpoint
        work.give_up_at = now + min(choice.max_wait, _DEADLINE - age)
        endpoint.in_flight += 1
        self._reach(self.servers[int(endpoint.node)], work)

    def _reach(self, server: Server, work: Work) -> None:
        if server.is_gone:
            self._leave(work)
            self._visit(work)
        elif server.in_use < _SLOTS:
            self._begin(server, work)
        elif len(server.queue) >= _SLOTS * 2:
            self._update(server, work.endpoint)
            self._leave(work)
            self._visit(work)
        else:
            server.queue.append(work)

    def _begin(self, server: Server, work: Work) -> None:
        server.in_use += 1
        is_failed = self._random.random() < server.failure_rate
        scale = 0.1 if is_failed else server.slowness
        hold = _HOLD * scale * (0.5 + self._random.random())
        self._events.after(hold, lambda: self._finish(server, work, is_failed))

    def _finish(self, server: Server, work: Work, is_failed: bool) -> None:
        server.in_use -= 1
        self._update(server, work.endpoint)
        self._leave(work)
        if server.is_gone:
            self._visit(work)
            return
        if is_failed:
            self._counts['failed'] += 1
        else:
            server.served += 1
            self._latencies.append(self._clock.elapsed() - work.arrived)
        self._start_next(server)

    def _start_next(self, server: Server) -> None:
        while server.queue and server.in_use < _SLOTS:
            work = server.queue.popleft()
            if work.give_up_at < self._clock.elapsed():
                self._update(server, work.endpoint)
                self._leave(work)
                self._visit(work)
            else:
                self._begin(server, work)

    def _leave(self, work: Work) -> None:
        if work.endpoint is not None:
            work.endpoint.in_flight -= 1

    def _report(self, server: Server) -> None:
        if server.is_gone:
            return
        self._events.after(self._interval, lambda: self._report(server))
        for by_node in self._by_node:
            self._update(server, by_node[server.number])

    def _update(self, server: Server, endpoint: Endpoint | None) -> None:
        """Update what a caller knows, as a report or a response does."""
        if endpoint is None:
            return
        load = endpoint.load
        load.in_use = server.in_use
        load.waiting = len(server.queue)
        load.hold_time = _HOLD * server.slowness
        load.own_in_flight = endpoint.in_flight
        load.received_at = self._clock.elapsed()
        endpoint.hold_times = {ROUTE: load.hold_time}
        endpoint.failure_rate = server.failure_rate

    def _summarize(self) -> dict[str, float]:
        offered = self._counts['offered']
        in_time = sum(latency <= _OBJECTIVE for latency in self._latencies)
        ordered = sorted(self._latencies)
        p99 = ordered[math.floor(len(ordered) * 0.99)]
        served = [server.served for server in self.servers]
        live = [server.served for server in self.servers if not server.is_gone]
        return {
            'in_time': round(in_time / offered, 3),
            'served': round(len(self._latencies) / offered, 3),
            'refused': round(self._counts['refused'] / offered, 3),
            'p99_ms': round(p99 / _MS),
            'visits': round(self._counts['visits'] / offered, 2),
            'busiest_to_mean': round(max(served) / (sum(live) / len(live)), 2),
        }


def measure_cost(policy_name: str, size: int) -> float:
    """Return the microseconds of a choice among ``size`` calm servers."""
    clock = ManualClock()
    view = ServiceView([], [])
    for number in range(size):
        domain = _DOMAINS[number % len(_DOMAINS)]
        servers = view.local if domain == _DOMAINS[0] else view.remote
        endpoint = make_endpoint(
            str(number), domain=domain, slots=_SLOTS, in_use=number % _SLOTS
        )
        servers.append(endpoint)
    chooser = POLICIES[policy_name](clock, Random(1), _locate(0))
    requirements = Requirements(ROUTE, 2, _OBJECTIVE, _DEADLINE)
    begun = time.process_time()
    for _ in range(_COST_ROUNDS):
        chooser.choose(view, set(), requirements)
    spent = time.process_time() - begun
    return round(spent / _COST_ROUNDS * 1e6, 1)


def _locate(caller: int) -> Locality:
    return Locality('north', _DOMAINS[caller % len(_DOMAINS)])


def _make_view(caller: int) -> ServiceView:
    view = ServiceView([], [])
    for number in range(_SERVERS):
        domain = _DOMAINS[number % len(_DOMAINS)]
        is_local = domain == _locate(caller).failure_domain
        endpoint = make_endpoint(
            str(number), domain=domain, slots=_SLOTS, hold_time=_HOLD
        )
        (view.local if is_local else view.remote).append(endpoint)
    return view


def measure_quality(
    trouble_name: str, interval_s: float, policy_name: str
) -> dict[str, Scalar]:
    """Return the mean figures of all seeds."""
    runs = [
        ChoiceReplay(policy_name, trouble_name, interval_s, seed).run()
        for seed in SEEDS
    ]
    row: dict[str, Scalar] = {
        'trouble': trouble_name,
        'report_s': interval_s,
        'policy': policy_name,
    }
    for key in runs[0]:
        row[key] = round(sum(run[key] for run in runs) / len(runs), 3)
    return row


def measure_costs(policy_name: str) -> dict[str, Scalar]:
    """Return the cost of a choice at each size."""
    row: dict[str, Scalar] = {'policy': policy_name}
    for size in COST_SIZES:
        row[f'us_at_{size}'] = measure_cost(policy_name, size)
    return row


def main() -> None:
    """Print quality and cost of each policy."""
    print_rows([measure_costs(policy_name) for policy_name in POLICIES])
    choices = itertools.product(TROUBLES, REPORT_INTERVALS_S, POLICIES)
    rows = list(itertools.starmap(measure_quality, choices))
    print_rows(rows)
    write_results('choices', rows, seeds=len(SEEDS), servers=_SERVERS)


if __name__ == '__main__':
    main()
