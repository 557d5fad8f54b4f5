"""Requests at a node that knows that its configuration is out of date.

Guards against final answers, and against requests to the wrong service, by
routes that the node knows to be replaced.
"""

import asyncio
from collections.abc import AsyncGenerator

import pytest

from bluebellslip._internal.control import peer_config as peer_config_module
from bluebellslip._internal.models.mesh_settings import Bounds
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    make_document_json,
    make_route_json,
    respond_signed,
    run_nodes,
    wait_until,
)

pytestmark = pytest.mark.anyio

CONFIG_APPLY_S = 0.6


class BlockedStore:
    """Never responds to requests for the desired state."""

    async def read_desired_state(self) -> None:
        await asyncio.sleep(60)

    async def watch_desired_state(self, position: int, wait: object) -> None:
        await asyncio.sleep(60)


class StaleMesh:
    """One node that follows the store, and one that only hears of changes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.store = SimulatedStore()
        self.write(1, a='store')
        self.current = self._make_node('node-0', 'store')
        self.stale = self._make_node('node-1', 'annex')
        self._monkeypatch = monkeypatch

    def write(self, revision: int, **routes: str) -> None:
        """Write a configuration with a route to a service for each name."""
        self.store.put(
            'op',
            'config',
            make_document_json(
                revision,
                *(
                    make_route_json(name, f'/{name}/', service)
                    for name, service in routes.items()
                ),
            ),
        )

    def _make_node(self, name: str, service: str) -> PlatformNode:
        return PlatformNode(
            name,
            service,
            self.store,
            respond_signed(service.encode()),
            bounds=Bounds(config_apply=CONFIG_APPLY_S),
        )

    async def block(self) -> None:
        """Cut the second node off from every source of configurations."""

        async def never_respond(*args: object) -> None:
            await asyncio.sleep(60)

        self._monkeypatch.setattr(
            peer_config_module, 'send_request', never_respond
        )
        watcher = self.stale.node._control_plane.watcher
        watcher._store = BlockedStore()  # type: ignore[assignment]
        # A request that is under way still gets its response.
        watcher.restart_watch()
        await asyncio.sleep(0.1)

    async def wait_until_known(self, revision: int) -> None:
        """Wait until the second node has heard of a revision."""

        async def is_known() -> bool:
            table = self.stale.node._state.peer_table
            return table.newest_revision >= revision

        await wait_until(is_known)


@pytest.fixture
async def mesh(
    monkeypatch: pytest.MonkeyPatch,
) -> AsyncGenerator[StaleMesh, None]:
    stale_mesh = StaleMesh(monkeypatch)
    nodes = (stale_mesh.current, stale_mesh.stale)
    async with run_nodes(stale_mesh.store, nodes):
        await stale_mesh.block()
        yield stale_mesh


async def test_unknown_route_is_not_final_while_a_newer_config_is_known(
    mesh: StaleMesh,
) -> None:
    """Callers don't repeat a request after 404."""
    mesh.write(2, a='store', b='store')
    await mesh.wait_until_known(2)
    response = await mesh.stale.call('/b/1')
    assert response.status == 503
    assert float(response.headers['retry-after']) > 0


async def test_unknown_route_is_final_for_the_newest_known_config(
    mesh: StaleMesh,
) -> None:
    assert (await mesh.stale.call('/b/1')).status == 404


async def test_requests_are_not_routed_by_a_config_known_to_be_overdue(
    mesh: StaleMesh,
) -> None:
    mesh.write(2, a='annex')
    await mesh.wait_until_known(2)
    assert (await mesh.stale.call('/a/1', 'r1')).status == 200
    await asyncio.sleep(CONFIG_APPLY_S)
    assert (await mesh.stale.call('/a/1', 'r2')).status == 503


async def test_requests_are_served_again_when_the_newer_config_is_gone(
    mesh: StaleMesh,
) -> None:
    """No node that has the newer configuration is left."""
    mesh.write(2, a='annex')
    await mesh.wait_until_known(2)
    mesh.current.node._state.beacon_protocol.close()

    async def is_served() -> bool:
        return (await mesh.stale.call('/a/1')).status != 503

    await asyncio.sleep(CONFIG_APPLY_S)
    await wait_until(is_served)
