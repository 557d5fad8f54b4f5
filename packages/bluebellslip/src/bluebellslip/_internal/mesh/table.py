"""Looks up the route of a request by host and path."""

import dataclasses
from collections.abc import Iterable
from random import Random
from typing import Final, Self

from bluebellslip._internal.accounts.directory import AccountDirectory
from bluebellslip._internal.exceptions import NoServerError
from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh import MeshConfig, RouteRule

_SLASH: Final = '/'


class RoutingTable:
    """Routes by host and path prefix; the longest matching prefix wins.

    Prefixes end with a slash, so the routes of a host form a tree over path
    segments. A lookup ends at the first segment that no prefix has: its cost
    doesn't depend on the number of routes, nor on how many slashes follow.

    Parameters
    ----------
    config
        The configuration that the routes come from.
    random_source
        Randomizes the first destination of each route, so that nodes don't all
        start with the same one.
    """

    def __init__(self, config: MeshConfig, random_source: Random) -> None:
        self._config = config
        self._accounts = AccountDirectory.from_config(config)
        self._hosts: dict[str, _PrefixNode] = {}
        self._balancers: dict[tuple[str, str], WeightedRoundRobin] = {}
        for rule in config.routes:
            root = self._hosts.setdefault(rule.host, _PrefixNode())
            root.add(rule)
            if len(rule.destinations) > 1:
                self._balancers[rule.host, rule.prefix] = WeightedRoundRobin(
                    rule, random_source
                )

    @property
    def config(self) -> MeshConfig:
        """The configuration that the table was built from."""
        return self._config

    @property
    def accounts(self) -> AccountDirectory:
        """The client accounts of the configuration."""
        return self._accounts

    @classmethod
    def from_config(cls, config: MeshConfig, random_source: Random) -> Self:
        """Build the routing table of a configuration."""
        return cls(config, random_source)

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route that matches a request, or none.

        Parameters
        ----------
        host
            The requested host, in lower case, without a port.
        path
            The path as it was sent, without a query.
        """
        root = self._hosts.get(host)
        return None if root is None else root.find(path)

    def choose_service(self, rule: RouteRule) -> ServiceName:
        """Return the service for the next request of a route.

        Raises
        ------
        NoServerError
            When the route leads to no service.
        """
        if not rule.destinations:
            raise NoServerError(
                'The route leads to no service.', context={'route': rule.name}
            )
        balancer = self._balancers.get((rule.host, rule.prefix))
        if balancer is None:
            return rule.destinations[0].service
        return balancer.choose()


class WeightedRoundRobin:
    """Smooth weighted round-robin over the destinations of a route.

    Each choice adds every destination's share to its credit, takes the
    destination with the greatest credit and subtracts one from that credit, so
    that every destination stays close to its share at all times.
    """

    __slots__ = ('_credits', '_parts', '_services')

    def __init__(self, rule: RouteRule, random_source: Random) -> None:
        total = sum(destination.weight for destination in rule.destinations)
        self._services = tuple(
            destination.service for destination in rule.destinations
        )
        self._parts = tuple(
            destination.weight / total for destination in rule.destinations
        )
        self._credits = [
            random_source.random() * share for share in self._parts
        ]

    def choose(self) -> ServiceName:
        """Return the service for the next request."""
        greatest = 0
        for index, share in enumerate(self._parts):
            self._credits[index] += share
            if self._credits[index] > self._credits[greatest]:
                greatest = index
        self._credits[greatest] -= 1
        return self._services[greatest]


@dataclasses.dataclass(slots=True)
class _PrefixNode:
    """The routes of a host below one prefix.

    ``rule`` is the route with exactly this prefix, ``children`` maps the next
    path segment to the nodes below.
    """

    rule: RouteRule | None = None
    children: dict[str, '_PrefixNode'] = dataclasses.field(default_factory=dict)

    def add(self, rule: RouteRule) -> None:
        """Add a route below this node."""
        node = self
        for segment in _split_prefix(rule.prefix):
            node = node.children.setdefault(segment, _PrefixNode())
        node.rule = rule

    def find(self, path: str) -> RouteRule | None:
        """Return the route with the longest prefix that begins a path."""
        if not path.startswith(_SLASH):
            return None
        node = self
        found = node.rule
        start = len(_SLASH)
        end = path.find(_SLASH, start)
        while end >= 0:
            child = node.children.get(path[start:end])
            if child is None:
                break
            node = child
            found = node.rule or found
            start = end + len(_SLASH)
            end = path.find(_SLASH, start)
        return found


def _split_prefix(prefix: str) -> Iterable[str]:
    """Return the segments of a prefix, which begins and ends with a slash."""
    return prefix.split(_SLASH)[1:-1]
