"""Outages of the store in which a server leaves and all nodes are killed."""

import asyncio
import contextlib
import datetime as dt
from collections.abc import Iterator, Sequence
from random import Random
from typing import Final

import anyio

from bench.soak_nodes import SoakNode
from bench.soak_records import Departure, Finding, History, Kill
from bench.soak_traffic import RecordingServer
from lib.simulated_platform import SimulatedStore

_MODES: Final = ('refusing', 'silent', 'losing')
# Longest times from the outage to the departure, from the ack to the kill,
# until the processes start again, until the store is back, and until the
# heartbeat from before the departure arrives.
_MAX_STEP_S: Final = 1.0
_ACK_TIMEOUT_S: Final = 1.0
_OK: Final = 200
# A departure binds from this time after its ack.
_DRAIN_DELAY: Final = dt.timedelta(seconds=2)


class Outage:
    """One outage; its choices come from a source of its own.

    Parameters
    ----------
    nodes
        All nodes.
    store
        The store that is away.
    history
        Records the departure and the kill.
    random_source
        Chooses the times, and how the server leaves.
    """

    def __init__(
        self,
        nodes: Sequence[SoakNode],
        store: SimulatedStore,
        history: History,
        random_source: Random,
    ) -> None:
        self._nodes = nodes
        self._store = store
        self._history = history
        self._random = random_source

    async def run(
        self, node: SoakNode, server: RecordingServer, lasts_s: float, born: int
    ) -> None:
        """Let the server beside a node leave, and kill all nodes.

        Parameters
        ----------
        node
            The node.
        server
            The server.
        lasts_s
            Time for which the server goes on after its departure, in seconds.
        born
            Start of its next life, in milliseconds.
        """
        await node.wait_ready()
        self._store.mode = self._random.choice(_MODES)
        await self._pause()
        how = self._random.choice(('draining', 'gone'))
        server.has_left = True
        # The last heartbeat before the departure, which arrives late.
        platform_node = node.platform_node
        platform_node.heartbeats_stopped = True
        platform_node.sequence += 1
        late = {'born': node.server_born, 'seq': platform_node.sequence}
        departure = None
        if await _leave(node, how):
            departure = Departure(node.name, self._history.now)
            self._history.departures.append(departure)
        await self._pause()
        kill = Kill(self._history.now)
        self._history.kills.append(kill)
        killed = await self._restart_all()
        await self._pause()
        self._store.mode = 'up'
        await self._pause()
        for starting in killed:
            await starting.wait_ready()
        kill.ended = self._history.now
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await platform_node.send_heartbeat('ready', **late)
        await anyio.sleep(lasts_s)
        if departure is not None:
            departure.ended = self._history.now
        server.has_left = False
        node.server_born = born
        platform_node.sequence = 0
        platform_node.heartbeats_stopped = False

    async def _restart_all(self) -> list[SoakNode]:
        """Kill all processes; return the nodes that were started again."""
        killed = [node for node in self._nodes if node.crash()]
        await self._pause()
        for node in killed:
            node.start()
        return killed

    async def _pause(self) -> None:
        await anyio.sleep(self._random.uniform(0, _MAX_STEP_S))


async def _leave(node: SoakNode, how: str) -> bool:
    """Let the server beside a node leave; return whether it got an ack."""
    server = node.platform_node
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        async with asyncio.timeout(_ACK_TIMEOUT_S):
            if how == 'draining':
                response = await server.send_heartbeat(
                    how, born=node.server_born
                )
            else:
                response = await server.call_server_api('DELETE')
            return response.status == _OK
    return False


def check_departures(history: History) -> Iterator[Finding]:
    """Yield the requests that a server got after the ack of its departure."""
    requests = {request.request_id: request for request in history.requests}
    for departure in history.departures:
        bound = departure.acknowledged + _DRAIN_DELAY
        for run in history.runs:
            is_late = run.node == departure.node and (
                bound < run.started < departure.ended
            )
            if is_late and requests[run.request_id].begun > bound:
                yield Finding(
                    run.started,
                    run.node,
                    run.request_id,
                    'run by a server that has left',
                )
