"""Probes of nodes that send no beacons.

Guards against work that is given up at a node that is only slow, and against
requests that wait for an instance that is gone.
"""

import asyncio
import socket
from collections.abc import Iterator

import anyio
import pytest

from bluebellslip._internal.fleet.silence_probes import (
    SilenceProber,
    is_responsive,
)
from bluebellslip._internal.models.identity import Address
from lib.fleet import make_endpoint
from lib.virtual_time import run_in_virtual_time

_LOCALHOST = '127.0.0.1'


@pytest.fixture(name='listener')
def make_listener() -> Iterator[socket.socket]:
    """Return a listener of a process that accepts no connections."""
    with socket.socket() as listener:
        listener.bind((_LOCALHOST, 0))
        listener.listen(0)
        yield listener


def test_stalled_process_counts_as_responsive(listener: socket.socket) -> None:
    address = Address(*listener.getsockname())
    assert asyncio.run(is_responsive(address))


def test_refused_connection_counts_as_a_response(
    listener: socket.socket,
) -> None:
    address = Address(*listener.getsockname())
    listener.close()
    assert asyncio.run(is_responsive(address))


def test_dropped_connections_count_as_no_response(
    listener: socket.socket,
) -> None:
    """A full queue drops packets, as an instance without power does."""
    address = Address(*listener.getsockname())
    with socket.socket() as first, socket.socket() as second:
        for waiting in (first, second):
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        assert not asyncio.run(is_responsive(address))


@pytest.mark.parametrize('responses', [(False,), (True, True, False)])
def test_waits_end_when_the_instance_does_not_respond(
    responses: tuple[bool, ...],
) -> None:
    async def scenario() -> None:
        left = list(responses)

        async def probe(address: Address) -> bool:
            return left.pop(0)

        prober = SilenceProber(probe)
        endpoint = make_endpoint('one')
        ended = asyncio.Event()
        endpoint.silence_callbacks.add(ended.set)
        async with anyio.create_task_group() as group:
            group.start_soon(prober.run)
            prober.start(endpoint)
            await ended.wait()
            assert not left
            group.cancel_scope.cancel()

    run_in_virtual_time(scenario)


def test_waits_go_on_while_the_instance_responds() -> None:
    async def scenario() -> None:
        probes: list[Address] = []

        async def probe(address: Address) -> bool:
            probes.append(address)
            return True

        prober = SilenceProber(probe)
        endpoint = make_endpoint('one')
        ended: list[bool] = []

        def end() -> None:
            ended.append(True)

        endpoint.silence_callbacks.add(end)
        async with anyio.create_task_group() as group:
            group.start_soon(prober.run)
            prober.start(endpoint)
            await anyio.sleep(9.5)
            endpoint.silence_callbacks.discard(end)
            await anyio.sleep(9.5)
            group.cancel_scope.cancel()
        assert not ended
        assert len(probes) == 10

    run_in_virtual_time(scenario)


def test_node_without_waiting_requests_is_not_probed() -> None:
    async def scenario() -> None:
        async def probe(address: Address) -> bool:
            raise AssertionError(address)

        prober = SilenceProber(probe)
        prober.start(make_endpoint('one'))
        with anyio.move_on_after(5):
            await prober.run()

    run_in_virtual_time(scenario)
