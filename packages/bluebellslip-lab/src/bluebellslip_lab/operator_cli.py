"""The operator's command line, run as an operator would run it."""

import dataclasses
import sys
from typing import Any, Final

import anyio
import msgspec

_MODULE: Final = 'bluebellslip_cli'


@dataclasses.dataclass(frozen=True, slots=True)
class CommandOutcome:
    """What a command printed, and its exit status."""

    command: str
    status: int
    output: str

    @property
    def tree(self) -> Any:
        """The output as JSON, or an empty object."""
        try:
            return msgspec.json.decode(self.output)
        except msgspec.MsgspecError:
            return {}


class OperatorCli:
    """Runs commands against one node.

    Parameters
    ----------
    admin
        URL of the node's admin interface.
    token
        The operator's token.
    """

    def __init__(self, admin: str, token: str) -> None:
        self._environment = {
            'BLUEBELL_NODE': admin.removeprefix('http://'),
            'BLUEBELL_TOKEN': token,
        }

    async def run(self, *arguments: str) -> CommandOutcome:
        """Run one command."""
        finished = await anyio.run_process(
            [sys.executable, '-m', _MODULE, *arguments],
            env=self._environment,
            check=False,
        )
        return CommandOutcome(
            command=' '.join(('bluebell', *arguments)),
            status=finished.returncode,
            output=(finished.stdout + finished.stderr).decode().strip(),
        )
