"""Configuration in force: routes to services, and bounds on callers.

Built by whatever reads the operators' configuration; immutable and complete,
so that a node changes from one to the next by one assignment.
"""

import dataclasses
import datetime as dt
from collections.abc import Mapping

from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import RouteName, ServiceName


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route leads to, and its part of the requests.

    Parameters
    ----------
    service
        The service's name.
    weight
        Its part, relative to the other destinations of the route.
    """

    service: ServiceName
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class RouteRule:
    """Requests that belong together, and what their callers are promised.

    Parameters
    ----------
    name
        The route's name.
    host
        Host that callers name, in lower case and without a port.
    prefix
        Beginning of the paths that belong to the route.
    destinations
        The services that it leads to; never empty.
    runs
        How often one request may run.
    timeout
        Longest time that a request is kept waiting.
    target_latency
        Time within which an answer is worth most to its caller.
    priority
        Rank under load; the smaller, the sooner.
    max_attempts
        Most servers that one request may be sent to.
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


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """What holds for the servers of a service.

    Parameters
    ----------
    name
        The service's name.
    max_connections
        Most connections that one of its servers accepts.
    """

    name: ServiceName
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBounds:
    """What a caller may send and how long it may take.

    Parameters
    ----------
    head_bytes
        Longest head of a request, in bytes.
    body_bytes
        Longest body of a request, in bytes.
    head_timeout
        Longest time from the first to the last byte of a head.
    idle_timeout
        How long a connection may rest between requests.
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
        Number that rises with every change.
    routes
        All routes.
    services
        All services by name.
    bounds
        What callers may send.
    """

    revision: int
    routes: tuple[RouteRule, ...]
    services: Mapping[ServiceName, ServiceRule]
    bounds: CallerBounds


@dataclasses.dataclass(frozen=True, slots=True)
class ConfigRecord:
    """A configuration as it is stored and passed on.

    Parameters
    ----------
    config
        The decoded configuration.
    body
        The stored bytes, which other nodes can decode too.
    """

    config: MeshConfig
    body: bytes
