"""Processes, clients and output shared by the steps of an experiment."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Iterable
from typing import Final

from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.mesh import Instance, Mesh, wait_responding
from bluebellslip_lab.node_monitor import NodeMonitor
from bluebellslip_lab.operator_cli import OperatorCli

_START_TIMEOUT: Final = dt.timedelta(seconds=20)
_LOG_TAIL_CHARACTERS: Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class LabContext:
    """Processes, clients and output of an experiment or the demo.

    Parameters
    ----------
    mesh
        Processes of the mesh.
    admin_client
        Client with the operator's token.
    cli
        The operator's command line.
    node_monitor
        Reads the state of nodes.
    print_line
        Prints a line.
    """

    mesh: Mesh
    admin_client: AdminClient
    cli: OperatorCli
    node_monitor: NodeMonitor
    print_line: Callable[[str], None]

    async def run_command(self, *arguments: str) -> int:
        """Run a command, print its output and return its exit status."""
        result = await self.cli.run(*arguments)
        self.print_line(f'$ {result.command}')
        self.print_line(result.output)
        if result.exit_status:
            self.print_line(f'exit status {result.exit_status}')
        return result.exit_status

    async def start_platform(self) -> None:
        """Start the simulated platform; wait for a response or a timeout."""
        self.mesh.start_platform()
        url = f'{self.mesh.platform_url}/counts'
        await wait_responding(self.admin_client, url, _START_TIMEOUT)

    async def start_instances(self, instances: Iterable[Instance]) -> None:
        """Start nodes and servers; wait until the nodes respond.

        Raises
        ------
        TimeoutError
            When a node does not respond in time.
        """
        to_start = tuple(instances)
        for instance in to_start:
            self.mesh.start_node(instance)
            self.mesh.start_server(instance)
        for started in to_start:
            url = f'{self.mesh.admin_url(started)}/v1/health'
            if not await wait_responding(
                self.admin_client, url, _START_TIMEOUT
            ):
                log = self.mesh.processes.read_log(started.node_process)
                self.print_line(log[-_LOG_TAIL_CHARACTERS:])
                raise TimeoutError(
                    f'{started.node_process} did not respond in time'
                )
