"""Execution of the events of a scenario."""

import datetime as dt
from collections.abc import Iterable, Mapping

import anyio

from bluebellslip_lab.admin_client import AdminResponse
from bluebellslip_lab.lab_context import LabContext
from bluebellslip_lab.mesh import Instance
from bluebellslip_lab.scenario import (
    Change,
    Freeze,
    Kill,
    Move,
    PlatformFaults,
    ProcessEvent,
    SomeEvent,
    Start,
    Stop,
    Thaw,
)


class EventRunner:
    """Executes the events of a scenario at their times.

    Parameters
    ----------
    context
        Processes, clients and output of the run.
    instances
        All instances of the scenario.
    admin_instance
        The instance whose node receives the operators' requests.
    """

    def __init__(
        self,
        context: LabContext,
        instances: Iterable[Instance],
        admin_instance: Instance,
    ) -> None:
        self._context = context
        self._admin_url = context.mesh.admin_url(admin_instance)
        self._by_process_name: Mapping[str, tuple[Instance, bool]] = {
            name: (instance, name == instance.node_process)
            for instance in instances
            for name in (instance.node_process, instance.server_process)
        }

    async def run(self, events: Iterable[SomeEvent]) -> None:
        """Execute all events in the order of their times."""
        start = anyio.current_time()
        for event in sorted(events, key=lambda each: each.at):
            due = start + event.at
            await anyio.sleep(max(due - anyio.current_time(), 0))
            self._context.print_line(f'{event.at:g} s: {event}')
            await self._execute(event)

    async def _execute(self, event: SomeEvent) -> None:
        if isinstance(event, PlatformFaults):
            platform_url = self._context.mesh.platform_url
            await self._context.admin_client.set_faults(
                platform_url, event.faults
            )
        elif isinstance(event, Move):
            await self._move(event)
        elif isinstance(event, Change):
            await self._change(event)
        else:
            await self._control_processes(event)

    async def _control_processes(self, event: ProcessEvent) -> None:
        processes = self._context.mesh.processes
        if isinstance(event, Stop):
            await anyio.to_thread.run_sync(processes.terminate, event.processes)
        for name in event.processes:
            if isinstance(event, Kill):
                processes.kill(name)
            elif isinstance(event, Freeze):
                processes.freeze(name)
            elif isinstance(event, Thaw):
                processes.thaw(name)
            elif isinstance(event, Start):
                self._start(name)

    def _start(self, name: str) -> None:
        instance, is_node = self._by_process_name[name]
        if is_node:
            self._context.mesh.start_node(instance)
        else:
            self._context.mesh.start_server(instance)

    async def _move(self, event: Move) -> None:
        now = dt.datetime.now(dt.UTC)
        deadline = now + dt.timedelta(seconds=event.within_s)
        body = {
            'new': event.version,
            'deadline': deadline.isoformat(),
            'request': f'experiment-{event.service}-{event.version}',
        }
        url = f'{self._admin_url}/v1/moves/{event.service}'
        self._print_response(
            await self._context.admin_client.send('PUT', url, body)
        )

    async def _change(self, event: Change) -> None:
        url = f'{self._admin_url}/v1/config'
        current = (await self._context.admin_client.send('GET', url)).json_body
        document = current['document']
        document['services'].append({'name': event.service, 'team': 'lab'})
        body = {
            'change': f'experiment-{event.service}',
            'base': current['revision'],
            'document': document,
        }
        self._print_response(
            await self._context.admin_client.send('PUT', url, body)
        )

    def _print_response(self, response: AdminResponse) -> None:
        self._context.print_line(
            f'  {response.status} {response.body.decode()[:300]}'
        )
