"""Routes of one configuration, found by host and path."""

from collections.abc import Iterator
from random import Random
from typing import Final, Self

from bluebellslip._internal.models.identity import ServiceName
from bluebellslip._internal.models.mesh import MeshConfig, RouteRule

_SLASH: Final = '/'


class RoutingTable:
    """Routes by host and prefix; the longest prefix of a path wins.

    Prefixes end with a slash, so that each lookup costs one probe for each
    segment of the path, however many routes there are.

    Parameters
    ----------
    config
        The configuration in force.
    random_source
        Spreads the first choices among the destinations of a route, so that
        the nodes don't all begin with the same one.
    """

    def __init__(self, config: MeshConfig, random_source: Random) -> None:
        self._config = config
        self._hosts: dict[str, dict[str, RouteRule]] = {}
        self._balancers: dict[str, WeightedRoundRobin] = {}
        for rule in config.routes:
            self._hosts.setdefault(rule.host, {})[rule.prefix] = rule
            if len(rule.destinations) > 1:
                self._balancers[rule.name] = WeightedRoundRobin(
                    rule, random_source
                )

    @property
    def config(self) -> MeshConfig:
        """The configuration that the table was built from."""
        return self._config

    @classmethod
    def from_config(cls, config: MeshConfig, random_source: Random) -> Self:
        """Build the table of a configuration."""
        return cls(config, random_source)

    def match(self, host: str, path: str) -> RouteRule | None:
        """Return the route of a request, or none.

        Parameters
        ----------
        host
            The host that the caller named, in lower case, without a port.
        path
            The path as it was sent, without a query.
        """
        prefixes = self._hosts.get(host)
        if prefixes is None:
            return None
        for prefix in _iterate_prefixes(path):
            rule = prefixes.get(prefix)
            if rule is not None:
                return rule
        return None

    def choose_service(self, rule: RouteRule) -> ServiceName:
        """Return the service that the next request of a route goes to."""
        balancer = self._balancers.get(rule.name)
        if balancer is None:
            return rule.destinations[0].service
        return balancer.choose()


class WeightedRoundRobin:
    """Deals requests out to destinations so that the parts stay exact.

    Every choice adds each destination's part to its credit and takes one from
    the greatest, which keeps every part within one request of its share.
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
        """Return the destination of the next request."""
        greatest = 0
        for index, share in enumerate(self._parts):
            self._credits[index] += share
            if self._credits[index] > self._credits[greatest]:
                greatest = index
        self._credits[greatest] -= 1
        return self._services[greatest]


def _iterate_prefixes(path: str) -> Iterator[str]:
    end = path.rfind(_SLASH)
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind(_SLASH, 0, end)
