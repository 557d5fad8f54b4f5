"""Runs the operators' command line as a subprocess."""

import dataclasses
import sys
from typing import Any, Final

import anyio
import msgspec

from bluebellslip._internal.utils.decoding import DECODING_ERRORS

_MODULE: Final = 'bluebellslip_cli'


@dataclasses.dataclass(frozen=True, slots=True)
class CommandResult:
    """Output and exit status of a command.

    ``output`` is its standard output, followed by its standard error.
    """

    command: str
    exit_status: int
    output: str

    @property
    def json_output(self) -> Any:
        """The decoded JSON output, or an empty object if it is not JSON."""
        try:
            return msgspec.json.decode(self.output)
        except DECODING_ERRORS:
            return {}


class OperatorCli:
    """Runs commands against one node.

    Parameters
    ----------
    admin_url
        URL of the node's admin interface.
    token
        The operator's token.
    """

    def __init__(self, admin_url: str, token: str) -> None:
        self._environment = {
            'BLUEBELL_NODE': admin_url.removeprefix('http://'),
            'BLUEBELL_TOKEN': token,
        }

    async def run(self, *arguments: str) -> CommandResult:
        """Run one command."""
        finished = await anyio.run_process(
            [sys.executable, '-m', _MODULE, *arguments],
            env=self._environment,
            check=False,
        )
        return CommandResult(
            command=' '.join(('bluebell', *arguments)),
            exit_status=finished.returncode,
            output=(finished.stdout + finished.stderr).decode().strip(),
        )
