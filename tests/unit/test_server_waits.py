"""Requests that are refused while they wait for the local server.

The tests guard against a refused request that is passed on all the same, and
against a request that ends although it no longer waits.
"""

import asyncio
from collections.abc import Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from bluebellslip._internal.exceptions import DrainingError
from bluebellslip._internal.proxy.server_waits import ServerWait, ServerWaits


def run(scenario: Coroutine[Any, Any, None]) -> None:
    asyncio.run(scenario)


def begin(waits: ServerWaits, request_id: bytes = b'r1') -> ServerWait:
    routed: Any = SimpleNamespace(request_id=request_id)
    options: Any = None
    return waits.begin(routed, options)


def refuse(waits: ServerWaits, request_id: bytes = b'r1') -> None:
    waits.refuse({request_id}, lambda: DrainingError('stopping'))


async def wait_for(
    wait: ServerWait, condition: asyncio.Event, passed: list[str]
) -> None:
    async with wait:
        await condition.wait()
    passed.append('on')


def test_refused_request_stops_waiting_and_others_wait_on() -> None:
    async def scenario() -> None:
        waits, condition = ServerWaits(), asyncio.Event()
        passed: list[str] = []
        tasks = [
            asyncio.create_task(
                wait_for(begin(waits, request_id), condition, passed)
            )
            for request_id in (b'r1', b'r2')
        ]
        await asyncio.sleep(0)
        refuse(waits)
        with pytest.raises(DrainingError):
            await tasks[0]
        assert not passed
        condition.set()
        await tasks[1]
        assert passed == ['on']

    run(scenario())


def test_body_in_transit_is_received_before_its_request_is_refused() -> None:
    """An end in the middle of a body would look like a broken connection."""

    def check(*_: object) -> None:
        raise DrainingError('The server accepts no new requests.')

    async def scenario() -> None:
        waits = ServerWaits()
        async with begin(waits) as wait:
            wait.receives_body = True
            waits.refuse_unservable(check)
            await asyncio.sleep(0)

    run(scenario())


@pytest.mark.parametrize('refused_first', [True, False])
def test_request_refused_as_its_wait_ends_is_not_passed_on(
    refused_first: bool,
) -> None:
    async def scenario() -> None:
        waits, condition = ServerWaits(), asyncio.Event()
        passed: list[str] = []
        task = asyncio.create_task(wait_for(begin(waits), condition, passed))
        await asyncio.sleep(0)
        steps = [lambda: refuse(waits), condition.set]
        for step in steps if refused_first else reversed(steps):
            step()
        with pytest.raises(DrainingError):
            await task
        assert not passed

    run(scenario())


def test_request_refused_twice_gets_one_error() -> None:
    async def scenario() -> None:
        waits = ServerWaits()
        task = asyncio.create_task(wait_for(begin(waits), asyncio.Event(), []))
        await asyncio.sleep(0)
        refuse(waits)
        refuse(waits)
        with pytest.raises(DrainingError):
            await task

    run(scenario())


def test_request_that_waits_no_more_is_not_ended() -> None:
    async def scenario() -> None:
        waits = ServerWaits()
        async with begin(waits):
            await asyncio.sleep(0)
        refuse(waits)
        await asyncio.sleep(0)

    run(scenario())


def test_caller_that_left_is_not_taken_for_a_refusal() -> None:
    async def scenario() -> None:
        waits = ServerWaits()
        task = asyncio.create_task(wait_for(begin(waits), asyncio.Event(), []))
        await asyncio.sleep(0)
        refuse(waits)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    run(scenario())
