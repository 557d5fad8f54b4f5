"""Configuration in force: routes to services, and limits on callers.

A ``MeshConfig`` is built when the operators' configuration is decoded. It is
immutable and complete, so that a node switches from one revision to the next
by one assignment.
"""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import (
    AccountName,
    RouteName,
    ServiceName,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route leads to, and its share of the requests.

    Parameters
    ----------
    service
        The service's name.
    weight
        Its share, relative to the other destinations of the route.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Which requests belong to a route, and how they are handled.

    Parameters
    ----------
    name
        The route's name.
    host
        Host that callers request, in lower case and without a port.
    prefix
        Prefix of the paths that belong to the route.
    destinations
        Services that the route leads to. Empty if there are none, so that its
        requests are refused.
    runs
        How often one request may run.
    timeout
        Longest time that a caller waits for the response.
    target_latency
        Time within which a response is most valuable to its caller.
    priority
        Priority under load; lower values are served first.
    max_attempts
        Largest number of servers that one request may be sent to.
    allow_anonymous
        Whether requests need no key although there are client accounts.
    """

    name: RouteName
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    runs: ExecutionSemantics
    timeout: dt.timedelta
    target_latency: dt.timedelta
    priority: int
    max_attempts: int
    allow_anonymous: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """Rules for the servers of a service.

    Parameters
    ----------
    name
        The service's name.
    max_connections
        Largest number of connections that each of its servers accepts.
    health_path
        Path of a server's health check; empty if it has none.
    cold_start
        How long a server is cold after its start.
    cold_rate
        Requests a second that a cold server tolerates; 0 if a cold server
        takes as many as any other.
    """

    name: ServiceName
    max_connections: int
    health_path: str = ''
    cold_start: dt.timedelta = dt.timedelta()
    cold_rate: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class AccountRule:
    """A client account, whose requests carry one of its keys.

    Parameters
    ----------
    name
        The account's name.
    key_digests
        SHA-256 digests of its keys; the keys themselves are not kept.
    priority
        Priority of its requests, instead of their routes'; none to keep those.
    rate
        Requests a second that it may send to all nodes together; 0 if there
        is no limit.
    burst
        Requests beyond the rate that it may send at once.
    """

    name: AccountName
    key_digests: tuple[bytes, ...]
    priority: int | None = None
    rate: float = 0
    burst: float = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """Limits on what a caller may send and how long it may take.

    Parameters
    ----------
    head_bytes
        Maximum size of a request's head, in bytes.
    body_bytes
        Maximum size of a request's body, in bytes.
    head_timeout
        Longest time from the first to the last byte of a head.
    idle_timeout
        How long a connection may be idle between requests.
    """

    head_bytes: int
    body_bytes: int
    head_timeout: dt.timedelta
    idle_timeout: dt.timedelta


@dataclasses.dataclass(frozen=True, slots=True)
class MeshConfig:
    """One revision of the configuration.

    Parameters
    ----------
    revision
        Number that increases with every change.
    routes
        All routes.
    services
        All services by name.
    bounds
        Limits on callers.
    accounts
        The client accounts; none if requests need no key. With no account in
        it, no key is known.
    """

    revision: int
    routes: tuple[RouteRule, ...]
    services: Mapping[ServiceName, ServiceRule]
    bounds: CallerBounds
    accounts: tuple[AccountRule, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A configuration as it is stored and sent to other nodes.

    Parameters
    ----------
    config
        The decoded configuration.
    body
        The stored bytes, which are sent to other nodes unchanged.
    problems
        What can't be used of it, as texts for operators.
    """

    config: MeshConfig
    body: bytes
    problems: tuple[str, ...] = ()
