"""Tests of departures that were acknowledged before all nodes were killed.

They guard against requests to a server that has said that it leaves, when no
process is left that has heard it and one of its heartbeats arrives late.
"""

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import anyio
import pytest

from lib.calls import ReceivedRequest
from lib.simulated_platform import (
    PlatformNode,
    SimulatedStore,
    encode_not_executed,
    encode_signed_response,
    make_document_json,
    make_route_json,
    wait_until,
)

pytestmark = pytest.mark.anyio

_CONFIG = make_document_json(3, make_route_json('r-page', '/page/', 'portal'))
# A server that has sent more heartbeats than this has not just started.
_HEARTBEATS = 5
# Longer than the time after which a second heartbeat confirms the first.
_CONFIRMATION_S = 1.3


class CheckedServer:
    """A backend server that answers health checks, if it is asked to.

    Parameters
    ----------
    name
        Name of the node beside it.
    answers_checks
        Whether it answers health checks; otherwise it refuses them.
    """

    def __init__(self, name: str, *, answers_checks: bool = True) -> None:
        self.leaves = False
        self.checks = 0
        self._id = f'i-1-{name}'.encode()
        self._answers_checks = answers_checks

    async def handle(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: ReceivedRequest,
    ) -> None:
        if request.request_line.split()[1] != '/health':
            writer.write(encode_signed_response(request, b'x'))
            return
        self.checks += 1
        if not self._answers_checks:
            writer.write(encode_not_executed(400))
            return
        status = 503 if self.leaves else 200
        writer.write(
            b'HTTP/1.1 %d X\r\nX-Instance-Id: %b\r\nContent-Length: 0\r\n\r\n'
            % (status, self._id)
        )


def make_servers(*, answer_checks: bool = True) -> dict[str, CheckedServer]:
    return {
        name: CheckedServer(name, answers_checks=answer_checks)
        for name in ('portal-1', 'portal-2')
    }


@contextlib.asynccontextmanager
async def run_all(
    store: SimulatedStore,
    servers: dict[str, CheckedServer],
    *,
    first_start: bool,
) -> AsyncGenerator[list[PlatformNode], None]:
    """Run a node beside each server; at the end all are killed."""
    nodes = [
        PlatformNode(
            name, 'portal', store, server.handle, first_start=first_start
        )
        for name, server in servers.items()
    ]
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            node.sequence = 0 if first_start else _HEARTBEATS
            node.heartbeats_stopped = servers[node.name].leaves
            await stack.enter_async_context(node.running())
            # A killed process answers no beacons.
            stack.callback(node.node._state.beacon_protocol.close)
        yield nodes


async def leave(node: PlatformNode, how: str) -> None:
    if how == 'draining':
        response = await node.send_heartbeat('draining')
    else:
        response = await node.call_server_api('DELETE')
    assert response.status == 200


def is_usable(node: PlatformNode) -> bool:
    return node.node._state.server.is_usable


@pytest.mark.parametrize('how', ['draining', 'gone'])
async def test_late_heartbeat_does_not_bring_back_a_server(how: str) -> None:
    """The store has the departure; the server's health is not asked for."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    servers = make_servers()
    async with store.serving():
        async with run_all(store, servers, first_start=True) as nodes:
            assert is_usable(nodes[0])
            await leave(nodes[0], how)
        async with run_all(store, servers, first_start=False) as nodes:
            await anyio.sleep(_CONFIRMATION_S)
            for node in nodes:
                await node.send_heartbeat()
            assert is_usable(nodes[1])
            assert not is_usable(nodes[0])


@pytest.mark.parametrize('answer_checks', [True, False])
@pytest.mark.parametrize('mode', ['refusing', 'silent'])
@pytest.mark.parametrize('how', ['draining', 'gone'])
async def test_departure_that_was_never_stored_is_not_forgotten(
    how: str, mode: str, answer_checks: bool
) -> None:
    """The store was away at the ack, and then all nodes were killed."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    servers = make_servers(answer_checks=answer_checks)
    async with store.serving():
        async with run_all(store, servers, first_start=True) as nodes:
            store.mode = mode
            await leave(nodes[0], how)
            servers['portal-1'].leaves = True
        store.mode = 'up'
        async with run_all(store, servers, first_start=False) as nodes:
            assert not is_usable(nodes[0])
            await anyio.sleep(_CONFIRMATION_S)
            await nodes[0].send_heartbeat()
            await anyio.sleep(_CONFIRMATION_S)
            assert not is_usable(nodes[0])
            assert servers['portal-1'].checks


@pytest.mark.parametrize('answer_checks', [True, False])
@pytest.mark.parametrize('how', ['draining', 'gone'])
async def test_departure_is_not_forgotten_if_the_store_stays_away(
    how: str, answer_checks: bool
) -> None:
    """It comes back long after the restart, and the late heartbeat then."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    servers = make_servers(answer_checks=answer_checks)
    async with store.serving():
        async with run_all(store, servers, first_start=True) as nodes:
            store.mode = 'refusing'
            await leave(nodes[0], how)
            servers['portal-1'].leaves = True
        async with run_all(store, servers, first_start=False) as nodes:
            await anyio.sleep(2 * _CONFIRMATION_S)
            store.mode = 'up'
            await anyio.sleep(_CONFIRMATION_S)
            await nodes[0].send_heartbeat()
            await anyio.sleep(_CONFIRMATION_S)
            assert not is_usable(nodes[0])
            assert is_usable(nodes[1])


@pytest.mark.parametrize('answer_checks', [True, False])
@pytest.mark.parametrize('mode', ['up', 'refusing', 'silent'])
async def test_server_that_stays_is_used_after_a_loss_of_all_nodes(
    mode: str, answer_checks: bool
) -> None:
    """The heartbeats of a server without health checks have to go on."""
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    servers = make_servers(answer_checks=answer_checks)
    async with store.serving():
        async with run_all(store, servers, first_start=True):
            store.mode = mode
        async with run_all(store, servers, first_start=False) as nodes:
            store.mode = 'up'

            async def are_usable() -> bool:
                return all(is_usable(node) for node in nodes)

            await wait_until(are_usable)


async def test_new_life_is_used_after_a_stored_departure() -> None:
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    servers = make_servers()
    async with store.serving():
        async with run_all(store, servers, first_start=True) as nodes:
            await nodes[0].send_heartbeat('draining')
        async with run_all(store, servers, first_start=False) as nodes:
            # A single heartbeat has to be enough.
            nodes[0].heartbeats_stopped = True
            nodes[0].born += 1
            nodes[0].sequence = 0
            await nodes[0].send_heartbeat()

            async def is_used() -> bool:
                return is_usable(nodes[0])

            await wait_until(is_used)


async def test_departure_is_acknowledged_while_the_store_is_silent() -> None:
    store = SimulatedStore()
    store.put('op', 'config', _CONFIG)
    servers = make_servers()
    async with (
        store.serving(),
        run_all(store, servers, first_start=True) as nodes,
    ):
        store.mode = 'silent'
        response = await nodes[0].send_heartbeat('draining')
        assert response.status == 200
        assert not is_usable(nodes[0])
