"""Heartbeats, beacons, endpoints and mesh configurations for tests."""

import datetime as dt
from collections.abc import Mapping

from bluebellslip._internal.fleet.beacons import (
    Beacon,
    NodeState,
    Reach,
    ServerBeacon,
)
from bluebellslip._internal.fleet.peer_table import Endpoint, LoadReport
from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import (
    Address,
    Locality,
    NodeId,
    RouteName,
    ServiceName,
    VersionName,
)
from bluebellslip._internal.models.mesh import (
    CallerBounds,
    ConfigRecord,
    Destination,
    MeshConfig,
    RouteRule,
    ServiceRule,
)
from bluebellslip._internal.models.servers import (
    Heartbeat,
    Lifetime,
    ServerState,
)

MS = dt.timedelta(milliseconds=1)
SECOND = dt.timedelta(seconds=1)
ORDERS = ServiceName('orders')
SERVER_ADDRESS = Address('10.0.0.1', 8080)
LOCAL_LOCALITY = Locality('north', 'a')
ROUTE = RouteName('r-orders')


def make_heartbeat(
    sequence: int = 1,
    *,
    born: int = 1000,
    server: str = 'i-1',
    state: ServerState = ServerState.READY,
    service: str = 'orders',
    address: Address = SERVER_ADDRESS,
    version: str = 'v1',
    slots: int = 12,
    warmup_remaining: dt.timedelta = dt.timedelta(),
) -> Heartbeat:
    return Heartbeat(
        lifetime=Lifetime(born, server),
        sequence=sequence,
        service=ServiceName(service),
        address=address,
        failure_domain='a',
        version=VersionName(version),
        slots=slots,
        state=state,
        warmup_remaining=warmup_remaining,
    )


def make_beacon(
    node: str,
    sequence: int = 1,
    *,
    life: int = 1,
    state: NodeState = NodeState.SERVING,
    revision: int = 1,
    server: ServerBeacon | None = None,
    domain: str = 'a',
    address: str = '10.0.0.9:7620',
    reach: Reach = Reach.DIRECT,
    known_nodes: int = 0,
) -> Beacon:
    return Beacon(
        node=node,
        life_number=life,
        life_token=life,
        sequence=sequence,
        region='north',
        failure_domain=domain,
        peers_address='10.0.0.9:8300',
        beacons_address=address,
        reach=reach,
        state=state,
        revision=revision,
        wants_reply=False,
        server=server,
        known_nodes=known_nodes,
    )


def make_server_beacon(
    server: str = 'i-1',
    *,
    usable: bool = True,
    state: ServerState = ServerState.READY,
    version: str = 'v1',
    in_use: int = 0,
    rate_limit: float | None = None,
) -> ServerBeacon:
    return ServerBeacon(
        server=server,
        born=1000,
        service='orders',
        version=version,
        state=state,
        usable=usable,
        slots=12,
        in_use=in_use,
        waiting=0,
        hold_ms=100,
        failure_rate=0,
        warmup_remaining_ms=0,
        rate_limit=rate_limit,
    )


def make_endpoint(
    node: str,
    *,
    domain: str = 'a',
    version: str = 'v1',
    in_use: int = 0,
    slots: int = 12,
    hold_time: dt.timedelta = 100 * MS,
    hold_times: Mapping[RouteName, dt.timedelta] | None = None,
    failure_rate: float = 0,
) -> Endpoint:
    return Endpoint(
        node=NodeId(node),
        address=Address('10.0.0.9', 8300),
        locality=Locality('north', domain),
        lifetime=Lifetime(1000, f'i-{node}'),
        service=ORDERS,
        version=VersionName(version),
        load=LoadReport(in_use, 0, slots, hold_time, dt.timedelta()),
        warmup_ends_at=dt.timedelta(),
        failure_rate=failure_rate,
        hold_times=dict(hold_times or {ROUTE: hold_time}),
    )


def make_rule(
    name: str = 'r-orders',
    *,
    host: str = 'shop.example',
    prefix: str = '/orders/',
    services: Mapping[str, float] | None = None,
    runs: ExecutionSemantics = ExecutionSemantics.IDEMPOTENT,
    timeout: dt.timedelta = SECOND,
    priority: int = 1,
    max_attempts: int = 2,
) -> RouteRule:
    return RouteRule(
        name=RouteName(name),
        host=host,
        prefix=prefix,
        destinations=tuple(
            Destination(ServiceName(service), weight)
            for service, weight in (services or {'orders': 1}).items()
        ),
        runs=runs,
        timeout=timeout,
        target_latency=timeout / 2,
        priority=priority,
        max_attempts=max_attempts,
    )


def make_config(*rules: RouteRule, revision: int = 1) -> ConfigRecord:
    services = {
        destination.service: ServiceRule(destination.service, 100)
        for rule in rules
        for destination in rule.destinations
    }
    bounds = CallerBounds(16_384, 1 << 20, 3 * SECOND, 15 * SECOND)
    return ConfigRecord(MeshConfig(revision, rules, services, bounds), b'{}')
