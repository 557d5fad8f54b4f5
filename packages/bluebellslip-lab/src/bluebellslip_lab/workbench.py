"""What the steps of an experiment work with."""

import dataclasses
import datetime as dt
from collections.abc import Callable, Iterable
from typing import Final

from bluebellslip_lab.admin_client import AdminClient
from bluebellslip_lab.mesh import Mesh, Place, wait_answering
from bluebellslip_lab.operator_cli import OperatorCli
from bluebellslip_lab.watching import Watcher

_START_TIMEOUT: Final = dt.timedelta(seconds=20)
_LOG_TAIL: Final = 2000


@dataclasses.dataclass(frozen=True, slots=True)
class Workbench:
    """Processes, clients and a way to tell whoever watches.

    Parameters
    ----------
    mesh
        The processes.
    client
        Carries the operator's token.
    cli
        The operator's command line.
    watcher
        Reads what the nodes report.
    say
        Prints a line.
    """

    mesh: Mesh
    client: AdminClient
    cli: OperatorCli
    watcher: Watcher
    say: Callable[[str], None]

    async def tell(self, *arguments: str) -> int:
        """Run an operator's command, print what it printed, return its exit."""
        outcome = await self.cli.run(*arguments)
        self.say(f'$ {outcome.command}')
        self.say(outcome.output)
        if outcome.status:
            self.say(f'exit status {outcome.status}')
        return outcome.status

    async def start_platform(self) -> None:
        """Start the platform's stand-in and wait until it answers."""
        self.mesh.start_platform()
        url = f'{self.mesh.platform}/counts'
        await wait_answering(self.client, url, _START_TIMEOUT)

    async def start_places(self, places: Iterable[Place]) -> None:
        """Start nodes and servers; wait until the nodes answer.

        Raises
        ------
        TimeoutError
            When one of the nodes does not.
        """
        chosen = tuple(places)
        for place in chosen:
            self.mesh.start_node(place)
            self.mesh.start_server(place)
        for started in chosen:
            url = f'{self.mesh.admin(started)}/v1/health'
            if not await wait_answering(self.client, url, _START_TIMEOUT):
                log = self.mesh.children.read_log(started.node)
                self.say(log[-_LOG_TAIL:])
                raise TimeoutError(f'{started.node} does not answer')
