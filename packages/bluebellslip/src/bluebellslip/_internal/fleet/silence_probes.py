"""Tells whether the instance of a silent node still responds.

Handles nodes that are slow, stalled or overloaded: their beacons are late, but
what runs there goes on. A node without beacons gets no new requests, but the
requests that wait there are given up only when its instance doesn't accept a
connection either, as one that lost power or is partitioned.
"""

import asyncio
import datetime as dt
import logging
from collections.abc import Awaitable, Callable
from typing import Final

import anyio

from bluebellslip._internal.fleet.peer_table import Endpoint
from bluebellslip._internal.models.identity import Address

logger = logging.getLogger(__name__)

# Two connections are tried at once, since one packet may be lost.
PROBES: Final = 2
# Several round trips between failure domains.
PROBE_TIMEOUT: Final = dt.timedelta(milliseconds=300)
# Pause between two probes of a node that stays silent but responds.
PROBE_INTERVAL: Final = dt.timedelta(seconds=1)


class SilenceProber:
    """Probes silent nodes as long as requests wait there.

    Parameters
    ----------
    probe
        Returns whether the instance at an address responds.
    """

    def __init__(self, probe: Callable[[Address], Awaitable[bool]]) -> None:
        self._probe = probe
        self._silent: asyncio.Queue[Endpoint] = asyncio.Queue()

    def start(self, endpoint: Endpoint) -> None:
        """Probe the node beside a server from now on."""
        if endpoint.silence_callbacks:
            self._silent.put_nowait(endpoint)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                group.start_soon(self._watch, await self._silent.get())

    async def _watch(self, endpoint: Endpoint) -> None:
        address = endpoint.address
        if address is None:
            return
        while endpoint.silence_callbacks:
            if not await self._probe(address):
                logger.info(
                    'peer_unresponsive',
                    extra={
                        'peer': endpoint.node,
                        'requests': len(endpoint.silence_callbacks),
                    },
                )
                endpoint.abandon()
                return
            await anyio.sleep(PROBE_INTERVAL.total_seconds())


async def is_responsive(address: Address) -> bool:
    """Return whether the instance at an address responds to a connection.

    A refused connection is a response: the process has ended, so connections
    to it have been reset.
    """
    responses: list[bool] = []
    with anyio.move_on_after(PROBE_TIMEOUT.total_seconds()):
        async with anyio.create_task_group() as group:
            for _ in range(PROBES):
                group.start_soon(
                    _connect, address, responses, group.cancel_scope
                )
    return bool(responses)


async def _connect(
    address: Address, responses: list[bool], others: anyio.CancelScope
) -> None:
    try:
        _, writer = await asyncio.open_connection(address.host, address.port)
    except ConnectionRefusedError:
        responses.append(True)
    except OSError:
        return
    else:
        responses.append(True)
        writer.transport.abort()
    others.cancel()
