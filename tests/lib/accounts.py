"""Configurations with client accounts."""

import datetime as dt
import hashlib

from bluebellslip._internal.models.config import ExecutionSemantics
from bluebellslip._internal.models.identity import (
    AccountName,
    RouteName,
    ServiceName,
)
from bluebellslip._internal.models.mesh import (
    AccountRule,
    CallerBounds,
    Destination,
    MeshConfig,
    RouteRule,
)

SECOND = dt.timedelta(seconds=1)


def make_account(
    name: str, *keys: str, priority: int | None = None
) -> AccountRule:
    return AccountRule(
        AccountName(name),
        tuple(hashlib.sha256(key.encode()).digest() for key in keys),
        priority=priority,
    )


def make_route(name: str, *, allow_anonymous: bool = False) -> RouteRule:
    return RouteRule(
        name=RouteName(name),
        host='shop.example',
        prefix=f'/{name}/',
        destinations=(Destination(ServiceName('store'), 1),),
        runs=ExecutionSemantics.IDEMPOTENT,
        timeout=2 * SECOND,
        target_latency=SECOND / 2,
        priority=1,
        max_attempts=2,
        allow_anonymous=allow_anonymous,
    )


def make_config(revision: int, *accounts: AccountRule) -> MeshConfig:
    """Return a configuration with one open and one closed route.

    Without accounts, its requests need no key.
    """
    return MeshConfig(
        revision=revision,
        routes=(make_route('open', allow_anonymous=True), make_route('closed')),
        services={},
        bounds=CallerBounds(4096, 100_000, SECOND, 5 * SECOND),
        accounts=accounts or None,
    )
