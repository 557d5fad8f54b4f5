"""Policies that choose a server, for comparison with the node's own.

Each sees the servers of a service split by failure domain, as a node may keep
them. ``sample`` applies the node's own cost to a few random servers instead of
all of them, so that its time doesn't grow with their number.
"""

import dataclasses
import functools
import itertools
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, Protocol

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.kernel.clock import Clock
from bluebellslip._internal.models.identity import Locality
from bluebellslip._internal.proxy.server_selection import (
    Requirements,
    ServerChoice,
    ServerSelector,
)

_CROSSING_COST: Final = 0.05
LOCAL_SAMPLE: Final = 5
REMOTE_SAMPLE: Final = 3


@dataclasses.dataclass(slots=True)
class ServiceView:
    """The servers of a service as one node knows them."""

    local: list[Endpoint]
    remote: list[Endpoint]

    @property
    def size(self) -> int:
        """Number of servers."""
        return len(self.local) + len(self.remote)

    def list_all(self) -> list[Endpoint]:
        """Return all servers."""
        return self.local + self.remote

    def get(self, index: int) -> Endpoint:
        """Return a server by its index from 0, without copying a list."""
        if index < len(self.local):
            return self.local[index]
        return self.remote[index - len(self.local)]

    def remove(self, endpoint: Endpoint) -> None:
        """Remove a server."""
        for servers in (self.local, self.remote):
            if endpoint in servers:
                servers.remove(endpoint)


class ChoicePolicy(Protocol):
    """Chooses among the servers that a request has not tried."""

    def choose(
        self,
        view: ServiceView,
        tried: set[str],
        requirements: Requirements,
    ) -> ServerChoice | None:
        """Return the server to try and the longest wait there."""


PolicyFactory = Callable[[Clock, Random, Locality], ChoicePolicy]
POLICIES: Final[dict[str, PolicyFactory]] = {}


def policy(name: str) -> Callable[[PolicyFactory], PolicyFactory]:
    """Return a decorator that registers a policy under a name."""
    return functools.partial(_register, name)


def _register(name: str, factory: PolicyFactory) -> PolicyFactory:
    POLICIES[name] = factory
    return factory


@policy('all servers')
class AllServers:
    """The node's own selection: the cost of every server."""

    def __init__(
        self, clock: Clock, random_source: Random, locality: Locality
    ) -> None:
        self._selector = ServerSelector(
            clock, random_source, locality, _CROSSING_COST
        )

    def choose(
        self,
        view: ServiceView,
        tried: set[str],
        requirements: Requirements,
    ) -> ServerChoice | None:
        """Return the cheapest server, drawn among those of similar cost."""
        untried = _drop_tried(view.list_all(), tried)
        return self._selector.choose(untried, requirements)


@policy('sample')
class SampledServers:
    """The node's own cost, of a few random servers of each kind."""

    def __init__(
        self, clock: Clock, random_source: Random, locality: Locality
    ) -> None:
        self._random = random_source
        self._selector = ServerSelector(
            clock, random_source, locality, _CROSSING_COST
        )

    def choose(
        self,
        view: ServiceView,
        tried: set[str],
        requirements: Requirements,
    ) -> ServerChoice | None:
        """Return the cheapest server of a sample."""
        missing = max(0, LOCAL_SAMPLE - len(view.local))
        sample = [
            *self._draw(view.local, LOCAL_SAMPLE, tried),
            *self._draw(view.remote, REMOTE_SAMPLE + missing, tried),
        ]
        return self._selector.choose(sample, requirements)

    def _draw(
        self, servers: Sequence[Endpoint], count: int, tried: set[str]
    ) -> list[Endpoint]:
        if len(servers) <= count + len(tried):
            return _drop_tried(servers, tried)
        drawn = self._random.sample(servers, count + len(tried))
        return _drop_tried(drawn, tried)[:count]


@policy('round robin')
class RoundRobin:
    """All servers in turn."""

    def __init__(
        self, clock: Clock, random_source: Random, locality: Locality
    ) -> None:
        self._numbers = itertools.count(random_source.randrange(1 << 16))

    def choose(
        self,
        view: ServiceView,
        tried: set[str],
        requirements: Requirements,
    ) -> ServerChoice | None:
        """Return the next server."""
        for _ in range(view.size):
            endpoint = view.get(next(self._numbers) % view.size)
            if endpoint.node not in tried:
                return ServerChoice(endpoint, requirements.time_to_deadline)
        return None


@policy('two random')
class TwoRandomChoices:
    """The less loaded one of two random servers."""

    def __init__(
        self, clock: Clock, random_source: Random, locality: Locality
    ) -> None:
        self._random = random_source

    def choose(
        self,
        view: ServiceView,
        tried: set[str],
        requirements: Requirements,
    ) -> ServerChoice | None:
        """Return the less loaded one."""
        count = min(view.size, 2 + len(tried))
        drawn = [
            view.get(index)
            for index in self._random.sample(range(view.size), count)
        ]
        return _choose_least_loaded(_drop_tried(drawn, tried)[:2], requirements)


@policy('least loaded')
class LeastLoaded:
    """The least loaded of all servers by their latest reports."""

    def __init__(
        self, clock: Clock, random_source: Random, locality: Locality
    ) -> None:
        self._random = random_source

    def choose(
        self,
        view: ServiceView,
        tried: set[str],
        requirements: Requirements,
    ) -> ServerChoice | None:
        """Return the least loaded server."""
        untried = _drop_tried(view.list_all(), tried)
        self._random.shuffle(untried)
        return _choose_least_loaded(untried, requirements)


def _drop_tried(servers: Sequence[Endpoint], tried: set[str]) -> list[Endpoint]:
    return [endpoint for endpoint in servers if endpoint.node not in tried]


def _choose_least_loaded(
    servers: Sequence[Endpoint], requirements: Requirements
) -> ServerChoice | None:
    if not servers:
        return None
    least = min(servers, key=_measure_load)
    return ServerChoice(least, requirements.time_to_deadline)


def _measure_load(endpoint: Endpoint) -> float:
    load = endpoint.load
    sent_since = endpoint.in_flight - load.own_in_flight
    return (load.in_use + load.waiting + sent_since) / load.slots
