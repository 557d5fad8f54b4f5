"""What happens in an experiment, carried out."""

import datetime as dt
from collections.abc import Iterable, Mapping

import anyio

from bluebellslip_lab.admin_client import AdminReply
from bluebellslip_lab.mesh import Place
from bluebellslip_lab.scenario import (
    Change,
    Freeze,
    Kill,
    Move,
    PlatformFaults,
    Signal,
    SomeEvent,
    Start,
    Stop,
    Thaw,
)
from bluebellslip_lab.workbench import Workbench


class EventRunner:
    """Carries out a scenario's events at their times.

    Parameters
    ----------
    bench
        Processes and clients.
    places
        All places of the scenario.
    operator
        The place whose node the operators talk to.
    """

    def __init__(
        self, bench: Workbench, places: Iterable[Place], operator: Place
    ) -> None:
        self._bench = bench
        self._admin = bench.mesh.admin(operator)
        self._by_process: Mapping[str, tuple[Place, bool]] = {
            name: (place, name == place.node)
            for place in places
            for name in (place.node, place.server)
        }

    async def run(self, events: Iterable[SomeEvent]) -> None:
        """Do all events in the order of their times."""
        start = anyio.current_time()
        for event in sorted(events, key=lambda each: each.at):
            due = start + event.at
            await anyio.sleep(max(due - anyio.current_time(), 0))
            self._bench.say(f'{event.at:g} s: {event}')
            await self._carry_out(event)

    async def _carry_out(self, event: SomeEvent) -> None:
        if isinstance(event, PlatformFaults):
            platform = self._bench.mesh.platform
            await self._bench.client.set_faults(platform, event.faults)
        elif isinstance(event, Move):
            await self._move(event)
        elif isinstance(event, Change):
            await self._change(event)
        else:
            await self._signal(event)

    async def _signal(self, event: Signal) -> None:
        children = self._bench.mesh.children
        if isinstance(event, Stop):
            await anyio.to_thread.run_sync(children.terminate, event.processes)
        for name in event.processes:
            if isinstance(event, Kill):
                children.kill(name)
            elif isinstance(event, Freeze):
                children.freeze(name)
            elif isinstance(event, Thaw):
                children.thaw(name)
            elif isinstance(event, Start):
                self._start(name)

    def _start(self, name: str) -> None:
        place, is_node = self._by_process[name]
        if is_node:
            self._bench.mesh.start_node(place)
        else:
            self._bench.mesh.start_server(place)

    async def _move(self, event: Move) -> None:
        now = dt.datetime.now(dt.UTC)
        deadline = now + dt.timedelta(seconds=event.within_s)
        body = {
            'new': event.version,
            'deadline': deadline.isoformat(),
            'request': f'experiment-{event.service}-{event.version}',
        }
        url = f'{self._admin}/v1/moves/{event.service}'
        self._tell(await self._bench.client.send('PUT', url, body))

    async def _change(self, event: Change) -> None:
        url = f'{self._admin}/v1/config'
        current = (await self._bench.client.send('GET', url)).tree
        document = current['document']
        document['services'].append({'name': event.service, 'team': 'lab'})
        body = {
            'change': f'experiment-{event.service}',
            'base': current['revision'],
            'document': document,
        }
        self._tell(await self._bench.client.send('PUT', url, body))

    def _tell(self, reply: AdminReply) -> None:
        self._bench.say(f'  {reply.status} {reply.body.decode()[:300]}')
