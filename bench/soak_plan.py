"""The random plan of a soak: nodes, configurations and faults."""

import dataclasses
import datetime as dt
import enum
from random import Random
from typing import Any, Final, Self

from bench.soak_records import RouteKind
from lib.simulated_platform import make_document_json, make_route_json

GRACE: Final = dt.timedelta(seconds=6)
# Traffic before the first fault, so that requests queue.
_WARM_UP_S: Final = 3.0
# Time for a node to start again before it may be stopped again.
_RESTART_S: Final = 2.0
# Longest time between two signals of a series.
_MAX_GAP_S: Final = 2.5
# Time for which a server names a limit or says that it leaves.
_NOTICE_S: Final = (2.0, 10.0)
_MAX_NOTICE_GAP_S: Final = 12.0
# Limits that servers name, in requests a second.
_LIMITS: Final = (0, 15)
_MAX_BODY_BYTES: Final = 300_000
_DOMAINS: Final = 'ab'
_READERS: Final = 'catalogue'
_WRITERS: Final = 'orders'
_UPLOADERS: Final = 'photos'
# Time for which a server goes on after it has left, and the least time that an
# outage of the store takes together with the restart of all processes.
_DEPARTED_S: Final = (3.0, 8.0)
_OUTAGE_S: Final = 8.0
# One seed in so many has client accounts.
_ACCOUNTS_EVERY: Final = 3
# Costly clients of each node.
_COSTLY_CLIENTS: Final = (0, 3, 12)
# Timeouts of routes in seconds, longer than all deadlines.
_ROUTE_TIMEOUTS_S: Final = (26.0, 40.0)


@dataclasses.dataclass(frozen=True, slots=True)
class KindProfile:
    """Requests of one kind; times are in seconds.

    Parameters
    ----------
    weight
        Their share of all requests, relative to the other weights.
    body_bytes
        Smallest and largest body.
    run_s
        Shortest and longest time that a server works on one.
    deadline_s
        Shortest and longest time that callers allow.
    target_latency_s
        The route's target latency.
    """

    weight: int
    body_bytes: tuple[int, int]
    run_s: tuple[float, float]
    deadline_s: tuple[float, float]
    target_latency_s: float


PROFILES: Final = {
    RouteKind.SAFE: KindProfile(5, (0, 0), (0.002, 0.1), (2, 10), 0.5),
    RouteKind.NON_IDEMPOTENT: KindProfile(
        3, (1, 2000), (0.01, 0.4), (3, 10), 1
    ),
    # Slower than callers send them, so that they queue for seconds.
    RouteKind.UPLOAD: KindProfile(4, (20_000, 200_000), (1.5, 4), (12, 25), 10),
}


@enum.unique
class Action(enum.Enum):
    """What is done to the nodes."""

    STOP = 'stop'
    RELOAD = 'reload'
    CONFIGURE = 'configure'
    LIMIT = 'limit'
    LEAVE = 'leave'
    OUTAGE = 'outage'


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An action.

    ``at_s`` counts in seconds from the start of the traffic. ``pause_s`` is the
    time until a stopped node starts again, or until a server ends its limit or
    has left, or for which a server that leaves in an outage goes on. ``rate``
    is a limit in requests a second.
    """

    at_s: float
    action: Action
    node: int = 0
    pause_s: float = 0
    rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class NodePlan:
    """A node and the server beside it."""

    name: str
    service: str
    domain: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class SoakPlan:
    """All choices of a run that don't depend on its course.

    ``costly_clients`` is their number at each node, ``has_accounts`` whether
    requests need the key of a client account.
    """

    seed: int
    seconds: float
    nodes: tuple[NodePlan, ...]
    events: tuple[Event, ...]
    costly_clients: int = 0
    has_accounts: bool = False

    @classmethod
    def from_seed(cls, seed: int, node_count: int, seconds: float) -> Self:
        """Choose nodes and events."""
        source = Random(f'plan-{seed}')
        events = [
            *_choose_stops(source, node_count, seconds),
            *_choose_changes(source, node_count, seconds),
            *_choose_notices(Random(f'notices-{seed}'), node_count, seconds),
            *_choose_outages(Random(f'outages-{seed}'), node_count, seconds),
        ]
        return cls(
            seed,
            seconds,
            _choose_nodes(source, node_count),
            tuple(sorted(events, key=lambda event: event.at_s)),
            # Of its own, so that it changes no other choice of a seed.
            Random(f'costly-{seed}').choice(_COSTLY_CLIENTS),
            seed % _ACCOUNTS_EVERY == _ACCOUNTS_EVERY - 1,
        )


def make_config(source: Random, version: int) -> dict[str, Any]:
    """Return a random configuration of the three routes."""
    orders = source.choice((_READERS, _WRITERS))
    services = {
        RouteKind.SAFE: _READERS,
        RouteKind.NON_IDEMPOTENT: orders,
        RouteKind.UPLOAD: _UPLOADERS,
    }
    routes = [
        make_route_json(
            kind.value,
            make_prefix(kind),
            service,
            kind=kind.value,
            timeout_s=source.uniform(*_ROUTE_TIMEOUTS_S),
            target_latency_s=PROFILES[kind].target_latency_s,
        )
        for kind, service in services.items()
    ]
    document = make_document_json(version, *routes)
    document['limits']['max_body_bytes'] = _MAX_BODY_BYTES
    return document


def make_prefix(kind: RouteKind) -> str:
    """Return the prefix of the paths of a kind of route."""
    return f'/{kind.value}/'


def choose_link_mbps(source: Random) -> float:
    """Return the rate of a narrow link in megabits per second."""
    return source.choice((2.0, 4.0, 8.0))


def _choose_nodes(source: Random, count: int) -> tuple[NodePlan, ...]:
    services = [_READERS, _WRITERS, _UPLOADERS, _UPLOADERS]
    services += source.choices(services, k=max(0, count - len(services)))
    return tuple(
        NodePlan(
            f'node-{index}',
            service,
            _DOMAINS[index % len(_DOMAINS)],
            source.randint(1, 2) if service == _UPLOADERS else 8,
        )
        for index, service in enumerate(services[:count])
    )


def _choose_stops(source: Random, node_count: int, end_s: float) -> list[Event]:
    """Choose series of stops; a series leaves one node at least running."""
    events = []
    at_s = _WARM_UP_S
    while at_s < end_s:
        together = source.choice((True, False))
        busy_until_s = at_s
        size = source.randint(1, max(1, node_count - 2))
        for node in source.sample(range(node_count), size):
            pause_s = source.choice((0, 0, source.uniform(0.5, 3)))
            events.append(Event(at_s, Action.STOP, node, pause_s))
            busy_until_s = max(busy_until_s, at_s + pause_s)
            if not together:
                at_s += source.uniform(0, _MAX_GAP_S)
        at_s = busy_until_s + GRACE.total_seconds() + _RESTART_S
    return [event for event in events if event.at_s < end_s]


def _choose_changes(
    source: Random, node_count: int, end_s: float
) -> list[Event]:
    changes = []
    at_s = source.uniform(0, _WARM_UP_S)
    while at_s < end_s:
        action = source.choice((Action.RELOAD, Action.CONFIGURE))
        changes.append(Event(at_s, action, source.randrange(node_count)))
        at_s += source.uniform(0.5, 4)
    return changes


def _choose_notices(
    source: Random, node_count: int, end_s: float
) -> list[Event]:
    """Choose servers that name a limit or leave; one at a time for each."""
    notices = []
    for node in range(node_count):
        at_s = source.uniform(0, _MAX_NOTICE_GAP_S)
        while at_s < end_s:
            lasts_s = source.uniform(*_NOTICE_S)
            action = source.choice((Action.LIMIT, Action.LIMIT, Action.LEAVE))
            rate = round(source.uniform(*_LIMITS), 1)
            notices.append(Event(at_s, action, node, lasts_s, rate))
            at_s += lasts_s + source.uniform(0, _MAX_NOTICE_GAP_S)
    return notices


def _choose_outages(
    source: Random, node_count: int, end_s: float
) -> list[Event]:
    """Choose outages in which a server leaves and all nodes are killed."""
    outages = []
    at_s = _WARM_UP_S + source.uniform(0, _MAX_NOTICE_GAP_S)
    while at_s < end_s - _OUTAGE_S:
        lasts_s = source.uniform(*_DEPARTED_S)
        node = source.randrange(node_count)
        outages.append(Event(at_s, Action.OUTAGE, node, lasts_s))
        at_s += _OUTAGE_S + lasts_s + source.uniform(0, _MAX_NOTICE_GAP_S)
    return outages
