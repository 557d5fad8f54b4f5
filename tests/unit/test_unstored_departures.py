"""Departures that the store could not take when they were acknowledged.

Guards against a departure that stays unstored for half a minute after the store
has come back: until then only processes know of it.
"""

import asyncio
from random import Random
from typing import Any, cast

from bluebellslip._internal.control.discovery import PeerDiscovery
from bluebellslip._internal.control.ports import ControlStore, NodeRegistration
from bluebellslip._internal.exceptions import PlatformDownError
from bluebellslip._internal.models.identity import Address, NodeId
from bluebellslip._internal.models.servers import Lifetime
from lib.virtual_time import run_in_virtual_time

_DEPARTED = Lifetime(1000, 'i-1')
_OUTAGE_S = 6
# The longest pause between two tries, with a reserve.
_STORED_WITHIN_S = 1.5
_CALM_S = 5


class Store:
    """Keeps one registration, and fails while it is down."""

    era = 1

    def __init__(self) -> None:
        self.is_down = False
        self.stored: NodeRegistration | None = None
        self.calls = 0

    async def register_node(self, registration: Any) -> NodeRegistration:
        self._count()
        self.stored = cast(NodeRegistration, registration)
        return self.stored

    async def read_nodes(self) -> tuple[NodeRegistration, ...]:
        self._count()
        return ()

    def _count(self) -> None:
        self.calls += 1
        if self.is_down:
            raise PlatformDownError('The store is down.')


def make_discovery(store: Store) -> PeerDiscovery:
    return PeerDiscovery(
        cast(ControlStore, store),
        NodeRegistration(NodeId('one'), Address('10.0.0.1', 7620), 'a'),
        Random(1),
        lambda nodes: None,
        bool,
        lambda: True,
        lambda lifetimes: None,
    )


def test_departure_is_stored_as_soon_as_the_store_is_back() -> None:
    async def run() -> None:
        store = Store()
        discovery = make_discovery(store)
        running = asyncio.create_task(discovery.run())
        await asyncio.sleep(_CALM_S)
        store.is_down = True
        discovery.record_departure(_DEPARTED)
        await discovery.store_departures()
        await asyncio.sleep(_OUTAGE_S)
        store.is_down = False
        await asyncio.sleep(_STORED_WITHIN_S)
        assert store.stored is not None
        assert store.stored.departed == (_DEPARTED,)
        calls = store.calls
        await asyncio.sleep(_CALM_S)
        assert store.calls == calls
        running.cancel()

    run_in_virtual_time(run)


def test_stored_departure_costs_one_call() -> None:
    async def run() -> None:
        store = Store()
        discovery = make_discovery(store)
        running = asyncio.create_task(discovery.run())
        await asyncio.sleep(_CALM_S)
        calls = store.calls
        discovery.record_departure(_DEPARTED)
        await discovery.store_departures()
        await asyncio.sleep(_CALM_S)
        assert store.calls == calls + 1
        running.cancel()

    run_in_virtual_time(run)
